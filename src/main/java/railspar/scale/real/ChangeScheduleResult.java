package railspar.scale.real;

/**
 * Costs of one real courier while its endpoint list changes at a constant rate.
 *
 * @param memoryMb the memory limit in its configuration
 * @param destinations destinations in the list
 * @param endpoints endpoints in the list
 * @param changes changes that discovery published
 * @param secondsBetweenChanges time between two of them
 * @param processors number of processors of the machine
 * @param readySeconds time from the start until it answered that it is ready
 * @param listSeconds time from the start until the whole list was applied
 * @param observedSeconds time from the first change until after the last one
 * @param changesInForce how many of the changes were applied within the time that the platform allows
 * @param inForceP50Seconds median time until a change was applied, read from the log every 20 ms
 * @param inForceP99Seconds the same, 99th percentile
 * @param inForceWorstSeconds the same, the slowest one
 * @param processorShare share of a core, for all work of the process
 * @param residentMbAtStart resident memory before the first change
 * @param residentMbAtEnd resident memory at the end
 * @param peakResidentMb peak resident memory
 * @param controlBytesPerSecond bytes per second to and from discovery, HTTP included
 * @param worstMinuteBytesPerSecond the highest such rate over a minute, or over the time between two
 *     changes if that is longer
 * @param wholeLists whole lists that discovery began to send after the first one
 */
record ChangeScheduleResult(
        int memoryMb,
        int destinations,
        int endpoints,
        int changes,
        double secondsBetweenChanges,
        int processors,
        double readySeconds,
        double listSeconds,
        double observedSeconds,
        int changesInForce,
        double inForceP50Seconds,
        double inForceP99Seconds,
        double inForceWorstSeconds,
        double processorShare,
        double residentMbAtStart,
        double residentMbAtEnd,
        double peakResidentMb,
        double controlBytesPerSecond,
        double worstMinuteBytesPerSecond,
        int wholeLists) {
    /** The figures as a text table. */
    String table() {
        final TextTable table = new TextTable("figure", "value");
        table.row("destinations, endpoints", destinations + ", " + endpoints);
        table.row("changes, one in", changes + ", " + TextTable.number(secondsBetweenChanges, "%.1f s"));
        table.row("ready", TextTable.number(readySeconds, "%.2f s"));
        table.row("whole list in force", TextTable.number(listSeconds, "%.2f s"));
        table.row("changes in force", changesInForce + " of " + changes);
        table.row("change in force, p50", TextTable.number(inForceP50Seconds, "%.3f s"));
        table.row("change in force, p99", TextTable.number(inForceP99Seconds, "%.3f s"));
        table.row("change in force, worst", TextTable.number(inForceWorstSeconds, "%.3f s"));
        table.row("processor, of a core", TextTable.number(100 * processorShare, "%.2f%%"));
        table.row("resident at first", TextTable.number(residentMbAtStart, "%.1f MB"));
        table.row("resident at the end", TextTable.number(residentMbAtEnd, "%.1f MB"));
        table.row("control, mean", TextTable.number(controlBytesPerSecond, "%.1f B/s"));
        table.row("control, worst minute", TextTable.number(worstMinuteBytesPerSecond, "%.1f B/s"));
        table.row("whole lists after the first", Integer.toString(wholeLists));
        return table.toString();
    }
}
