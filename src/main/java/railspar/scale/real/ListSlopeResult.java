package railspar.scale.real;

import java.util.List;

/**
 * Costs of one real courier at each size of its endpoint list.
 *
 * @param memoryMb the memory limit in its configuration
 * @param endpointsPerDestination endpoints of a destination on average
 * @param idleSeconds how long it was measured while idle
 * @param warmUpChanges how many unmeasured changes preceded the measured ones
 * @param changes how many changes were measured
 * @param processors number of processors of the machine
 * @param rows one row for each size
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
     * The figures of one size. A null means that the figure could not be measured.
     *
     * @param destinations destinations in the list
     * @param endpoints endpoints in the list
     * @param listBytes length of the whole list as one line
     * @param alive true if the process was alive before it was killed
     * @param first the start on an empty folder
     * @param residentMb resident memory after the idle time
     * @param peakResidentMb peak resident memory until then
     * @param idleShare share of a core used while idle
     * @param changesInForce true if the last change was applied in time and its cost measured
     * @param millisPerChange processor time for one change, less the idle share
     * @param afterKill the start on the same folder after SIGKILL
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
     * @param readySeconds time until it answered that it is ready
     * @param listSeconds time until the whole list was applied
     * @param observedSeconds how long its traffic with discovery was counted
     * @param bytesFromDiscovery bytes that discovery sent to it in that time
     * @param wholeLists whole lists that discovery began to send in that time
     * @param connections connections to discovery opened in that time
     */
    record Start(
            Double readySeconds,
            Double listSeconds,
            double observedSeconds,
            long bytesFromDiscovery,
            int wholeLists,
            int connections) {}
}
