package railspar.scale.standin;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Clients that submit messages at a constant rate over persistent connections. Each client submits one message at a
 * time and uses its own keys, so the messages of a key are submitted one after the other. Messages that fall due while
 * all clients are busy are submitted late.
 */
public final class LoadGenerator {
    private static final double NS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final LoadGeneratorSettings settings;
    private final List<InetSocketAddress> couriers;
    private final MessageLedger ledger;
    private final Consumer<RegisteredMessage> onSubmit;
    private final DestinationSampler sampler;
    private final double totalWeight;
    private final AtomicInteger nextIndex = new AtomicInteger();

    /**
     * Creates a generator that has not started.
     *
     * @param settings the messages to submit, and their rate
     * @param couriers addresses of the couriers; each client uses one of them
     * @param ledger records each submission and its response
     * @param onSubmit receives each message before it is submitted
     */
    public LoadGenerator(
            final LoadGeneratorSettings settings,
            final List<InetSocketAddress> couriers,
            final MessageLedger ledger,
            final Consumer<RegisteredMessage> onSubmit) {
        this.settings = settings;
        this.couriers = List.copyOf(couriers);
        this.ledger = ledger;
        this.onSubmit = onSubmit;
        this.sampler = new DestinationSampler(settings.destinations(), settings.zipfExponent());
        this.totalWeight =
                settings.profiles().stream().mapToDouble(MessageProfile::weight).sum();
    }

    /** Submits all messages and returns once each has been answered or has timed out. */
    public void run() throws InterruptedException, ExecutionException {
        final ExecutorService threads = Executors.newFixedThreadPool(settings.clients());
        final long startNs = System.nanoTime();
        try {
            final List<Future<?>> clients = new ArrayList<>();
            for (int clientNumber = 0; clientNumber < settings.clients(); clientNumber++) {
                final Client client = new Client(clientNumber, startNs);
                clients.add(threads.submit(client));
            }
            for (final Future<?> client : clients) {
                client.get();
            }
        } finally {
            threads.shutdownNow();
        }
    }

    /** One client, which runs on its own thread. */
    private final class Client implements Runnable {
        private final int clientNumber;
        private final long startNs;
        private final Map<String, Long> sequences = new HashMap<>();

        Client(final int clientNumber, final long startNs) {
            this.clientNumber = clientNumber;
            this.startNs = startNs;
        }

        @Override
        public void run() {
            try (ClientConnection connection = new ClientConnection(couriers.get(clientNumber % couriers.size()))) {
                for (int index = nextIndex.getAndIncrement();
                        index < settings.messages() && !Thread.currentThread().isInterrupted();
                        index = nextIndex.getAndIncrement()) {
                    awaitScheduledTime(index);
                    submit(connection, index);
                }
            }
        }

        private void awaitScheduledTime(final int index) {
            final long dueNs = startNs + (long) (index / settings.messagesPerSecond() * NS_PER_SECOND);
            for (long remainingNs = dueNs - System.nanoTime();
                    remainingNs > 0 && !Thread.currentThread().isInterrupted();
                    remainingNs = dueNs - System.nanoTime()) {
                LockSupport.parkNanos(remainingNs);
            }
        }

        private void submit(final ClientConnection connection, final int index) {
            // Seeded per message, so that its content does not depend on which client submits it.
            final SplittableRandom random = new SplittableRandom(settings.seed() * settings.messages() + index);
            final int destination = sampler.next(random);
            final MessageProfile profile = drawProfile(random.nextDouble() * totalWeight);
            final String id = String.format("%08x%08x", (int) settings.seed(), index);
            final String key = profile.ordered() ? "c" + clientNumber + "-" + destination : null;
            final long sequence = key == null ? 0 : sequences.merge(key, 1L, Long::sum);
            final byte[] body = new byte[profile.bodyBytes()];
            Arrays.fill(body, (byte) 'x');
            final ClientMessage message =
                    new ClientMessage(id, profile.className(), key, profile.timeoutMs(), destination, body);
            onSubmit.accept(new RegisteredMessage(id, destination, key, sequence, profile.idempotent()));
            ledger.recordSubmission(message, System.nanoTime());
            final SubmissionResponse response = connection.submit(message);
            ledger.recordResponse(id, response.result(), System.nanoTime());
        }

        private MessageProfile drawProfile(final double drawnWeight) {
            double cumulativeWeight = 0;
            for (final MessageProfile profile : settings.profiles()) {
                cumulativeWeight += profile.weight();
                if (drawnWeight < cumulativeWeight) {
                    return profile;
                }
            }
            return settings.profiles().get(settings.profiles().size() - 1);
        }
    }
}
