package railspar.scale.slope;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import railspar.Courier;
import railspar.list.EndpointTable;
import railspar.list.ListParser;
import railspar.list.StagedList;
import railspar.list.TableUpdate;

/**
 * The courier's endpoint table, updated by the courier's parser from the bytes of the protocol. The decision module
 * looks up endpoints in it as in {@code Discovery}. It holds only the table and the parser.
 */
final class ListTable implements Courier.Directory {
    /** The index of the only destination kind of the sample. */
    private static final int KIND_INDEX = 0;
    /** Heap for the entries of a list that is not complete yet. */
    private static final long STAGING_BYTES = 64L << 20;
    /** Size of one read from a socket. */
    private static final int CHUNK_BYTES = 1 << 14;

    private final EndpointTable table = new EndpointTable();
    private final TableUpdate.Listener changes;
    private final ListParser parser = new ListParser(STAGING_BYTES, new ListApplier());

    /** Creates an empty table; the listener is notified of the changes of each list. */
    ListTable(final TableUpdate.Listener changes) {
        this.changes = changes;
    }

    /** Creates a table with the sample list of this many destinations. */
    static ListTable of(final int destinations) {
        final ListTable list = new ListTable(new IgnoredChanges());
        list.feed(ListSample.wholeListBytes(destinations));
        return list;
    }

    /** Reads bytes of the watch and applies each list that they complete. */
    void feed(final byte[] bytes) {
        feed(bytes, bytes.length);
    }

    /** Reads the first {@code length} bytes, in chunks that are copies, because the parser keeps the last chunk. */
    void feed(final byte[] bytes, final int length) {
        try {
            for (int from = 0; from < length; from += CHUNK_BYTES) {
                final byte[] chunk = Arrays.copyOfRange(bytes, from, Math.min(from + CHUNK_BYTES, length));
                parser.feed(chunk, 0, chunk.length);
            }
        } catch (final IOException e) {
            throw new UncheckedIOException("the parser cannot read the sample list", e);
        }
    }

    EndpointTable table() {
        return table;
    }

    @Override
    public List<Courier.Endpoint> endpointsOf(final long destination) {
        final List<Courier.Endpoint> endpoints = new ArrayList<>();
        table.forEachOfDestination(destination, id -> endpoints.add(endpoint(id)));
        return endpoints;
    }

    @Override
    public Courier.Endpoint endpoint(final long id) {
        if (!table.isListed(id)) {
            return null;
        }
        return new Courier.Endpoint(
                id, table.conditionOf(id), table.zoneOf(id), table.weightOf(id), KIND_INDEX, table.destinationOf(id));
    }

    /** Applies each complete list. */
    private final class ListApplier implements ListParser.Listener {
        @Override
        public void onList(final StagedList list) throws IOException {
            TableUpdate.apply(table, list, changes);
        }

        @Override
        public void onHeartbeat() {
            // A heartbeat changes nothing.
        }

        @Override
        public void onUnusableEntry(final String problem) {
            throw new IllegalStateException("an entry of the sample list is unusable: " + problem);
        }
    }

    /** A listener that ignores the changes. */
    static class IgnoredChanges implements TableUpdate.Listener {
        @Override
        public void onEntry(final long endpoint, final TableUpdate.Change change) {
            // Readers look up endpoints in the table.
        }

        @Override
        public void onRemoved(final long endpoint) {
            // Readers look up endpoints in the table.
        }

        @Override
        public void onUnusableEntry(final String problem) {
            throw new IllegalStateException("an entry of the sample list is unusable: " + problem);
        }
    }
}
