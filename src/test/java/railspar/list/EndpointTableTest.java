package railspar.list;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import railspar.Courier;

/** Tests the table and its updates: the reported differences, the cost of a change and the heap bytes of a row. */
final class EndpointTableTest {
    private static final String ADDRESS = "127.0.0.1:7070";
    private final EndpointTable table = new EndpointTable();

    private List<String> apply(final long version, final boolean full, final String... entries) throws IOException {
        return TestLists.apply(table, TestLists.list(version, full, entries));
    }

    private List<String> namesAt(final long destination) {
        final List<String> names = new ArrayList<>();
        table.forEachOfDestination(destination, endpoint -> names.add(table.nameOf(endpoint)));
        return names;
    }

    @Test
    void reportsTheDifferenceThatEachEntryMakes() throws IOException {
        assertEquals(
                List.of("ADDED a", "ADDED b", "ADDED c"),
                apply(
                        1,
                        true,
                        TestLists.entry("a", ADDRESS, 7, "Ready"),
                        TestLists.entry("b", ADDRESS, 7, "Ready"),
                        TestLists.entry("c", ADDRESS, 8, "Ready")));
        assertEquals(
                List.of("SAME a", "MOVED b", "CHANGED c", "ADDED d"),
                apply(
                        2,
                        false,
                        TestLists.entry("a", ADDRESS, 7, "Ready"),
                        TestLists.entry("b", "127.0.0.1:7071", 7, "Ready"),
                        TestLists.entry("c", ADDRESS, 8, "Terminating"),
                        TestLists.entry("d", ADDRESS, 7, "Ready")));
        assertEquals(List.of("a", "b", "d"), namesAt(7));
        assertEquals(
                List.of("GONE b", "removed b"),
                apply(
                        3,
                        false,
                        TestLists.entry("b", ADDRESS, 7, "Gone"),
                        TestLists.entry("unknown", ADDRESS, 99, "Gone")));
        assertTrue(table.knowsDestination(99));
        assertEquals(
                List.of("CHANGED d", "SAME c", "removed a"),
                apply(
                        4,
                        true,
                        TestLists.entry("d", ADDRESS, 8, "Ready"),
                        TestLists.entry("c", ADDRESS, 8, "Terminating")));
        assertEquals(List.of(), namesAt(7));
        assertEquals(List.of("c", "d"), namesAt(8));
        assertTrue(table.knowsDestination(7), "it was in an earlier list");
        assertFalse(table.knowsDestination(5));
        assertEquals(2, table.size());
        assertEquals(4, table.version());
    }

    @Test
    void anIdIsValidWhileItsNameIsKnownAndIsNeverReused() throws IOException {
        apply(1, true, TestLists.entry("a", ADDRESS, 7, "Ready"));
        final long first = table.idOf("a");
        apply(2, false, TestLists.entry("a", ADDRESS, 9, "Terminating"));
        assertEquals(first, table.idOf("a"));
        apply(3, false, TestLists.entry("a", ADDRESS, 9, "Gone"));
        assertNull(table.idOf("a"));
        assertFalse(table.isListed(first));
        assertEquals("", table.nameOf(first));
        apply(4, false, TestLists.entry("b", ADDRESS, 9, "Ready"));
        assertNotEquals(first, table.idOf("b"), "the row is reused, the id is not");
        assertThrows(IllegalArgumentException.class, () -> table.zoneOf(first));
    }

    @Test
    void aReservedNameKeepsItsIdWhenAListContainsIt() throws IOException {
        final long id = table.reserve("a");
        assertFalse(table.isListed(id));
        assertEquals("a", table.nameOf(id));
        apply(1, true);
        assertEquals(id, table.idOf("a"), "a full list removes only listed endpoints");
        assertEquals(List.of("ADDED a"), apply(2, false, TestLists.entry("a", ADDRESS, 7, "Ready")));
        assertEquals(id, table.idOf("a"));
        assertEquals(1, table.size());
    }

    @Test
    void anUnusableEntryStillSetsTheConditionOfAKnownEndpoint() throws IOException {
        apply(1, true, TestLists.entry("a", ADDRESS, 7, "Ready"));
        final List<String> events = apply(
                2,
                false,
                "{\"host\":\"a\",\"health\":\"Terminating\"}",
                "{\"host\":\"new\",\"dial\":\"nowhere\",\"block\":8,\"health\":\"Ready\"}",
                TestLists.entry("b", ADDRESS, 8, "Ready"));
        assertEquals("CHANGED a", events.get(1));
        assertEquals("unusable 'dial' is not an IPv4 address with a port: 'nowhere'", events.get(2));
        assertEquals("ADDED b", events.get(3));
        assertEquals(Courier.Condition.DRAINING, table.conditionOf(table.idOf("a")));
        assertEquals(7, table.destinationOf(table.idOf("a")));
        assertEquals(
                List.of("CHANGED a"),
                apply(3, false, "{\"host\":\"a\",\"dial\":\"bad\",\"block\":7,\"health\":\"Ready\"}"),
                "it keeps its old address");
        assertEquals(7070, table.addressOf(table.idOf("a")).getPort());
    }

    @Test
    void anOlderVersionChangesNothing() throws IOException {
        apply(5, true, TestLists.entry("a", ADDRESS, 7, "Ready"));
        final String before = TestLists.describe(table);
        final ListFormatException rejection = assertThrows(
                ListFormatException.class, () -> apply(4, true, TestLists.entry("b", ADDRESS, 7, "Ready")));
        assertEquals(ListFormatException.Fault.OLDER_VERSION, rejection.fault());
        assertEquals(before, TestLists.describe(table));
    }

    @ParameterizedTest
    @ValueSource(ints = {5_000, 10_000, 20_000, 45_000})
    void anIncrementalListVisitsOnlyItsOwnEntriesWhateverTheSizeOfTheTable(final int destinations) throws IOException {
        TestLists.apply(table, TestLists.fleet(1, destinations));
        final long endpoints = table.size();
        assertEquals(destinations * 17L / 10, endpoints);
        assertTrue(table.bytes() <= 80 * endpoints, table.bytes() + " bytes for " + endpoints);
        final long before = table.entriesVisited();
        apply(2, false, TestLists.entry(TestLists.name(17), TestLists.dial(17), 17, "Terminating"));
        assertEquals(1, table.entriesVisited() - before);
        TestLists.apply(table, TestLists.fleet(3, destinations));
        assertEquals(
                1 + 2 * endpoints,
                table.entriesVisited() - before,
                "a full list takes one pass over its entries and one over the rows");
    }

    /** Endpoints are added and removed at random: the table must match a plain map, and its arrays must not leak. */
    @Test
    void matchesAPlainMapAfterRandomAdditionsAndRemovals() throws IOException {
        final Map<String, Long> model = new HashMap<>();
        final Random random = new Random(19);
        for (long version = 1; version <= 4000; version++) {
            final String name = TestLists.name(random.nextInt(300));
            final long destination = random.nextInt(100);
            final boolean removed = random.nextInt(3) == 0;
            apply(version, false, TestLists.entry(name, ADDRESS, destination, removed ? "Gone" : "Ready"));
            if (removed) {
                model.remove(name);
            } else {
                model.put(name, destination);
            }
        }
        assertEquals(model.size(), table.size());
        int found = 0;
        for (long destination = 0; destination < 100; destination++) {
            for (final String name : namesAt(destination)) {
                assertEquals(destination, model.get(name));
                assertEquals(destination, table.destinationOf(table.idOf(name)));
                found++;
            }
        }
        assertEquals(model.size(), found);
        assertTrue(table.bytes() < 60_000, table.bytes() + " bytes");
    }
}
