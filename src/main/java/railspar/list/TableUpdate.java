package railspar.list;

import java.util.BitSet;
import java.util.stream.IntStream;
import railspar.Courier;

/**
 * Applies a list to the table and reports the differences. The cost of an incremental list depends only on its entries;
 * a full list takes one pass over its entries and one over the rows of the table.
 */
public final class TableUpdate {
    /** What an entry of a list changes. */
    public enum Change {
        /** The endpoint was not listed before. */
        ADDED,
        /** A field other than the address has changed. */
        CHANGED,
        /** Only the address has changed. */
        MOVED,
        /** Nothing has changed. */
        SAME,
        /** The list says that the endpoint is gone; {@link Listener#onRemoved} follows. */
        GONE
    }

    /** Receives the changes, while the endpoint can be looked up in the table. */
    public interface Listener {
        /** The list names an endpoint; the table already contains its new state. */
        void onEntry(long endpoint, Change change);

        /** An endpoint is about to be removed: it is gone, or a full list does not contain it. */
        void onRemoved(long endpoint);

        /** An entry cannot be used, except perhaps the condition that it gives for a known endpoint. */
        void onUnusableEntry(String problem);
    }

    private final EndpointTable table;
    private final StagedList list;
    private final Listener listener;
    /** Rows that a full list has named. */
    private final BitSet namedRows = new BitSet();
    /** Rows to be removed after all entries are applied, so that no row is reused within one list. */
    private final IntStream.Builder goneRows = IntStream.builder();
    /** Maps the list's numbers of zones to the numbers in the table; {@link #kinds} does the same for kinds. */
    private final int[] zones;

    private final int[] kinds;

    private TableUpdate(final EndpointTable table, final StagedList list, final Listener listener)
            throws ListFormatException {
        this.table = table;
        this.list = list;
        this.listener = listener;
        this.zones = numbers(list.zones(), table.zones());
        this.kinds = numbers(list.kinds(), table.kinds());
    }

    /**
     * Applies a list.
     *
     * @throws ListFormatException if its version is lower than the current one, or it has more zones or kinds than can
     * be numbered; the endpoints of the table are unchanged then
     */
    public static void apply(final EndpointTable table, final StagedList list, final Listener listener)
            throws ListFormatException {
        if (list.version() != StagedList.NO_VERSION && list.version() < table.version()) {
            throw new ListFormatException(
                    ListFormatException.Fault.OLDER_VERSION,
                    "its version " + list.version() + " is older than " + table.version() + ", the current one");
        }
        new TableUpdate(table, list, listener).run();
    }

    private static int[] numbers(final TextDictionary from, final TextDictionary to) throws ListFormatException {
        final int[] numbers = new int[from.size()];
        for (int index = 0; index < numbers.length; index++) {
            numbers[index] = to.numberOf(from.textOf(index));
        }
        return numbers;
    }

    private void run() {
        list.forEach(this::applyEntry);
        if (list.isFull()) {
            markMissingGone();
        }
        goneRows.build().forEach(row -> {
            listener.onRemoved(table.id(row));
            table.remove(row);
        });
        table.compactNames();
        if (list.version() != StagedList.NO_VERSION) {
            table.setVersion(list.version());
        }
    }

    private void applyEntry(final StagedEntry entry) {
        table.countVisit();
        final int row = table.findRow(entry);
        final boolean known = row != EndpointTable.NONE && table.isListedRow(row);
        if (!entry.isComplete()) {
            listener.onUnusableEntry(entry.problem);
            if (known) {
                applyCondition(row, entry.condition);
            }
        } else if (entry.condition == Courier.Condition.GONE) {
            table.destinationIndex(entry.destination);
            if (row != EndpointTable.NONE) {
                markGone(row);
            }
        } else if (known) {
            final boolean moved = entry.hasAddress && !table.hasAddressOf(row, entry);
            final boolean changed = setEntry(row, entry);
            reportPresent(row, changed ? Change.CHANGED : moved ? Change.MOVED : Change.SAME);
        } else if (entry.hasAddress) {
            final int added =
                    row == EndpointTable.NONE ? table.newRow(entry.nameBytes, entry.nameFrom, entry.nameLength) : row;
            setEntry(added, entry);
            reportPresent(added, Change.ADDED);
        } else {
            listener.onUnusableEntry(entry.problem);
        }
    }

    private boolean setEntry(final int row, final StagedEntry entry) {
        return table.setEntry(row, entry, zones[entry.zone], kinds[entry.kind]);
    }

    private void applyCondition(final int row, final Courier.Condition condition) {
        if (condition == Courier.Condition.GONE) {
            markGone(row);
        } else {
            final boolean changed = condition != null && table.setCondition(row, condition);
            reportPresent(row, changed ? Change.CHANGED : Change.SAME);
        }
    }

    private void markNamed(final int row) {
        if (list.isFull()) {
            namedRows.set(row);
        }
    }

    private void reportPresent(final int row, final Change change) {
        markNamed(row);
        listener.onEntry(table.id(row), change);
    }

    private void markGone(final int row) {
        markNamed(row);
        if (table.isListedRow(row)) {
            listener.onEntry(table.id(row), Change.GONE);
        }
        goneRows.add(row);
    }

    private void markMissingGone() {
        for (int row = 0; row < table.rowCount(); row++) {
            table.countVisit();
            if (table.isListedRow(row) && !namedRows.get(row)) {
                goneRows.add(row);
            }
        }
    }
}
