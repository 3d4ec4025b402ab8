package railspar.scale.real;

import java.util.List;

/**
 * Costs of one real courier at each size of its backlog.
 *
 * @param memoryMb the memory limit in its configuration
 * @param destinations destinations, all of which refuse connections
 * @param clients clients that submit messages
 * @param bodyBytes size of a message body
 * @param processors number of processors of the machine
 * @param rows one row for each size
 */
record BacklogSlopeResult(int memoryMb, int destinations, int clients, int bodyBytes, int processors, List<Row> rows) {
    /**
     * The figures of one size. A null means that the figure could not be measured.
     *
     * @param messages messages to be submitted
     * @param handIn how they were answered
     * @param residentMb resident memory afterwards
     * @param peakResidentMb peak resident memory until then
     * @param processorShare share of a core used afterwards, while no message is submitted
     * @param journalBytes size of the state folder
     * @param outstanding open messages of the courier afterwards, or -1 if it did not answer
     * @param notices notices received until then
     * @param outOfMemory true if its log reports that it ran out of memory
     * @param alive true if its process was alive before the kill
     * @param readyAfterKillSeconds time from the restart on the same folder until it was ready
     * @param outstandingAfterKill open messages after the restart, or -1 if it did not answer
     * @param outOfMemoryAfterKill true if its log after the restart reports that it ran out of memory
     * @param aliveAfterKill true if the restarted process was alive at the end
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
     * @param takenOn accepted
     * @param refused rejected with 429 or 503
     * @param failed answered with any other status
     * @param noAnswer not answered in time
     * @param notHandedIn not submitted, because responses stopped or the time limit was reached
     * @param seconds time from the start to the last response
     * @param p50Ms median response time
     * @param p99Ms 99th percentile of the response time
     * @param worstMs longest response time
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
        /** Elapsed time for each accepted message, or null if none was accepted. */
        Double millisEach() {
            return takenOn == 0 ? null : (Double) (seconds * 1000 / takenOn);
        }
    }
}
