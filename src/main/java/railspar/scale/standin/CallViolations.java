package railspar.scale.standin;

/**
 * Counts of calls that violate the delivery rules.
 *
 * @param unknownMessages calls with a message that no client has submitted
 * @param wrongAddress calls at an address where the destination has no endpoint
 * @param afterDrain calls to an endpoint that had been draining for longer than the grace period
 * @param concurrentCopies calls with a message that another call in progress carried too
 * @param repeatedExecutions non-idempotent messages that were executed again after they may have been executed
 * @param outOfOrder messages that arrived after a later message of the same key
 * @param malformed calls that could not be parsed
 */
public record CallViolations(
        long unknownMessages,
        long wrongAddress,
        long afterDrain,
        long concurrentCopies,
        long repeatedExecutions,
        long outOfOrder,
        long malformed) {
    /** The number of violations of all kinds. */
    public long total() {
        return unknownMessages
                + wrongAddress
                + afterDrain
                + concurrentCopies
                + repeatedExecutions
                + outOfOrder
                + malformed;
    }
}
