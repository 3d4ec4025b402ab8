package railspar.scale.standin;

/**
 * What one destination has seen so far.
 *
 * @param calls calls that arrived whole
 * @param messages messages in them
 * @param accepted messages that it accepted
 * @param turnedAway messages that it turned away
 * @param falls how often it fell, sent more than it bore while it warmed up
 * @param running calls that run now
 * @param waiting calls that wait for a slot now
 */
public record DestinationCounts(
        long calls, long messages, long accepted, long turnedAway, long falls, int running, int waiting) {}
