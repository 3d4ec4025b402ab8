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

/** Tests the stored list: what a kill after any written byte leaves of it, and how much disk it takes. */
final class ListStoreTest {
    private static final long SETTINGS = 19;
    private static final long BUDGET = 1 << 20;
    private static final String ADDRESS = "127.0.0.1:7070";

    @TempDir
    private Path folder;

    private final List<String> log = new ArrayList<>();

    /** A courier process: its table and its store. */
    private final class Courier {
        private final ListStore store;
        private EndpointTable table = new EndpointTable();
        private int snapshots;

        Courier(final long budget) {
            store = new ListStore(folder, SETTINGS, budget, log::add);
        }

        Courier load() {
            final EndpointTable stored = store.load(0);
            table = stored == null ? table : stored;
            return this;
        }

        Courier takeOwnership() {
            store.takeOwnership(table);
            return this;
        }

        void apply(final String text) throws IOException {
            for (final StagedList list : TestLists.parse(text).lists) {
                TableUpdate.apply(table, list, new StoreUpdate());
                final boolean wasWriting = store.isWriting();
                store.commit(table);
                snapshots += store.isWriting() && !wasWriting ? 1 : 0;
            }
        }

        void finishSnapshot() {
            while (store.isWriting()) {
                store.writeSlice(table);
                assertTrue(diskBytes() <= BUDGET);
            }
        }

        /** Passes the changes of a list to the store. */
        private final class StoreUpdate implements TableUpdate.Listener {
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
        return TestLists.list(version, false, TestLists.entry("e" + index, ADDRESS, index % 5, health));
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

    private byte[] readFile() throws IOException {
        return Files.readAllBytes(folder.resolve("list"));
    }

    private void writeFile(final byte[] bytes) throws IOException {
        Files.write(folder.resolve("list"), bytes);
    }

    private EndpointTable load() {
        return new ListStore(folder, SETTINGS, BUDGET, log::add).load(0);
    }

    /** Stores a snapshot and some changes; returns the contents of the table at each version. */
    private List<String> storeVersions() throws IOException {
        final Courier courier = new Courier(BUDGET).takeOwnership();
        final List<String> states = new ArrayList<>();
        courier.apply(TestLists.fleet(1, 5));
        courier.finishSnapshot();
        states.add(TestLists.describe(courier.table));
        for (int version = 2; version <= 6; version++) {
            courier.apply(change(version, version % 3, version == 5 ? "Gone" : "Ready"));
            states.add(TestLists.describe(courier.table));
        }
        courier.apply(TestLists.list(7, true, TestLists.entry("e9", ADDRESS, 4, "Terminating")));
        states.add(TestLists.describe(courier.table));
        courier.store.releaseOwnership();
        return states;
    }

    @Test
    void aRestartLoadsTheListAsItWas() throws IOException {
        final List<String> states = storeVersions();
        assertEquals(states.get(states.size() - 1), TestLists.describe(load()));
        assertEquals("the stored list is at 7 with 1 endpoints", log.get(0));
    }

    @Test
    void aFileTruncatedAtAnyByteGivesAnEarlierVersionOrNone() throws IOException {
        final List<String> states = storeVersions();
        final byte[] whole = readFile();
        int dropped = 0;
        int last = -1;
        for (int length = 0; length < whole.length; length++) {
            writeFile(Arrays.copyOf(whole, length));
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
                assertEquals(-1, last, "a complete snapshot is used");
                continue;
            }
            final int state = states.indexOf(TestLists.describe(found));
            assertTrue(state >= last, "at " + length + " bytes: " + TestLists.describe(found));
            last = state;
            courier.table = found;
            courier.takeOwnership().apply(change(99, 50, "Ready"));
            courier.finishSnapshot();
            courier.store.releaseOwnership();
            assertEquals(
                    TestLists.describe(courier.table),
                    TestLists.describe(load()),
                    "changes are appended after the last complete one");
        }
        assertEquals(states.size() - 2, last, "the last change is not used without its last byte");
        assertTrue(dropped > 100, "an incomplete snapshot is not used");
    }

    @Test
    void aFileCorruptedAtAnyByteGivesAnEarlierVersionOrNone() throws IOException {
        final List<String> states = storeVersions();
        final byte[] whole = readFile();
        for (int offset = 0; offset < whole.length; offset++) {
            final byte[] corrupted = whole.clone();
            corrupted[offset] ^= 0x55;
            writeFile(corrupted);
            final EndpointTable found = load();
            assertTrue(found == null || states.subList(0, states.size() - 1).contains(TestLists.describe(found)));
        }
    }

    @Test
    void aStoredListOfOtherSettingsOrOlderThanTheConfigurationIsDropped() throws IOException {
        storeVersions();
        assertNull(new ListStore(folder, SETTINGS + 1, BUDGET, log::add).load(0));
        assertNull(new ListStore(folder, SETTINGS, BUDGET, log::add).load(8));
        assertNotNull(new ListStore(folder, SETTINGS, BUDGET, log::add).load(7));
        assertEquals("the stored list is dropped: it was written under other settings", log.get(0));
        assertEquals("the stored list is dropped: its version 7 is older than 8 in the configuration", log.get(1));
    }

    @Test
    void changesDuringASnapshotAreNotLostAndAnIncompleteSnapshotIsNotUsed() throws IOException {
        final Courier courier = new Courier(BUDGET).takeOwnership();
        courier.apply(TestLists.fleet(1, 2000));
        int slices = 0;
        while (courier.store.isWriting()) {
            assertNull(load(), "an incomplete snapshot is not visible");
            courier.apply(change(2 + slices, slices, slices % 3 == 2 ? "Gone" : "Ready"));
            courier.apply(TestLists.list(
                    2 + slices,
                    false,
                    TestLists.entry(TestLists.name(3000 - slices), ADDRESS, 0, "Gone"),
                    TestLists.entry(TestLists.name(slices), ADDRESS, 1, "Gone")));
            courier.store.writeSlice(courier.table);
            slices++;
        }
        assertTrue(slices > 5, slices + " slices");
        assertEquals(TestLists.describe(courier.table), TestLists.describe(load()));
    }

    @Test
    void changesFromBeforeOwnershipAreWrittenOnceTheProcessOwnsTheFile() throws IOException {
        storeVersions();
        final Courier courier = new Courier(BUDGET).load();
        final byte[] before = readFile();
        courier.apply(change(8, 1, "Ready"));
        assertFalse(courier.store.isWriting());
        assertTrue(Arrays.equals(before, readFile()), "another process may still own the file");
        courier.takeOwnership();
        assertFalse(courier.store.isWriting(), "the change is appended without a new snapshot");
        assertEquals(TestLists.describe(courier.table), TestLists.describe(load()));
    }

    @Test
    void aFileThatAnotherProcessHasChangedSinceItWasLoadedIsReplaced() throws IOException {
        storeVersions();
        final Courier waiting = new Courier(BUDGET).load();
        final Courier serving = new Courier(BUDGET).load().takeOwnership();
        serving.apply(change(8, 1, "Ready"));
        waiting.apply(change(8, 1, "Ready"));
        serving.store.releaseOwnership();
        waiting.takeOwnership();
        assertTrue(waiting.store.isWriting());
        waiting.finishSnapshot();
        assertEquals(TestLists.describe(waiting.table), TestLists.describe(load()));
    }

    /** Each byte of a change costs about one more byte of a snapshot. */
    @Test
    void aSnapshotIsWrittenOnceTheChangesAreAsLargeAsTheLastOne() throws IOException {
        final Courier courier = new Courier(BUDGET).takeOwnership();
        courier.apply(TestLists.fleet(1, 1000));
        courier.finishSnapshot();
        final long snapshot = readFile().length;
        final int perChange = 80;
        final int changes = (int) (10 * snapshot / perChange);
        for (int version = 2; version < 2 + changes; version++) {
            courier.apply(TestLists.list(
                    version,
                    false,
                    TestLists.entry(TestLists.name(7), ADDRESS, 7, version % 2 == 0 ? "Ready" : "Terminating")));
            courier.finishSnapshot();
            assertTrue(
                    readFile().length <= 2 * snapshot + 1024, readFile().length + " bytes, the snapshot " + snapshot);
        }
        assertTrue(courier.snapshots >= 5 && courier.snapshots <= 12, courier.snapshots + " snapshots");
        assertEquals(TestLists.describe(courier.table), TestLists.describe(load()));
    }

    @Test
    void aListThatOutgrowsItsBudgetIsNotStoredAndThatIsLoggedOnce() throws IOException {
        final long budget = 20_000;
        final Courier courier = new Courier(budget).takeOwnership();
        int version = 1;
        for (; version < 400; version++) {
            courier.apply(change(version, version, "Ready"));
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
        assertEquals(List.of("no copy of the list is kept: it needs more than its budget of 20000 bytes"), log);
        assertEquals(0, diskBytes());
        assertTrue(courier.table.size() > 300);
    }

    @Test
    void aSnapshotOfTheTargetSizeTakesLessThanSixtyBytesAnEndpoint() throws IOException {
        final Courier courier = new Courier(32 << 20).takeOwnership();
        courier.apply(TestLists.fleet(1, 45_000));
        while (courier.store.isWriting()) {
            courier.store.writeSlice(courier.table);
        }
        assertTrue(readFile().length <= 60L * courier.table.size(), readFile().length + " bytes");
        assertEquals(TestLists.describe(courier.table), TestLists.describe(load()));
    }
}
