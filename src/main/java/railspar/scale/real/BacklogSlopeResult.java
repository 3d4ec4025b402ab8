package railspar.scale.real;

import java.util.List;

/**
 * What a backlog of each size costs one real courier.
 *
 * @param memoryMb the limit on memory that its configuration stated
 * @param destinations destinations, all of which refuse connections
 * @param clients clients that hand messages in
 * @param bodyBytes size of a message
 * @param processors processors of the machine
 * @param rows one for each size
 */
record BacklogSlopeResult(int memoryMb, int destinations, int clients, int bodyBytes, int processors, List<Row> rows) {
    /**
     * One size. A null stands for what never came.
     *
     * @param messages messages that were to be handed in
     * @param handIn how that went
     * @param residentMb resident memory afterwards
     * @param peakResidentMb the most that was resident until then
     * @param processorShare share of a core used afterwards
     * @param journalBytes size of the folder that lasts
     * @param outstanding messages that it held afterwards, or -1 without an answer
     * @param notices messages that it had ended by a notice until then
     * @param outOfMemory true if its log tells of memory that ran out
     * @param alive true if its process was alive before the kill
     * @param readyAfterKillSeconds until it was ready again on the same folder
     * @param outstandingAfterKill messages that it held then, or -1 without an answer
     * @param outOfMemoryAfterKill true if its log then tells of memory that ran out
     * @param aliveAfterKill true if its second process was alive at the end
     */
    record Row(
            int messages,
            HandInCounts handIn,
            Double residentMb,
            Double peakResidentMb,
            Double processorShare,
            long journalBytes,
            long outstanding,
            int notices,
            boolean outOfMemory,
            boolean alive,
            Double readyAfterKillSeconds,
            long outstandingAfterKill,
            boolean outOfMemoryAfterKill,
            boolean aliveAfterKill) {}

    /**
     * How the messages of one size were answered.
     *
     * @param takenOn taken on
     * @param refused refused with 429 or 503
     * @param failed answered otherwise
     * @param noAnswer without an answer in time
     * @param notHandedIn not handed in any more, as no answers came
     * @param seconds from the first to the last
     * @param p50Ms median time of an answer
     * @param p99Ms 99th percentile of it
     * @param worstMs longest of them
     */
    record HandInCounts(
            int takenOn,
            int refused,
            int failed,
            int noAnswer,
            int notHandedIn,
            double seconds,
            double p50Ms,
            double p99Ms,
            double worstMs) {
        /** Elapsed time for each message that was taken on, or null if there is none. */
        Double millisEach() {
            return takenOn == 0 ? null : (Double) (seconds * 1000 / takenOn);
        }
    }
}
