package railspar.scale.real;

import java.util.List;

/**
 * What a list of each size costs one real courier.
 *
 * @param memoryMb the limit on memory that its configuration stated
 * @param endpointsPerDestination endpoints of a destination on average
 * @param idleSeconds how long it was watched while idle
 * @param warmUpChanges how many changes were told before those that were measured
 * @param changes how many changes were measured
 * @param processors processors of the machine
 * @param rows one for each size
 */
record ListSlopeResult(
        int memoryMb,
        double endpointsPerDestination,
        int idleSeconds,
        int warmUpChanges,
        int changes,
        int processors,
        List<Row> rows) {
    /**
     * One size. A null stands for what never came.
     *
     * @param destinations destinations in the list
     * @param endpoints endpoints in the list
     * @param listBytes the whole list as one line
     * @param alive true if the process was alive at the end of the first part
     * @param first from an empty folder
     * @param residentMb resident memory after the idle time
     * @param peakResidentMb the most that was resident until then
     * @param idleShare share of a core used while idle
     * @param changesInForce true if the last change came into force
     * @param millisPerChange processor time for one change, the idle share taken off
     * @param afterKill on the same folder after SIGKILL
     */
    record Row(
            int destinations,
            int endpoints,
            long listBytes,
            boolean alive,
            Start first,
            Double residentMb,
            Double peakResidentMb,
            Double idleShare,
            boolean changesInForce,
            Double millisPerChange,
            Start afterKill) {}

    /**
     * One start of the process.
     *
     * @param readySeconds until it answered that it is ready
     * @param listSeconds until the whole list was in force
     * @param observedSeconds how long its traffic with discovery was counted
     * @param bytesFromDiscovery bytes sent to it meanwhile
     * @param wholeLists whole lists that were begun meanwhile
     * @param connections connections to discovery meanwhile
     */
    record Start(
            Double readySeconds,
            Double listSeconds,
            double observedSeconds,
            long bytesFromDiscovery,
            int wholeLists,
            int connections) {}
}
