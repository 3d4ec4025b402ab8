package railspar.list;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The copy of the list on disk: what a kill at any byte leaves of it, and what it takes. */
final class ListStoreTest {
    private static final long SETTINGS = 19;
    private static final long BUDGET = 1 << 20;
    private static final String AT = "127.0.0.1:7070";

    @TempDir
    private Path folder;

    private final List<String> log = new ArrayList<>();

    /** A process: its table, and its store. */
    private final class Courier {
        private final ListStore store;
        private EndpointTable table = new EndpointTable();
        private int bases;

        Courier(final long budget) {
            store = new ListStore(folder, SETTINGS, budget, log::add);
        }

        Courier load() {
            final EndpointTable stored = store.load(0);
            table = stored == null ? table : stored;
            return this;
        }

        Courier own() {
            store.takeOwnership(table);
            return this;
        }

        void take(final String text) throws IOException {
            for (final StagedList list : TestLists.parse(text).lists) {
                TableUpdate.apply(table, list, new Kept());
                final boolean wasWriting = store.isWriting();
                store.commit(table);
                bases += store.isWriting() && !wasWriting ? 1 : 0;
            }
        }

        void finish() {
            while (store.isWriting()) {
                store.writeSlice(table);
                assertTrue(diskBytes() <= BUDGET);
            }
        }

        /** Tells the store what a list changed. */
        private final class Kept implements TableUpdate.Listener {
            @Override
            public void onEntry(final long endpoint, final TableUpdate.Change change) {
                if (change != TableUpdate.Change.SAME && change != TableUpdate.Change.GONE) {
                    store.put(table, endpoint);
                }
            }

            @Override
            public void onRemoved(final long endpoint) {
                store.remove(table, endpoint);
            }

            @Override
            public void onUnusableEntry(final String problem) {
                throw new AssertionError(problem);
            }
        }
    }

    private static String change(final long version, final int index, final String health) {
        return TestLists.list(version, false, TestLists.entry("e" + index, AT, index % 5, health));
    }

    private long diskBytes() {
        try (Stream<Path> files = Files.list(folder)) {
            return files.mapToLong(file -> {
                        try {
                            return (Files.size(file) + 511) / 512 * 512;
                        } catch (final IOException e) {
                            throw new UncheckedIOException(e);
                        }
                    })
                    .sum();
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private byte[] stored() throws IOException {
        return Files.readAllBytes(folder.resolve("list"));
    }

    private void store(final byte[] bytes) throws IOException {
        Files.write(folder.resolve("list"), bytes);
    }

    private EndpointTable load() {
        return new ListStore(folder, SETTINGS, BUDGET, log::add).load(0);
    }

    /** A base and some changes; the result is how the table stood at each version. */
    private List<String> write() throws IOException {
        final Courier courier = new Courier(BUDGET).own();
        final List<String> states = new ArrayList<>();
        courier.take(TestLists.fleet(1, 5));
        courier.finish();
        states.add(TestLists.describe(courier.table));
        for (int version = 2; version <= 6; version++) {
            courier.take(change(version, version % 3, version == 5 ? "Gone" : "Ready"));
            states.add(TestLists.describe(courier.table));
        }
        courier.take(TestLists.list(7, true, TestLists.entry("e9", AT, 4, "Terminating")));
        states.add(TestLists.describe(courier.table));
        courier.store.releaseOwnership();
        return states;
    }

    @Test
    void aRestartHasTheListAsItWas() throws IOException {
        final List<String> states = write();
        assertEquals(states.get(states.size() - 1), TestLists.describe(load()));
        assertEquals("the stored list is at 7 with 1 endpoints", log.get(0));
    }

    @Test
    void aFileCutOffAtAnyByteGivesAnEarlierStateOrNone() throws IOException {
        final List<String> states = write();
        final byte[] whole = stored();
        int dropped = 0;
        int last = -1;
        for (int length = 0; length < whole.length; length++) {
            store(Arrays.copyOf(whole, length));
            log.clear();
            final Courier courier = new Courier(BUDGET);
            final EndpointTable found = courier.store.load(0);
            assertEquals(
                    1,
                    log.stream()
                            .filter(line -> line.contains("dropped") || line.contains(" at "))
                            .count());
            if (found == null) {
                dropped++;
                assertEquals(-1, last, "once the base is whole, it is used");
                continue;
            }
            final int state = states.indexOf(TestLists.describe(found));
            assertTrue(state >= last, "at " + length + " bytes: " + TestLists.describe(found));
            last = state;
            courier.table = found;
            courier.own().take(change(99, 50, "Ready"));
            courier.finish();
            courier.store.releaseOwnership();
            assertEquals(TestLists.describe(courier.table), TestLists.describe(load()), "it goes on behind the cut");
        }
        assertEquals(states.size() - 2, last, "the last change needs its last byte");
        assertTrue(dropped > 100, "no base that is torn was used");
    }

    @Test
    void aFileSpoiltAtAnyByteGivesAnEarlierStateOrNone() throws IOException {
        final List<String> states = write();
        final byte[] whole = stored();
        for (int at = 0; at < whole.length; at++) {
            final byte[] spoilt = whole.clone();
            spoilt[at] ^= 0x55;
            store(spoilt);
            final EndpointTable found = load();
            assertTrue(found == null || states.subList(0, states.size() - 1).contains(TestLists.describe(found)));
        }
    }

    @Test
    void aCopyFromOtherSettingsOrOlderThanTheConfigurationIsDropped() throws IOException {
        write();
        assertNull(new ListStore(folder, SETTINGS + 1, BUDGET, log::add).load(0));
        assertNull(new ListStore(folder, SETTINGS, BUDGET, log::add).load(8));
        assertNotNull(new ListStore(folder, SETTINGS, BUDGET, log::add).load(7));
        assertEquals("the stored list is dropped: it was written under other settings", log.get(0));
        assertEquals("the stored list is dropped: its version 7 is older than 8 in the configuration", log.get(1));
    }

    @Test
    void changesWhileABaseIsWrittenAndAKillAtEachSliceLoseNothingThatWasThere() throws IOException {
        final Courier courier = new Courier(BUDGET).own();
        courier.take(TestLists.fleet(1, 2000));
        int slices = 0;
        while (courier.store.isWriting()) {
            assertNull(load(), "a base that is not whole is not there");
            courier.take(change(2 + slices, slices, slices % 3 == 2 ? "Gone" : "Ready"));
            courier.take(TestLists.list(
                    2 + slices,
                    false,
                    TestLists.entry(TestLists.name(3000 - slices), AT, 0, "Gone"),
                    TestLists.entry(TestLists.name(slices), AT, 1, "Gone")));
            courier.store.writeSlice(courier.table);
            slices++;
        }
        assertTrue(slices > 5, slices + " slices");
        assertEquals(TestLists.describe(courier.table), TestLists.describe(load()));
    }

    @Test
    void whatCameBeforeTheProcessOwnsTheFileIsWrittenOnceItDoes() throws IOException {
        write();
        final Courier courier = new Courier(BUDGET).load();
        final byte[] before = stored();
        courier.take(change(8, 1, "Ready"));
        assertFalse(courier.store.isWriting());
        assertTrue(Arrays.equals(before, stored()), "another process may own it");
        courier.own();
        assertFalse(courier.store.isWriting(), "a change is appended, not a base written");
        assertEquals(TestLists.describe(courier.table), TestLists.describe(load()));
    }

    @Test
    void aFileThatAnotherProcessHasWrittenSinceIsWrittenAnew() throws IOException {
        write();
        final Courier waiting = new Courier(BUDGET).load();
        final Courier serving = new Courier(BUDGET).load().own();
        serving.take(change(8, 1, "Ready"));
        waiting.take(change(8, 1, "Ready"));
        serving.store.releaseOwnership();
        waiting.own();
        assertTrue(waiting.store.isWriting());
        waiting.finish();
        assertEquals(TestLists.describe(waiting.table), TestLists.describe(load()));
    }

    /** Each byte of a change costs about one more for a base. */
    @Test
    void basesAreWrittenAsOftenAsTheChangesHaveGrownAsLarge() throws IOException {
        final Courier courier = new Courier(BUDGET).own();
        courier.take(TestLists.fleet(1, 1000));
        courier.finish();
        final long base = stored().length;
        final int perChange = 80;
        final int changes = (int) (10 * base / perChange);
        for (int version = 2; version < 2 + changes; version++) {
            courier.take(TestLists.list(
                    version,
                    false,
                    TestLists.entry(TestLists.name(7), AT, 7, version % 2 == 0 ? "Ready" : "Terminating")));
            courier.finish();
            assertTrue(stored().length <= 2 * base + 1024, stored().length + " bytes, the base " + base);
        }
        assertTrue(courier.bases >= 5 && courier.bases <= 12, courier.bases + " bases");
        assertEquals(TestLists.describe(courier.table), TestLists.describe(load()));
    }

    @Test
    void aListThatOutgrowsItsBudgetIsNotKeptAndThatIsSaidOnce() throws IOException {
        final long budget = 20_000;
        final Courier courier = new Courier(budget).own();
        int version = 1;
        for (; version < 400; version++) {
            courier.take(change(version, version, "Ready"));
            while (courier.store.isWriting()) {
                courier.store.writeSlice(courier.table);
                assertTrue(diskBytes() <= budget, diskBytes() + " bytes");
            }
            assertTrue(diskBytes() <= budget, diskBytes() + " bytes");
            if (log.isEmpty()) {
                assertEquals(
                        TestLists.describe(courier.table),
                        TestLists.describe(new ListStore(folder, SETTINGS, budget, line -> {}).load(0)));
            }
        }
        assertEquals(List.of("no copy of the list is kept: it needs more than the 20000 bytes there are for it"), log);
        assertEquals(0, diskBytes());
        assertTrue(courier.table.size() > 300);
    }

    @Test
    void aBaseOfTheTargetSizeTakesLessThanSixtyBytesAnEndpoint() throws IOException {
        final Courier courier = new Courier(32 << 20).own();
        courier.take(TestLists.fleet(1, 45_000));
        while (courier.store.isWriting()) {
            courier.store.writeSlice(courier.table);
        }
        assertTrue(stored().length <= 60L * courier.table.size(), stored().length + " bytes");
        assertEquals(TestLists.describe(courier.table), TestLists.describe(load()));
    }
}
