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
 * The courier's table of endpoints, kept up to date by its parser from the bytes of the protocol, and looked up by
 * the decisions as in {@code Discovery}. Nothing is held but the table and the parser.
 */
final class ListTable implements Courier.Directory {
    /** The place of the sample's one kind of endpoint. */
    private static final int KIND_INDEX = 0;
    /** Heap for what has been read of a list that is not whole yet. */
    private static final long STAGING_BYTES = 64L << 20;
    /** Bytes that a socket gives at once. */
    private static final int CHUNK_BYTES = 1 << 14;

    private final EndpointTable table = new EndpointTable();
    private final TableUpdate.Listener changes;
    private final ListParser parser = new ListParser(STAGING_BYTES, new Lists());

    /** Without an endpoint; the listener hears what each list changes. */
    ListTable(final TableUpdate.Listener changes) {
        this.changes = changes;
    }

    /** Holds the list of so many destinations. */
    static ListTable of(final int destinations) {
        final ListTable list = new ListTable(new IgnoredChanges());
        list.feed(ListSample.wholeListBytes(destinations));
        return list;
    }

    /** Takes bytes of the watch; what becomes whole by them is in force. */
    void feed(final byte[] bytes) {
        feed(bytes, bytes.length);
    }

    /** Takes the first of these bytes, in pieces of their own: the parser keeps hold of the last one. */
    void feed(final byte[] bytes, final int length) {
        try {
            for (int from = 0; from < length; from += CHUNK_BYTES) {
                final byte[] chunk = Arrays.copyOfRange(bytes, from, Math.min(from + CHUNK_BYTES, length));
                parser.feed(chunk, 0, chunk.length);
            }
        } catch (final IOException e) {
            throw new UncheckedIOException("the sample cannot be read", e);
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

    /** Puts each whole object into force. */
    private final class Lists implements ListParser.Listener {
        @Override
        public void onList(final StagedList list) throws IOException {
            TableUpdate.apply(table, list, changes);
        }

        @Override
        public void onHeartbeat() {
            // Nothing has changed.
        }

        @Override
        public void onUnusableEntry(final String problem) {
            throw new IllegalStateException("an entry of the sample cannot be used: " + problem);
        }
    }

    /** For a table that tells nobody what changed. */
    static class IgnoredChanges implements TableUpdate.Listener {
        @Override
        public void onEntry(final long endpoint, final TableUpdate.Change change) {
            // Looked up in the table when it is needed.
        }

        @Override
        public void onRemoved(final long endpoint) {
            // As above.
        }

        @Override
        public void onUnusableEntry(final String problem) {
            throw new IllegalStateException("an entry of the sample cannot be used: " + problem);
        }
    }
}
