package driftchute.scale.fleet;

import driftchute.Courier;
import driftchute.list.EndpointTable;
import driftchute.list.ListParser;
import driftchute.list.StagedList;
import driftchute.list.TableUpdate;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The list of endpoints of one courier: the real table, kept up to date by the real parser from a watch's bytes. */
final class CourierList implements Courier.Directory {
    /** Heap for what has been read of a list that is not whole yet. */
    private static final long STAGING_BYTES = 64L << 20;

    private final EndpointTable table = new EndpointTable();

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
        table.forEachOf(destination, id -> endpoints.add(endpoint(id)));
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
        public void list(final StagedList list) throws IOException {
            TableUpdate.apply(table, list, this);
        }

        @Override
        public void heartbeat() {
            // Nothing has changed.
        }

        @Override
        public void named(final long endpoint, final TableUpdate.Change change) {
            if (change == TableUpdate.Change.ADDED || change == TableUpdate.Change.CHANGED) {
                entries.add(endpoint(endpoint));
            }
        }

        @Override
        public void removed(final long endpoint) {
            entries.add(entry(endpoint, Courier.Condition.GONE));
        }

        @Override
        public void unusable(final String problem) {
            throw new IllegalStateException("an entry of the emulator's own list cannot be used: " + problem);
        }
    }
}
