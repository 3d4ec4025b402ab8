package railspar.scale.standin;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Follows each message from being handed in to its end. Clients, destinations and notices tell it what they see, with
 * the time at which they saw it. Thread-safe.
 */
public final class MessageLedger {
    /** How long after its time a message that has not ended is lost. */
    public static final Duration GRACE = Duration.ofMillis(300);

    private static final int DIGITS = 3;
    private static final double MEDIAN = 50;
    private static final double ALMOST_ALL = 99;
    private static final double NS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

    private static final class Entry {
        private final long handedInNs;
        private final long dueNs;
        private HandInAnswer.Result answer;
        private long acceptedNs;
        private int acceptances;
        private Outcome outcome;
        private long outcomeNs;

        Entry(final long handedInNs, final long dueNs) {
            this.handedInNs = handedInNs;
            this.dueNs = dueNs;
        }

        private boolean isTakenOn() {
            return answer == HandInAnswer.Result.TAKEN_ON;
        }

        private boolean isOver() {
            return acceptances > 0 || outcome != null;
        }

        private long endedNs() {
            return acceptances > 0 && (outcome == null || acceptedNs <= outcomeNs) ? acceptedNs : outcomeNs;
        }
    }

    private final Map<String, Entry> entries = new HashMap<>();
    private final Histogram answers = new Histogram(DIGITS);
    private final Histogram deliveries = new Histogram(DIGITS);

    /** A client hands this message in. */
    public synchronized void handedIn(final HandIn message, final long atNs) {
        final long dueNs = atNs + TimeUnit.MILLISECONDS.toNanos(message.timeoutMs());
        entries.put(message.id(), new Entry(atNs, dueNs));
    }

    /** A client has its answer, or has stopped waiting for it. */
    public synchronized void answered(final String id, final HandInAnswer.Result result, final long atNs) {
        final Entry entry = entries.get(id);
        entry.answer = result;
        if (result != HandInAnswer.Result.NO_ANSWER) {
            answers.recordValue(Math.max(0, atNs - entry.handedInNs));
        }
    }

    /** A destination has accepted a message; one that is not known here is ignored. */
    public synchronized void accepted(final String id, final long atNs) {
        final Entry entry = entries.get(id);
        if (entry == null) {
            return;
        }
        entry.acceptances++;
        if (entry.acceptances == 1) {
            entry.acceptedNs = atNs;
            deliveries.recordValue(Math.max(0, atNs - entry.handedInNs));
        }
    }

    /** The platform has a notice; the first one for a message counts. */
    public synchronized void noticed(final Outcome outcome, final long atNs) {
        final Entry entry = entries.get(outcome.id());
        if (entry != null && entry.outcome == null) {
            entry.outcome = outcome;
            entry.outcomeNs = atNs;
        }
    }

    /** What has become of all of them by that time. */
    public synchronized LedgerReport report(final long atNs) {
        final int[] byAnswer = new int[HandInAnswer.Result.values().length];
        int delivered = 0;
        int undeliverable = 0;
        int deferred = 0;
        int lost = 0;
        int late = 0;
        int open = 0;
        int duplicates = 0;
        for (final Entry entry : entries.values()) {
            if (entry.answer != null) {
                byAnswer[entry.answer.ordinal()]++;
            }
            if (!entry.isTakenOn()) {
                continue;
            }
            duplicates += Math.max(0, entry.acceptances - 1);
            final long lostNs = entry.dueNs + GRACE.toNanos();
            if (!entry.isOver()) {
                lost += atNs > lostNs ? 1 : 0;
                open += atNs > lostNs ? 0 : 1;
                continue;
            }
            late += entry.endedNs() > lostNs ? 1 : 0;
            if (entry.acceptances > 0) {
                delivered++;
            } else if (entry.outcome.status() == Outcome.Status.UNDELIVERABLE) {
                undeliverable++;
            } else {
                deferred++;
            }
        }
        return new LedgerReport(
                entries.size(),
                byAnswer[HandInAnswer.Result.TAKEN_ON.ordinal()],
                byAnswer[HandInAnswer.Result.REFUSED.ordinal()],
                byAnswer[HandInAnswer.Result.FAILED.ordinal()],
                byAnswer[HandInAnswer.Result.NO_ANSWER.ordinal()],
                delivered,
                undeliverable,
                deferred,
                lost,
                late,
                duplicates,
                open,
                answers.getValueAtPercentile(MEDIAN) / NS_PER_MS,
                answers.getValueAtPercentile(ALMOST_ALL) / NS_PER_MS,
                deliveries.getValueAtPercentile(MEDIAN) / NS_PER_MS,
                deliveries.getValueAtPercentile(ALMOST_ALL) / NS_PER_MS);
    }
}
