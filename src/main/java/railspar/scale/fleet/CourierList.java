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
 * The endpoint list of one courier process: the production table, which the production parser updates from the bytes
 * of a watch, and its copy in a folder that outlives the process.
 */
final class CourierList implements Courier.Directory {
    /** Maximum heap for the received part of a list that is not complete yet. */
    private static final long MAX_STAGING_BYTES = 64L << 20;

    /** Maximum size of the copy on disk. */
    private static final long MAX_STORE_BYTES = 64L << 20;

    private static final long FINGERPRINT = 1;

    private final EndpointTable table;
    /** The copy on disk, or null for a courier that keeps none. */
    private final ListStore store;

    private CourierList(final EndpointTable table, final ListStore store) {
        this.table = table;
        this.store = store;
    }

    /** Creates a list without a copy on disk. */
    static CourierList unstored() {
        return new CourierList(new EndpointTable(), null);
    }

    /** Loads the list from the copy in the folder; it is empty if there is no copy. */
    static CourierList stored(final Path folder) {
        final ListStore store = new ListStore(folder, FINGERPRINT, MAX_STORE_BYTES, message -> {});
        final EndpointTable stored = store.load(0);
        final CourierList list = new CourierList(stored == null ? new EndpointTable() : stored, store);
        store.takeOwnership(list.table);
        list.writeStore();
        return list;
    }

    private void writeStore() {
        while (store.isWriting()) {
            store.writeSlice(table);
        }
    }

    /** Total size of the copies in a folder. */
    static long storedBytesIn(final Path folder) throws IOException {
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

    /** Applies one line of the watch; returns the changed endpoints, including those that were removed. */
    List<Courier.Endpoint> apply(final byte[] line) throws IOException {
        final Changes changes = new Changes();
        new ListParser(MAX_STAGING_BYTES, changes).feed(line, 0, line.length);
        return changes.changed;
    }

    /** The version in force; 0 before the first list. */
    long version() {
        return table.version();
    }

    /** Number of endpoints in the list. */
    int size() {
        return table.size();
    }

    /** Heap used by the list. */
    long heapBytes() {
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
        return table.isListed(id) ? toEndpoint(id, table.conditionOf(id)) : null;
    }

    private Courier.Endpoint toEndpoint(final long id, final Courier.Condition condition) {
        return new Courier.Endpoint(
                id,
                condition,
                table.zoneOf(id),
                table.weightOf(id),
                CourierSettings.ENDPOINT_KIND_INDEX,
                table.destinationOf(id));
    }

    /** Applies the lists and changes that the parser reads, and collects the changed endpoints. */
    private final class Changes implements ListParser.Listener, TableUpdate.Listener {
        private final List<Courier.Endpoint> changed = new ArrayList<>();

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
                changed.add(endpoint(endpoint));
            }
        }

        @Override
        public void onRemoved(final long endpoint) {
            if (store != null) {
                store.remove(table, endpoint);
            }
            changed.add(toEndpoint(endpoint, Courier.Condition.GONE));
        }

        @Override
        public void onUnusableEntry(final String problem) {
            throw new IllegalStateException("the simulation generated an unusable list entry: " + problem);
        }
    }
}
