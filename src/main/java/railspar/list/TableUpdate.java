package railspar.list;

import java.util.BitSet;
import java.util.stream.IntStream;
import railspar.Courier;

/**
 * Applies a list to the table and tells what that changed. A change costs what it holds; a whole list is one pass
 * over its entries and one over the table's rows.
 */
public final class TableUpdate {
    /** What a list's word on an endpoint changed. */
    public enum Change {
        /** It was not listed before. */
        ADDED,
        /** What the decisions go by has changed. */
        CHANGED,
        /** Only its address has changed. */
        MOVED,
        /** Nothing has changed. */
        SAME,
        /** The list says that it is gone: {@link Listener#onRemoved} follows. */
        GONE
    }

    /** Who hears of each entry, while the endpoint can be looked up in the table. */
    public interface Listener {
        /** The list names an endpoint, as the table has it now. */
        void onEntry(long endpoint, Change change);

        /** An endpoint is about to leave the table: it is gone, or a whole list does not name it. */
        void onRemoved(long endpoint);

        /** An entry cannot be used; of one that is known, its condition may be. */
        void onUnusableEntry(String problem);
    }

    private final EndpointTable table;
    private final StagedList list;
    private final Listener listener;
    /** Rows that a whole list has named. */
    private final BitSet named = new BitSet();
    /** Rows that go once all is told: none is reused within one list. */
    private final IntStream.Builder gone = IntStream.builder();
    /** The table's numbers of the list's zones and kinds. */
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
     * @throws ListFormatException if its version is lower than the one in force, or it has more zones or kinds than
     * can be numbered; the table's endpoints are as before then
     */
    public static void apply(final EndpointTable table, final StagedList list, final Listener listener)
            throws ListFormatException {
        if (list.version() != StagedList.NO_VERSION && list.version() < table.version()) {
            throw new ListFormatException(
                    ListFormatException.Fault.OLDER_VERSION,
                    "its version " + list.version() + " is older than " + table.version() + ", which is in force");
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
        list.forEach(this::take);
        if (list.isFull()) {
            findMissing();
        }
        gone.build().forEach(row -> {
            listener.onRemoved(table.id(row));
            table.remove(row);
        });
        table.compactNames();
        if (list.version() != StagedList.NO_VERSION) {
            table.setVersion(list.version());
        }
    }

    private void take(final StagedEntry entry) {
        table.countVisit();
        final int row = table.find(entry);
        final boolean known = row != EndpointTable.NONE && table.isListedRow(row);
        if (!entry.isComplete()) {
            listener.onUnusableEntry(entry.problem);
            if (known) {
                takeCondition(row, entry.condition);
            }
        } else if (entry.condition == Courier.Condition.GONE) {
            table.destinationIndex(entry.destination);
            if (row != EndpointTable.NONE) {
                goes(row);
            }
        } else if (known) {
            final boolean moved = entry.hasAddress && !table.hasAddressOf(row, entry);
            final boolean changed = set(row, entry);
            stays(row, changed ? Change.CHANGED : moved ? Change.MOVED : Change.SAME);
        } else if (entry.hasAddress) {
            final int fresh =
                    row == EndpointTable.NONE ? table.newRow(entry.nameBytes, entry.nameFrom, entry.nameLength) : row;
            set(fresh, entry);
            stays(fresh, Change.ADDED);
        } else {
            listener.onUnusableEntry(entry.problem);
        }
    }

    private boolean set(final int row, final StagedEntry entry) {
        return table.set(row, entry, zones[entry.zone], kinds[entry.kind]);
    }

    private void takeCondition(final int row, final Courier.Condition condition) {
        if (condition == Courier.Condition.GONE) {
            goes(row);
        } else {
            final boolean changed = condition != null && table.setCondition(row, condition);
            stays(row, changed ? Change.CHANGED : Change.SAME);
        }
    }

    private void isNamed(final int row) {
        if (list.isFull()) {
            named.set(row);
        }
    }

    private void stays(final int row, final Change change) {
        isNamed(row);
        listener.onEntry(table.id(row), change);
    }

    private void goes(final int row) {
        isNamed(row);
        if (table.isListedRow(row)) {
            listener.onEntry(table.id(row), Change.GONE);
        }
        gone.add(row);
    }

    private void findMissing() {
        for (int row = 0; row < table.rows(); row++) {
            table.countVisit();
            if (table.isListedRow(row) && !named.get(row)) {
                gone.add(row);
            }
        }
    }
}
