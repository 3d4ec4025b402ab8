package railspar.scale.standin;

/**
 * Counts of one simulated destination so far.
 *
 * @param calls calls that arrived complete
 * @param messages messages in them
 * @param accepted messages that the destination accepted
 * @param turnedAway messages that the destination rejected
 * @param falls how often it failed because it was overloaded during its warm-up
 * @param running calls that are executing now
 * @param waiting calls that are queued for a slot now
 */
public record DestinationCounts(
        long calls, long messages, long accepted, long turnedAway, long falls, int running, int waiting) {}
