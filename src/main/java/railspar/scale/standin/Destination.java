package railspar.scale.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * The limits and state of one simulated destination. It has no sockets, and the caller passes the time. Not
 * thread-safe.
 */
final class Destination {
    private static final double NS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    /** Burst capacity of the rate limit, as the time in which the limit admits as many messages. */
    private static final double BURST_SECONDS = 0.1;
    /** Lower bound of the retry delay, because many senders share the limit. */
    private static final long MIN_RETRY_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(10);

    /** A call that waits for a slot. */
    interface Call {
        /** Called once the call has a slot; it executes now. */
        void run();
    }

    /** How many messages of a call are admitted, and the retry delay for the others. */
    record Admission(int admitted, long retryAfterNs) {}

    private final DestinationSettings settings;
    private final Deque<Call> queue = new ArrayDeque<>();
    private int runningCalls;
    private boolean hung;
    /** Tokens in the bucket of the rate limit: messages that it admits now. */
    private double tokens;

    private long tokensUpdatedNs = Long.MIN_VALUE;
    /** When the last outage ended; without an outage the destination has its full capacity. */
    private long warmUpStartNs = Long.MIN_VALUE;

    private long failedUntilNs = Long.MIN_VALUE;
    private long secondStartNs = Long.MIN_VALUE;
    private int messagesInSecond;

    private long callCount;
    private long messageCount;
    private long acceptedMessages;
    private long rejectedMessages;
    private long overloadFailures;

    Destination(final DestinationSettings settings) {
        this.settings = settings;
    }

    /** Sets whether calls stay unanswered. */
    void setHung(final boolean hanging) {
        hung = hanging;
    }

    boolean isHung() {
        return hung;
    }

    /** Ends an outage: the warm-up starts now. */
    void recover(final long nowNs) {
        warmUpStartNs = nowNs;
        tokens = 0;
        tokensUpdatedNs = nowNs;
    }

    /** The share of the rate limit that is available at the time, reduced during the warm-up. */
    double capacityShare(final long nowNs) {
        final long warmUpNs = settings.warmUp().toNanos();
        if (warmUpStartNs == Long.MIN_VALUE || nowNs - warmUpStartNs >= warmUpNs) {
            return 1;
        }
        final double progress = (double) (nowNs - warmUpStartNs) / warmUpNs;
        return settings.coldCapacityShare() + (1 - settings.coldCapacityShare()) * progress;
    }

    /** Decides how many messages of an arriving call are admitted. */
    Admission admit(final long nowNs, final int count) {
        callCount++;
        messageCount += count;
        detectOverload(nowNs, count);
        if (nowNs < failedUntilNs) {
            return reject(count, failedUntilNs - nowNs);
        }
        if (runningCalls >= settings.slots() && queue.size() >= settings.queueCapacity()) {
            return reject(count, 0);
        }
        if (settings.messagesPerSecond() == 0) {
            return new Admission(count, 0);
        }
        refillTokens(nowNs);
        final int admitted = (int) Math.min(count, Math.floor(tokens));
        tokens -= admitted;
        if (admitted == count) {
            return new Admission(count, 0);
        }
        final double missingTokens = 1 - (tokens - Math.floor(tokens));
        final long retryAfterNs =
                (long) (missingTokens / (settings.messagesPerSecond() * capacityShare(nowNs)) * NS_PER_SECOND);
        rejectedMessages += count - admitted;
        return new Admission(admitted, Math.max(MIN_RETRY_AFTER_NS, retryAfterNs));
    }

    private Admission reject(final int count, final long retryAfterNs) {
        rejectedMessages += count;
        return new Admission(0, retryAfterNs);
    }

    private void refillTokens(final long nowNs) {
        final double rate = settings.messagesPerSecond() * capacityShare(nowNs);
        final double maxTokens = Math.max(1, rate * BURST_SECONDS);
        if (tokensUpdatedNs == Long.MIN_VALUE) {
            tokens = maxTokens;
        } else {
            tokens = Math.min(maxTokens, tokens + rate * (nowNs - tokensUpdatedNs) / NS_PER_SECOND);
        }
        tokensUpdatedNs = nowNs;
    }

    /** Sent far more than its current capacity within a second of the warm-up, it fails, and then warms up again. */
    private void detectOverload(final long nowNs, final int count) {
        if (secondStartNs == Long.MIN_VALUE || nowNs - secondStartNs >= NS_PER_SECOND) {
            secondStartNs = nowNs;
            messagesInSecond = 0;
        }
        messagesInSecond += count;
        final double capacityShare = capacityShare(nowNs);
        final double capacity = settings.messagesPerSecond() * capacityShare;
        if (capacityShare < 1
                && capacity > 0
                && nowNs >= failedUntilNs
                && messagesInSecond > settings.overloadMultiple() * capacity) {
            overloadFailures++;
            failedUntilNs = nowNs + settings.overloadOutage().toNanos();
            recover(failedUntilNs);
        }
    }

    /** Starts an admitted call if a slot is free; otherwise queues it. */
    void start(final Call call) {
        if (runningCalls < settings.slots()) {
            runningCalls++;
            call.run();
        } else {
            queue.add(call);
        }
    }

    /** Ends a call that had a slot, and starts the next one in the queue. */
    void finish(final int newlyAccepted) {
        acceptedMessages += newlyAccepted;
        runningCalls--;
        final Call next = queue.poll();
        if (next != null) {
            runningCalls++;
            next.run();
        }
    }

    /** Removes a call from the queue; false if it was no longer queued. */
    boolean cancel(final Call call) {
        return queue.remove(call);
    }

    DestinationCounts counts() {
        return new DestinationCounts(
                callCount,
                messageCount,
                acceptedMessages,
                rejectedMessages,
                overloadFailures,
                runningCalls,
                queue.size());
    }
}
