package railspar.list;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Builds lists as discovery writes them, and describes parsed lists and tables as text. */
final class TestLists {
    static final long BUDGET = 64 << 20;

    private TestLists() {}

    static String entry(final String host, final String dial, final long destination, final String health) {
        return "{\"host\":\"" + host + "\",\"dial\":\"" + dial + "\",\"site\":\"z" + destination % 9
                + "\",\"class\":\"m" + destination % 3 + "\",\"block\":" + destination + ",\"health\":\"" + health
                + "\",\"share\":" + (1 + destination % 7) + ".5,\"born_ms\":0}";
    }

    static String list(final long version, final boolean full, final String... entries) {
        return "{\"seq\":" + version + ",\"whole\":" + full + ",\"hosts\":[" + String.join(",", entries) + "]}\n";
    }

    /** A full list of the given number of destinations, with 1.7 endpoints each. */
    static String fleet(final long version, final int destinations) {
        final int endpoints = destinations * 17 / 10;
        final String[] entries = new String[endpoints];
        for (int index = 0; index < endpoints; index++) {
            entries[index] = entry(name(index), dial(index), index % destinations, "Ready");
        }
        return list(version, true, entries);
    }

    static String name(final int index) {
        return "s-%08x".formatted(index * 0x9E3779B9);
    }

    static String dial(final int index) {
        return "10." + (index >> 16) + "." + (index >> 8 & 255) + "." + (index & 255) + ":7070";
    }

    /** Records the events of a parser in order. */
    static final class ParsedLists implements ListParser.Listener {
        final List<StagedList> lists = new ArrayList<>();
        final List<String> events = new ArrayList<>();

        @Override
        public void onList(final StagedList list) {
            lists.add(list);
            events.add("list " + list.version() + " " + list.isFull() + " " + entries(list));
        }

        @Override
        public void onHeartbeat() {
            events.add("heartbeat");
        }

        @Override
        public void onUnusableEntry(final String problem) {
            events.add("unusable " + problem);
        }
    }

    static String entries(final StagedList list) {
        final StringBuilder text = new StringBuilder();
        list.forEach(entry -> text.append(entry.name())
                .append(' ')
                .append(entry.condition)
                .append(entry.hasDestination ? " to " + entry.destination : " nowhere")
                .append(entry.hasAddress ? " at " + Integer.toHexString(entry.ip) + ":" + entry.port : " unreachable")
                .append(' ')
                .append(list.zones().textOf(entry.zone))
                .append(' ')
                .append(list.kinds().textOf(entry.kind))
                .append(' ')
                .append(entry.weight)
                .append("; "));
        return text.toString();
    }

    static ParsedLists parse(final String text) throws IOException {
        final ParsedLists parsed = new ParsedLists();
        final byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        new ListParser(BUDGET, parsed).feed(bytes, 0, bytes.length);
        return parsed;
    }

    /** Records the events of an update in order. */
    static final class RecordedChanges implements TableUpdate.Listener {
        final EndpointTable table;
        final List<String> events = new ArrayList<>();

        RecordedChanges(final EndpointTable table) {
            this.table = table;
        }

        @Override
        public void onEntry(final long endpoint, final TableUpdate.Change change) {
            events.add(change + " " + table.nameOf(endpoint));
        }

        @Override
        public void onRemoved(final long endpoint) {
            events.add("removed " + table.nameOf(endpoint));
        }

        @Override
        public void onUnusableEntry(final String problem) {
            events.add("unusable " + problem);
        }
    }

    static List<String> apply(final EndpointTable table, final String text) throws IOException {
        final RecordedChanges changes = new RecordedChanges(table);
        for (final StagedList list : parse(text).lists) {
            TableUpdate.apply(table, list, changes);
        }
        return changes.events;
    }

    /** The version and all listed endpoints of a table, sorted by name. */
    static String describe(final EndpointTable table) {
        final TreeMap<String, String> all = new TreeMap<>();
        table.forEach(endpoint -> all.put(
                table.nameOf(endpoint),
                table.conditionOf(endpoint) + " " + table.addressOf(endpoint) + " " + table.zoneOf(endpoint) + " "
                        + table.kindOf(endpoint) + " " + table.weightOf(endpoint) + " "
                        + table.destinationOf(endpoint)));
        return table.version() + " " + all;
    }
}
