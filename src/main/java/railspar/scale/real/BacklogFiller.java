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
 * Hands a number of messages in as fast as a number of clients can, each message once. It ends early when no answer has
 * come for some time, or when it has taken too long as a whole.
 */
final class BacklogFiller {
    private static final int DIGITS = 3;
    private static final double NS_PER_MS = 1_000_000;
    private static final double NS_PER_SECOND = 1_000_000_000;
    private static final long TIMEOUT_MS = TimeUnit.DAYS.toMillis(1);

    private final InetSocketAddress courier;
    private final int destinations;
    private final byte[] body;
    private final int messages;
    private final Duration giveUp;
    private final Duration longest;
    private final AtomicInteger next = new AtomicInteger();
    private final AtomicLong answeredNs = new AtomicLong();
    private volatile long beginNs;

    BacklogFiller(
            final InetSocketAddress courier,
            final int destinations,
            final int bodyBytes,
            final int messages,
            final Duration giveUp,
            final Duration longest) {
        this.courier = courier;
        this.destinations = destinations;
        this.body = new byte[bodyBytes];
        Arrays.fill(body, (byte) 'x');
        this.messages = messages;
        this.giveUp = giveUp;
        this.longest = longest;
    }

    /** What one client saw. */
    private static final class Tally {
        private final int[] counts = new int[SubmissionResponse.Result.values().length];
        private final Histogram latencies = new Histogram(DIGITS);

        private int count(final SubmissionResponse.Result result) {
            return counts[result.ordinal()];
        }

        private void add(final Tally other) {
            for (int index = 0; index < counts.length; index++) {
                counts[index] += other.counts[index];
            }
            latencies.add(other.latencies);
        }
    }

    BacklogSlopeResult.HandInCounts fill(final int clients) throws InterruptedException, ExecutionException {
        final ExecutorService threads = Executors.newFixedThreadPool(clients);
        beginNs = System.nanoTime();
        answeredNs.set(beginNs);
        final Tally total = new Tally();
        try {
            final List<Future<Tally>> running = new ArrayList<>();
            for (int count = 0; count < clients; count++) {
                running.add(threads.submit(this::client));
            }
            for (final Future<Tally> one : running) {
                total.add(one.get());
            }
        } finally {
            threads.shutdownNow();
        }
        final int handedIn = Arrays.stream(total.counts).sum();
        return new BacklogSlopeResult.HandInCounts(
                total.count(SubmissionResponse.Result.ACCEPTED),
                total.count(SubmissionResponse.Result.REJECTED),
                total.count(SubmissionResponse.Result.FAILED),
                total.count(SubmissionResponse.Result.NO_RESPONSE),
                messages - handedIn,
                (answeredNs.get() - beginNs) / NS_PER_SECOND,
                total.latencies.getValueAtPercentile(50) / NS_PER_MS,
                total.latencies.getValueAtPercentile(99) / NS_PER_MS,
                total.latencies.getMaxValue() / NS_PER_MS);
    }

    private Tally client() {
        final Tally tally = new Tally();
        try (ClientConnection connection = new ClientConnection(courier)) {
            for (int index = next.getAndIncrement();
                    index < messages && isWorthwhile();
                    index = next.getAndIncrement()) {
                final long sentNs = System.nanoTime();
                final SubmissionResponse answer = connection.submit(message(index));
                tally.counts[answer.result().ordinal()]++;
                if (answer.result() != SubmissionResponse.Result.NO_RESPONSE) {
                    final long nowNs = System.nanoTime();
                    tally.latencies.recordValue(nowNs - sentNs);
                    answeredNs.accumulateAndGet(nowNs, Math::max);
                }
            }
        }
        return tally;
    }

    private boolean isWorthwhile() {
        final long nowNs = System.nanoTime();
        return nowNs - answeredNs.get() < giveUp.toNanos() && nowNs - beginNs < longest.toNanos();
    }

    private ClientMessage message(final int index) {
        return new ClientMessage(
                String.format("%016x", index),
                CourierConfiguration.SAFE_CLASS,
                null,
                TIMEOUT_MS,
                index % destinations,
                body);
    }
}
