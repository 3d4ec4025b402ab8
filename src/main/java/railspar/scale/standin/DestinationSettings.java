package railspar.scale.standin;

import java.time.Duration;

/**
 * What a destination bears, and how it answers when it is sent more.
 *
 * @param slots calls that it runs at once
 * @param queue calls that wait for a slot, at most
 * @param messagesPerSecond its limit on messages, or 0 for none
 * @param retryAfter true if it turns away above the limit by 429 with a time to wait, false if by a bare 503
 * @param medianLatency median of the time that a call runs
 * @param latencySpread standard deviation of that time's logarithm; 0 for a constant
 * @param messagesPerCall messages that one call may carry
 * @param warming how long it takes to bear its whole limit after an outage
 * @param coldShare share of its limit that it bears right after an outage
 * @param tipMultiple how many times what it bears just now, within a second, make it fall
 * @param fall how long it turns all away after a fall
 */
public record DestinationSettings(
        int slots,
        int queue,
        double messagesPerSecond,
        boolean retryAfter,
        Duration medianLatency,
        double latencySpread,
        int messagesPerCall,
        Duration warming,
        double coldShare,
        double tipMultiple,
        Duration fall) {
    /** A destination that bears 100 messages a second. */
    public static final DestinationSettings DEFAULT = new DestinationSettings(
            16, 32, 100, true, Duration.ofMillis(20), 0.5, 5, Duration.ofSeconds(10), 0.5, 2.0, Duration.ofSeconds(2));

    /** Refuses settings that contradict themselves. */
    public DestinationSettings {
        if (slots < 1 || queue < 0 || messagesPerCall < 1) {
            throw new IllegalArgumentException("a destination has a slot at least and takes a message in a call");
        }
        if (messagesPerSecond < 0 || latencySpread < 0 || coldShare < 0 || coldShare > 1 || tipMultiple < 1) {
            throw new IllegalArgumentException("a limit, a spread, a share or a multiple is out of its range");
        }
    }

    /** The same with another limit on messages. */
    public DestinationSettings withMessagesPerSecond(final double limit) {
        return new DestinationSettings(
                slots,
                queue,
                limit,
                retryAfter,
                medianLatency,
                latencySpread,
                messagesPerCall,
                warming,
                coldShare,
                tipMultiple,
                fall);
    }

    /** The same with other room for calls. */
    public DestinationSettings withRoom(final int otherSlots, final int otherQueue) {
        return new DestinationSettings(
                otherSlots,
                otherQueue,
                messagesPerSecond,
                retryAfter,
                medianLatency,
                latencySpread,
                messagesPerCall,
                warming,
                coldShare,
                tipMultiple,
                fall);
    }
}
