package railspar.scale.fleet;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import railspar.Courier;
import railspar.list.EndpointTable;
import railspar.list.ListParser;
import railspar.list.ListStore;
import railspar.list.StagedList;
import railspar.list.TableUpdate;

/**
 * The list of endpoints of one courier process: the real table, kept up to date by the real parser from a watch's
 * bytes, and its copy in a folder that outlasts the process.
 */
final class CourierList implements Courier.Directory {
    /** Heap for what has been read of a list that is not whole yet. */
    private static final long STAGING_BYTES = 64L << 20;

    /** Room for the copy on disk. */
    private static final long STORE_BYTES = 64L << 20;

    private static final long FINGERPRINT = 1;

    private final EndpointTable table;
    /** Null for a courier that keeps no copy. */
    private final ListStore store;

    private CourierList(final EndpointTable table, final ListStore store) {
        this.table = table;
        this.store = store;
    }

    /** A list of which nothing outlasts the process. */
    static CourierList unstored() {
        return new CourierList(new EndpointTable(), null);
    }

    /** The list as the copy in that folder has it; empty where there is none. */
    static CourierList stored(final Path folder) {
        final ListStore store = new ListStore(folder, FINGERPRINT, STORE_BYTES, message -> {});
        final EndpointTable found = store.load(0);
        final CourierList list = new CourierList(found == null ? new EndpointTable() : found, store);
        store.takeOwnership(list.table);
        list.writeStore();
        return list;
    }

    private void writeStore() {
        while (store.isWriting()) {
            store.writeSlice(table);
        }
    }

    /** Bytes of the copies in a folder. */
    static long bytesIn(final Path folder) throws IOException {
        long bytes = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (final Path file : files) {
                bytes += Files.size(file);
            }
        }
        return bytes;
    }

    /** Deletes the copies in a folder. */
    static void deleteIn(final Path folder) throws IOException {
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (final Path file : files) {
                Files.delete(file);
            }
        }
    }

    /** Takes one line of the watch; the result is what it changed, those that are gone among it. */
    List<Courier.Endpoint> feed(final byte[] line) throws IOException {
        final Changes changes = new Changes();
        new ListParser(STAGING_BYTES, changes).feed(line, 0, line.length);
        return changes.entries;
    }

    /** The version in force; 0 before any list. */
    long version() {
        return table.version();
    }

    /** Endpoints in the list. */
    int size() {
        return table.size();
    }

    /** Heap that the list takes. */
    long bytes() {
        return table.bytes();
    }

    @Override
    public List<Courier.Endpoint> endpointsOf(final long destination) {
        final List<Courier.Endpoint> endpoints = new ArrayList<>();
        table.forEachOfDestination(destination, id -> endpoints.add(endpoint(id)));
        return endpoints;
    }

    @Override
    public Courier.Endpoint endpoint(final long id) {
        return table.isListed(id) ? entry(id, table.conditionOf(id)) : null;
    }

    private Courier.Endpoint entry(final long id, final Courier.Condition condition) {
        return new Courier.Endpoint(
                id,
                condition,
                table.zoneOf(id),
                table.weightOf(id),
                CourierSettings.KIND_INDEX,
                table.destinationOf(id));
    }

    /** Applies what the parser reads, and collects what that changes. */
    private final class Changes implements ListParser.Listener, TableUpdate.Listener {
        private final List<Courier.Endpoint> entries = new ArrayList<>();

        @Override
        public void onList(final StagedList list) throws IOException {
            TableUpdate.apply(table, list, this);
            if (store != null) {
                store.commit(table);
                writeStore();
            }
        }

        @Override
        public void onHeartbeat() {
            // Nothing has changed.
        }

        @Override
        public void onEntry(final long endpoint, final TableUpdate.Change change) {
            if (store != null && change != TableUpdate.Change.SAME) {
                store.put(table, endpoint);
            }
            if (change == TableUpdate.Change.ADDED || change == TableUpdate.Change.CHANGED) {
                entries.add(endpoint(endpoint));
            }
        }

        @Override
        public void onRemoved(final long endpoint) {
            if (store != null) {
                store.remove(table, endpoint);
            }
            entries.add(entry(endpoint, Courier.Condition.GONE));
        }

        @Override
        public void onUnusableEntry(final String problem) {
            throw new IllegalStateException("an entry of the emulator's own list cannot be used: " + problem);
        }
    }
}
