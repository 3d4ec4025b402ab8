package railspar.scale.standin;

/**
 * What became of the messages that were handed in.
 *
 * @param handedIn all of them
 * @param takenOn those that a courier took on
 * @param refused those that it refused, and that may be handed in again
 * @param failed those that it answered otherwise
 * @param noAnswer those that it did not answer in time, and that count for nothing further
 * @param delivered taken on and accepted by their destination
 * @param undeliverable taken on and ended by a notice that they have failed
 * @param deferred taken on and ended by a notice that they may come again
 * @param lost taken on and neither, 300 ms after their time was up
 * @param late taken on and ended later than that
 * @param duplicates times that a message was accepted again
 * @param open taken on, neither, and with time left
 * @param answerP50Ms median time of an answer to a client
 * @param answerP99Ms 99th percentile of it
 * @param deliveryP50Ms median time from handing in to the acceptance
 * @param deliveryP99Ms 99th percentile of it
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
