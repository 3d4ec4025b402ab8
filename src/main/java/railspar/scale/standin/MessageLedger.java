package railspar.scale.standin;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Tracks each message from its submission to its end. Clients, destinations and receivers of notices report each event
 * with its time. Thread-safe.
 */
public final class MessageLedger {
    /** How long after its deadline a message that has not ended counts as lost. */
    public static final Duration GRACE = Duration.ofMillis(300);

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double HIGH_PERCENTILE = 99;
    private static final double NS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

    private static final class Entry {
        private final long submittedNs;
        private final long deadlineNs;
        private SubmissionResponse.Result result;
        private long deliveredNs;
        private int deliveryCount;
        private Outcome outcome;
        private long outcomeNs;

        Entry(final long submittedNs, final long deadlineNs) {
            this.submittedNs = submittedNs;
            this.deadlineNs = deadlineNs;
        }

        private boolean isAccepted() {
            return result == SubmissionResponse.Result.ACCEPTED;
        }

        private boolean hasEnded() {
            return deliveryCount > 0 || outcome != null;
        }

        private long endNs() {
            return deliveryCount > 0 && (outcome == null || deliveredNs <= outcomeNs) ? deliveredNs : outcomeNs;
        }
    }

    private final Map<String, Entry> entries = new HashMap<>();
    private final Histogram responseTimes = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram deliveryTimes = new Histogram(SIGNIFICANT_DIGITS);

    /** Records that a client submits a message. */
    public synchronized void recordSubmission(final ClientMessage message, final long atNs) {
        final long deadlineNs = atNs + TimeUnit.MILLISECONDS.toNanos(message.timeoutMs());
        entries.put(message.id(), new Entry(atNs, deadlineNs));
    }

    /** Records the response to a message, or that the client stopped waiting for it. */
    public synchronized void recordResponse(final String id, final SubmissionResponse.Result result, final long atNs) {
        final Entry entry = entries.get(id);
        entry.result = result;
        if (result != SubmissionResponse.Result.NO_RESPONSE) {
            responseTimes.recordValue(Math.max(0, atNs - entry.submittedNs));
        }
    }

    /** Records that a destination accepted a message; unknown messages are ignored. */
    public synchronized void recordDelivery(final String id, final long atNs) {
        final Entry entry = entries.get(id);
        if (entry == null) {
            return;
        }
        entry.deliveryCount++;
        if (entry.deliveryCount == 1) {
            entry.deliveredNs = atNs;
            deliveryTimes.recordValue(Math.max(0, atNs - entry.submittedNs));
        }
    }

    /** Records a notice to the platform; only the first one for a message counts. */
    public synchronized void recordOutcome(final Outcome outcome, final long atNs) {
        final Entry entry = entries.get(outcome.id());
        if (entry != null && entry.outcome == null) {
            entry.outcome = outcome;
            entry.outcomeNs = atNs;
        }
    }

    /** The state of all messages at the given time. */
    public synchronized LedgerReport report(final long atNs) {
        final int[] countsByResult = new int[SubmissionResponse.Result.values().length];
        int delivered = 0;
        int undeliverable = 0;
        int deferred = 0;
        int lost = 0;
        int late = 0;
        int open = 0;
        int duplicates = 0;
        for (final Entry entry : entries.values()) {
            if (entry.result != null) {
                countsByResult[entry.result.ordinal()]++;
            }
            if (!entry.isAccepted()) {
                continue;
            }
            duplicates += Math.max(0, entry.deliveryCount - 1);
            final long lostAfterNs = entry.deadlineNs + GRACE.toNanos();
            if (!entry.hasEnded()) {
                lost += atNs > lostAfterNs ? 1 : 0;
                open += atNs > lostAfterNs ? 0 : 1;
                continue;
            }
            late += entry.endNs() > lostAfterNs ? 1 : 0;
            if (entry.deliveryCount > 0) {
                delivered++;
            } else if (entry.outcome.status() == Outcome.Status.UNDELIVERABLE) {
                undeliverable++;
            } else {
                deferred++;
            }
        }
        return new LedgerReport(
                entries.size(),
                countsByResult[SubmissionResponse.Result.ACCEPTED.ordinal()],
                countsByResult[SubmissionResponse.Result.REJECTED.ordinal()],
                countsByResult[SubmissionResponse.Result.FAILED.ordinal()],
                countsByResult[SubmissionResponse.Result.NO_RESPONSE.ordinal()],
                delivered,
                undeliverable,
                deferred,
                lost,
                late,
                duplicates,
                open,
                responseTimes.getValueAtPercentile(MEDIAN_PERCENTILE) / NS_PER_MS,
                responseTimes.getValueAtPercentile(HIGH_PERCENTILE) / NS_PER_MS,
                deliveryTimes.getValueAtPercentile(MEDIAN_PERCENTILE) / NS_PER_MS,
                deliveryTimes.getValueAtPercentile(HIGH_PERCENTILE) / NS_PER_MS);
    }
}
