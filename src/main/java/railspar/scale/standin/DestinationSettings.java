package railspar.scale.standin;

import java.time.Duration;

/**
 * The capacity of a simulated destination, and how it responds to overload.
 *
 * @param slots maximum number of calls that execute at once
 * @param queueCapacity maximum number of calls that wait for a slot
 * @param messagesPerSecond rate limit on messages, or 0 for none
 * @param sendsRetryAfter true if it rejects above the limit with 429 and a retry delay, false if with 503 alone
 * @param medianLatency median execution time of a call
 * @param latencySigma standard deviation of the logarithm of the execution time; 0 for a constant time
 * @param maxMessagesPerCall maximum number of messages in a call
 * @param warmUp time from the end of an outage until the full rate limit is available
 * @param coldCapacityShare share of the rate limit that is available right after an outage
 * @param overloadMultiple multiple of the current capacity above which the messages of one second make it fail during
 *     the warm-up
 * @param overloadOutage how long it rejects all messages after such a failure
 */
public record DestinationSettings(
        int slots,
        int queueCapacity,
        double messagesPerSecond,
        boolean sendsRetryAfter,
        Duration medianLatency,
        double latencySigma,
        int maxMessagesPerCall,
        Duration warmUp,
        double coldCapacityShare,
        double overloadMultiple,
        Duration overloadOutage) {
    /** A destination with a limit of 100 messages per second. */
    public static final DestinationSettings DEFAULT = new DestinationSettings(
            16, 32, 100, true, Duration.ofMillis(20), 0.5, 5, Duration.ofSeconds(10), 0.5, 2.0, Duration.ofSeconds(2));

    /** Rejects settings that are out of range. */
    public DestinationSettings {
        if (slots < 1 || queueCapacity < 0 || maxMessagesPerCall < 1) {
            throw new IllegalArgumentException("a destination needs at least one slot, a queue capacity of at least 0"
                    + " and at least one message per call");
        }
        if (messagesPerSecond < 0
                || latencySigma < 0
                || coldCapacityShare < 0
                || coldCapacityShare > 1
                || overloadMultiple < 1) {
            throw new IllegalArgumentException("the rate limit and the latency sigma must be at least 0,"
                    + " the cold capacity share between 0 and 1, and the overload multiple at least 1");
        }
    }

    /** A copy with another rate limit. */
    public DestinationSettings withMessagesPerSecond(final double limit) {
        return new DestinationSettings(
                slots,
                queueCapacity,
                limit,
                sendsRetryAfter,
                medianLatency,
                latencySigma,
                maxMessagesPerCall,
                warmUp,
                coldCapacityShare,
                overloadMultiple,
                overloadOutage);
    }

    /** A copy with another number of slots and another queue capacity. */
    public DestinationSettings withCapacity(final int newSlots, final int newQueueCapacity) {
        return new DestinationSettings(
                newSlots,
                newQueueCapacity,
                messagesPerSecond,
                sendsRetryAfter,
                medianLatency,
                latencySigma,
                maxMessagesPerCall,
                warmUp,
                coldCapacityShare,
                overloadMultiple,
                overloadOutage);
    }
}
