package railspar.scale.standin;

/**
 * Calls that a courier may not make.
 *
 * @param unknown calls with a message that no client has handed in
 * @param misplaced calls at an address where the destination has no endpoint
 * @param toDrained calls to an endpoint that had drained for longer than the grace
 * @param secondCopies calls with a message that was still out in another call
 * @param repeated messages that must not be repeated and came again after they may have run
 * @param outOfOrder messages that came after a later one of their key
 * @param malformed calls that could not be read
 */
public record CallFaults(
        long unknown,
        long misplaced,
        long toDrained,
        long secondCopies,
        long repeated,
        long outOfOrder,
        long malformed) {
    /** How many there are in all. */
    public long total() {
        return unknown + misplaced + toDrained + secondCopies + repeated + outOfOrder + malformed;
    }
}
