package railspar.scale.real;

/**
 * What a list that changes at a steady pace costs one real courier.
 *
 * @param memoryMb the limit on memory that its configuration stated
 * @param destinations destinations in the list
 * @param endpoints endpoints in the list
 * @param changes changes that were told
 * @param secondsBetweenChanges time between two of them
 * @param processors processors of the machine
 * @param readySeconds from the start until it answered that it is ready
 * @param listSeconds from the start until the whole list was in force
 * @param observedSeconds from the first change until after the last one
 * @param changesInForce how many of the changes came into force in the time that the platform allows
 * @param inForceP50Seconds time until a change was in force, median, read from the log every 20 ms
 * @param inForceP99Seconds the same, 99th percentile
 * @param inForceWorstSeconds the same, the slowest one
 * @param processorShare share of a core, all work of the process together
 * @param residentMbAtStart resident memory when the first change was told
 * @param residentMbAtEnd resident memory at the end
 * @param peakResidentMb the most that was resident
 * @param controlBytesPerSecond bytes to and from discovery, HTTP included, a second
 * @param worstMinuteBytesPerSecond the same in the minute, or the time between two changes, with most of them
 * @param wholeLists whole lists that were begun after the first one
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
    /** The figures as lines of text. */
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
