package railspar.scale.standin;

/**
 * Counts of the submitted messages by outcome, and the times that they took.
 *
 * @param handedIn all submitted messages
 * @param takenOn messages accepted by a courier
 * @param refused messages rejected by a courier, which may be submitted again
 * @param failed messages with any other response
 * @param noAnswer messages without a response in time, which are left out of all counts below
 * @param delivered accepted by a courier and by the destination
 * @param undeliverable accepted by a courier and ended by a notice that they failed
 * @param deferred accepted by a courier and ended by a notice that they may be submitted again
 * @param lost accepted by a courier and, 300 ms after their deadline, neither delivered nor ended by a notice
 * @param late accepted by a courier and delivered or ended by a notice more than 300 ms after their deadline
 * @param duplicates repeated acceptances of messages by their destinations
 * @param open accepted by a courier, neither delivered nor ended by a notice, and not yet lost
 * @param answerP50Ms median time from submission to the courier's response
 * @param answerP99Ms 99th percentile of the same
 * @param deliveryP50Ms median time from submission to the first acceptance by the destination
 * @param deliveryP99Ms 99th percentile of the same
 */
public record LedgerReport(
        int handedIn,
        int takenOn,
        int refused,
        int failed,
        int noAnswer,
        int delivered,
        int undeliverable,
        int deferred,
        int lost,
        int late,
        int duplicates,
        int open,
        double answerP50Ms,
        double answerP99Ms,
        double deliveryP50Ms,
        double deliveryP99Ms) {}
