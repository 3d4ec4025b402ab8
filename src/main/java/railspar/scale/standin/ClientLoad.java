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
 * Clients that hand messages in at a rate, over connections that they keep. Each client has one message at a time and
 * keys of its own, so the messages of a key follow each other. What is due while all clients are busy comes late.
 */
public final class ClientLoad {
    private static final double NS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ClientLoadSettings settings;
    private final List<InetSocketAddress> couriers;
    private final MessageLedger ledger;
    private final Consumer<RegisteredMessage> register;
    private final DestinationSampler sampler;
    private final double weights;
    private final AtomicInteger next = new AtomicInteger();

    /**
     * A load that has not begun.
     *
     * @param settings what is handed in
     * @param couriers where; each client keeps to one of them
     * @param ledger is told what becomes of each message
     * @param register is told of each message before it is handed in
     */
    public ClientLoad(
            final ClientLoadSettings settings,
            final List<InetSocketAddress> couriers,
            final MessageLedger ledger,
            final Consumer<RegisteredMessage> register) {
        this.settings = settings;
        this.couriers = List.copyOf(couriers);
        this.ledger = ledger;
        this.register = register;
        this.sampler = new DestinationSampler(settings.destinations(), settings.zipfExponent());
        this.weights =
                settings.shapes().stream().mapToDouble(MessageShape::weight).sum();
    }

    /** Hands all messages in, and returns once each has its answer or none in time. */
    public void run() throws InterruptedException, ExecutionException {
        final ExecutorService threads = Executors.newFixedThreadPool(settings.clients());
        final long beginNs = System.nanoTime();
        try {
            final List<Future<?>> clients = new ArrayList<>();
            for (int number = 0; number < settings.clients(); number++) {
                final Client client = new Client(number, beginNs);
                clients.add(threads.submit(client));
            }
            for (final Future<?> client : clients) {
                client.get();
            }
        } finally {
            threads.shutdownNow();
        }
    }

    /** One client, on a thread of its own. */
    private final class Client implements Runnable {
        private final int number;
        private final long beginNs;
        private final Map<String, Long> sequences = new HashMap<>();

        Client(final int number, final long beginNs) {
            this.number = number;
            this.beginNs = beginNs;
        }

        @Override
        public void run() {
            try (ClientConnection connection = new ClientConnection(couriers.get(number % couriers.size()))) {
                for (int index = next.getAndIncrement();
                        index < settings.messages() && !Thread.currentThread().isInterrupted();
                        index = next.getAndIncrement()) {
                    awaitDue(index);
                    handIn(connection, index);
                }
            }
        }

        private void awaitDue(final int index) {
            final long dueNs = beginNs + (long) (index / settings.messagesPerSecond() * NS_PER_SECOND);
            for (long leftNs = dueNs - System.nanoTime();
                    leftNs > 0 && !Thread.currentThread().isInterrupted();
                    leftNs = dueNs - System.nanoTime()) {
                LockSupport.parkNanos(leftNs);
            }
        }

        private void handIn(final ClientConnection connection, final int index) {
            // A generator for each message: what it is does not depend on which client comes to it.
            final SplittableRandom random = new SplittableRandom(settings.seed() * settings.messages() + index);
            final int destination = sampler.next(random);
            final MessageShape shape = shape(random.nextDouble() * weights);
            final String id = String.format("%08x%08x", (int) settings.seed(), index);
            final String key = shape.ordered() ? "c" + number + "-" + destination : null;
            final long sequence = key == null ? 0 : sequences.merge(key, 1L, Long::sum);
            final byte[] body = new byte[shape.bodyBytes()];
            Arrays.fill(body, (byte) 'x');
            final HandIn message = new HandIn(id, shape.className(), key, shape.timeoutMs(), destination, body);
            register.accept(new RegisteredMessage(id, destination, key, sequence, shape.repeatable()));
            ledger.handedIn(message, System.nanoTime());
            final HandInAnswer answer = connection.handIn(message);
            ledger.answered(id, answer.result(), System.nanoTime());
        }

        private MessageShape shape(final double drawn) {
            double sum = 0;
            for (final MessageShape shape : settings.shapes()) {
                sum += shape.weight();
                if (drawn < sum) {
                    return shape;
                }
            }
            return settings.shapes().get(settings.shapes().size() - 1);
        }
    }
}
