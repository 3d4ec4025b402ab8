package railspar.scale.real;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import railspar.scale.standin.ClientConnection;
import railspar.scale.standin.ClientMessage;
import railspar.scale.standin.SubmissionResponse;

/**
 * Submits a fixed number of messages, each once, as fast as a fixed number of clients can. It stops early when no
 * response has arrived for some time, or when the total time limit is reached.
 */
final class BacklogFiller {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NS_PER_MS = 1_000_000;
    private static final double NS_PER_SECOND = 1_000_000_000;
    private static final long MESSAGE_TIMEOUT_MS = TimeUnit.DAYS.toMillis(1);

    private final InetSocketAddress courier;
    private final int destinations;
    private final byte[] body;
    private final int messages;
    private final Duration responseTimeout;
    private final Duration totalTimeout;
    private final AtomicInteger nextIndex = new AtomicInteger();
    private final AtomicLong lastResponseNs = new AtomicLong();
    private volatile long startNs;

    BacklogFiller(
            final InetSocketAddress courier,
            final int destinations,
            final int bodyBytes,
            final int messages,
            final Duration responseTimeout,
            final Duration totalTimeout) {
        this.courier = courier;
        this.destinations = destinations;
        this.body = new byte[bodyBytes];
        Arrays.fill(body, (byte) 'x');
        this.messages = messages;
        this.responseTimeout = responseTimeout;
        this.totalTimeout = totalTimeout;
    }

    /** Response counts and latencies of one client. */
    private static final class ClientTally {
        private final int[] counts = new int[SubmissionResponse.Result.values().length];
        private final Histogram latencies = new Histogram(SIGNIFICANT_DIGITS);

        private int count(final SubmissionResponse.Result result) {
            return counts[result.ordinal()];
        }

        private void add(final ClientTally other) {
            for (int index = 0; index < counts.length; index++) {
                counts[index] += other.counts[index];
            }
            latencies.add(other.latencies);
        }
    }

    BacklogSlopeResult.HandInCounts fill(final int clients) throws InterruptedException, ExecutionException {
        final ExecutorService threads = Executors.newFixedThreadPool(clients);
        startNs = System.nanoTime();
        lastResponseNs.set(startNs);
        final ClientTally total = new ClientTally();
        try {
            final List<Future<ClientTally>> clientResults = new ArrayList<>();
            for (int count = 0; count < clients; count++) {
                clientResults.add(threads.submit(this::runClient));
            }
            for (final Future<ClientTally> result : clientResults) {
                total.add(result.get());
            }
        } finally {
            threads.shutdownNow();
        }
        final int submitted = Arrays.stream(total.counts).sum();
        return new BacklogSlopeResult.HandInCounts(
                total.count(SubmissionResponse.Result.ACCEPTED),
                total.count(SubmissionResponse.Result.REJECTED),
                total.count(SubmissionResponse.Result.FAILED),
                total.count(SubmissionResponse.Result.NO_RESPONSE),
                messages - submitted,
                (lastResponseNs.get() - startNs) / NS_PER_SECOND,
                total.latencies.getValueAtPercentile(50) / NS_PER_MS,
                total.latencies.getValueAtPercentile(99) / NS_PER_MS,
                total.latencies.getMaxValue() / NS_PER_MS);
    }

    private ClientTally runClient() {
        final ClientTally tally = new ClientTally();
        try (ClientConnection connection = new ClientConnection(courier)) {
            for (int index = nextIndex.getAndIncrement();
                    index < messages && shouldContinue();
                    index = nextIndex.getAndIncrement()) {
                final long sentNs = System.nanoTime();
                final SubmissionResponse response = connection.submit(message(index));
                tally.counts[response.result().ordinal()]++;
                if (response.result() != SubmissionResponse.Result.NO_RESPONSE) {
                    final long nowNs = System.nanoTime();
                    tally.latencies.recordValue(nowNs - sentNs);
                    lastResponseNs.accumulateAndGet(nowNs, Math::max);
                }
            }
        }
        return tally;
    }

    private boolean shouldContinue() {
        final long nowNs = System.nanoTime();
        return nowNs - lastResponseNs.get() < responseTimeout.toNanos() && nowNs - startNs < totalTimeout.toNanos();
    }

    private ClientMessage message(final int index) {
        return new ClientMessage(
                String.format("%016x", index),
                CourierConfiguration.SAFE_CLASS,
                null,
                MESSAGE_TIMEOUT_MS,
                index % destinations,
                body);
    }
}
