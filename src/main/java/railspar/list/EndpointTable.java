package railspar.list;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.LongConsumer;
import railspar.Courier;

/**
 * The endpoints in force, packed into arrays: about 70 bytes each, no object per endpoint. Names, ids and
 * destinations are looked up at a cost that does not depend on how many there are. An id holds for as long as the
 * name is known; it is never given to another endpoint. Destinations stay known once an entry has named them.
 */
public final class EndpointTable {
    static final int NONE = -1;

    private static final byte FREE = 0;
    /** Its id is in use, but no list names it. */
    private static final byte RESERVED = 1;

    private static final byte LISTED = 2;
    private static final byte DRAINING = 3;
    private static final int FIRST_ROWS = 16;
    /** Arrays grow by an eighth: what stands empty stays small, and each row is copied about eight times in all. */
    private static final int GROWTH = 8;

    private static final int LENGTH_BYTES = 2;
    private static final long ROW_MASK = 0xFFFF_FFFFL;

    private byte[] state = new byte[FIRST_ROWS];
    private int[] generation = new int[FIRST_ROWS];
    private int[] nameAt = new int[FIRST_ROWS];
    private int[] ip = new int[FIRST_ROWS];
    private char[] port = new char[FIRST_ROWS];
    private char[] zone = new char[FIRST_ROWS];
    private char[] kind = new char[FIRST_ROWS];
    private double[] weight = new double[FIRST_ROWS];
    private int[] destinationOf = new int[FIRST_ROWS];
    /** The rows of a destination form a ring, in the order they came; free rows are chained by {@code next}. */
    private int[] next = new int[FIRST_ROWS];

    private int[] previous = new int[FIRST_ROWS];
    private int rows;
    private int firstFree = NONE;
    private int named;
    private int listed;

    /** Each name behind its length, in UTF-8. */
    private byte[] names = new byte[FIRST_ROWS * FIRST_ROWS];

    private int namesEnd;
    private int namesDead;
    /** Rows plus one, by the hash of the name; open addressing. */
    private int[] nameSlots = new int[2 * FIRST_ROWS];

    private long[] destinations = new long[FIRST_ROWS];
    /** The first row of each destination's ring, or {@link #NONE}. */
    private int[] firstRow = new int[FIRST_ROWS];

    private int destinationCount;
    private int[] destinationSlots = new int[2 * FIRST_ROWS];

    private final TextDictionary zones = new TextDictionary();
    private final TextDictionary kinds = new TextDictionary();
    private long version;
    private long visited;

    // ---------------------------------------------------------------- what is asked

    /** The version of the list in force; 0 before there is one. */
    public long version() {
        return version;
    }

    /** Endpoints in the list. */
    public int size() {
        return listed;
    }

    /** Heap that its arrays and dictionaries take. */
    public long bytes() {
        final long perRow = 1 + 4 * 6 + 2 * 3 + 8;
        return perRow * state.length
                + names.length
                + 4L * nameSlots.length
                + 12L * destinations.length
                + 4L * destinationSlots.length
                + zones.bytes()
                + kinds.bytes();
    }

    /** Entries and rows that updates have looked at so far, for tests that count the work of a change. */
    public long entriesVisited() {
        return visited;
    }

    /** True for an endpoint that the list names. */
    public boolean isListed(final long endpoint) {
        final int row = row(endpoint);
        return row != NONE && state[row] >= LISTED;
    }

    /** The id of the endpoint of that name, listed or reserved; null where there is none. */
    public Long idOf(final String name) {
        final int row = find(name);
        return row == NONE ? null : id(row);
    }

    /** As above; a name that is not known is given an id without being listed. */
    public long reserve(final String name) {
        final int row = find(name);
        if (row != NONE) {
            return id(row);
        }
        final byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        final int fresh = newRow(bytes, 0, bytes.length);
        state[fresh] = RESERVED;
        return id(fresh);
    }

    /** The name of an endpoint, or an empty text. */
    public String nameOf(final long endpoint) {
        final int row = row(endpoint);
        return row == NONE
                ? ""
                : new String(names, nameAt[row] + LENGTH_BYTES, nameLength(row), StandardCharsets.UTF_8);
    }

    /** The zone of a listed endpoint. */
    public String zoneOf(final long endpoint) {
        return zones.textOf(zone[listedRow(endpoint)]);
    }

    /** The name of the kind of a listed endpoint. */
    public String kindOf(final long endpoint) {
        return kinds.textOf(kind[listedRow(endpoint)]);
    }

    /** The destination of a listed endpoint. */
    public long destinationOf(final long endpoint) {
        return destinations[destinationOf[listedRow(endpoint)]];
    }

    /** The weight of a listed endpoint. */
    public double weightOf(final long endpoint) {
        return weight[listedRow(endpoint)];
    }

    /** The condition of a listed endpoint. */
    public Courier.Condition conditionOf(final long endpoint) {
        return condition(listedRow(endpoint));
    }

    /** Where a listed endpoint is called. */
    public InetSocketAddress addressOf(final long endpoint) {
        final int row = listedRow(endpoint);
        try {
            final byte[] figures =
                    ByteBuffer.allocate(Integer.BYTES).putInt(ip[row]).array();
            return new InetSocketAddress(InetAddress.getByAddress(figures), port[row]);
        } catch (final UnknownHostException e) {
            throw new IllegalStateException("four bytes are an address", e);
        }
    }

    /** True for a destination that any list so far has named. */
    public boolean knowsDestination(final long destination) {
        return destinationSlots[destinationSlot(destination)] != 0;
    }

    /** Destinations that any list so far has named. */
    public int destinationCount() {
        return destinationCount;
    }

    /** Visits the ids of the endpoints of a destination, in the order in which they came. */
    public void forEachOfDestination(final long destination, final LongConsumer visitor) {
        final int index = destinationSlots[destinationSlot(destination)] - 1;
        if (index == NONE || firstRow[index] == NONE) {
            return;
        }
        int row = firstRow[index];
        do {
            final int following = next[row];
            visitor.accept(id(row));
            row = following;
        } while (row != firstRow[index]);
    }

    /** Visits the ids of all listed endpoints. */
    public void forEach(final LongConsumer visitor) {
        for (int row = 0; row < rows; row++) {
            if (state[row] >= LISTED) {
                visitor.accept(id(row));
            }
        }
    }

    // ---------------------------------------------------------------- rows, for those that update or store the table

    int rows() {
        return rows;
    }

    boolean isListedRow(final int row) {
        return state[row] >= LISTED;
    }

    long id(final int row) {
        return (long) generation[row] << Integer.SIZE | row + 1;
    }

    /** The row of an id, or {@link #NONE}. */
    int row(final long endpoint) {
        final int row = (int) ((endpoint & ROW_MASK) - 1);
        final boolean known =
                row >= 0 && row < rows && state[row] != FREE && generation[row] == (int) (endpoint >>> Integer.SIZE);
        return known ? row : NONE;
    }

    private int listedRow(final long endpoint) {
        final int row = row(endpoint);
        if (row == NONE || state[row] < LISTED) {
            throw new IllegalArgumentException("no list names endpoint " + endpoint);
        }
        return row;
    }

    Courier.Condition condition(final int row) {
        return state[row] == LISTED ? Courier.Condition.LISTED : Courier.Condition.DRAINING;
    }

    /** True if the listed row is called at that address. */
    boolean hasAddressOf(final int row, final StagedEntry entry) {
        return ip[row] == entry.ip && port[row] == entry.port;
    }

    /** Fills in an entry from a listed row; its zone and kind are numbers of this table's dictionaries. */
    void read(final int row, final StagedEntry into) {
        into.nameBytes = names;
        into.nameFrom = nameAt[row] + LENGTH_BYTES;
        into.nameLength = nameLength(row);
        into.condition = condition(row);
        into.hasDestination = true;
        into.hasAddress = true;
        into.ip = ip[row];
        into.port = port[row];
        into.zone = zone[row];
        into.kind = kind[row];
        into.destination = destinations[destinationOf[row]];
        into.weight = weight[row];
        into.problem = null;
    }

    TextDictionary zones() {
        return zones;
    }

    TextDictionary kinds() {
        return kinds;
    }

    void setVersion(final long told) {
        version = told;
    }

    void countVisit() {
        visited++;
    }

    int find(final StagedEntry entry) {
        return nameSlots[nameSlot(entry.nameBytes, entry.nameFrom, entry.nameLength)] - 1;
    }

    private int find(final String name) {
        final byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        return nameSlots[nameSlot(bytes, 0, bytes.length)] - 1;
    }

    /** Adds a row for that name, with nothing in it yet. */
    int newRow(final byte[] name, final int from, final int length) {
        final int row = firstFree == NONE ? rows++ : firstFree;
        if (row == state.length) {
            growRows();
        }
        if (row == firstFree) {
            firstFree = next[row];
        }
        nameAt[row] = append(name, from, length);
        destinationOf[row] = NONE;
        state[row] = RESERVED;
        named++;
        growNameSlots();
        nameSlots[nameSlot(name, from, length)] = row + 1;
        return row;
    }

    /** Writes an entry into a row, which is listed from then on; true if anything but the address has changed. */
    boolean set(final int row, final StagedEntry entry, final int zoneNumber, final int kindNumber) {
        final boolean wasListed = state[row] >= LISTED;
        final byte condition = entry.condition == Courier.Condition.LISTED ? LISTED : DRAINING;
        final int destination = destinationIndex(entry.destination);
        final boolean same = wasListed
                && state[row] == condition
                && destinationOf[row] == destination
                && zone[row] == zoneNumber
                && kind[row] == kindNumber
                && weight[row] == entry.weight;
        if (!wasListed) {
            listed++;
        }
        state[row] = condition;
        zone[row] = (char) zoneNumber;
        kind[row] = (char) kindNumber;
        weight[row] = entry.weight;
        if (entry.hasAddress) {
            ip[row] = entry.ip;
            port[row] = (char) entry.port;
        }
        if (destinationOf[row] != destination) {
            unlink(row);
            link(row, destination);
        }
        return !same;
    }

    /** Changes only the condition of a listed row; true if it was another one. */
    boolean setCondition(final int row, final Courier.Condition condition) {
        final byte before = state[row];
        state[row] = condition == Courier.Condition.LISTED ? LISTED : DRAINING;
        return before != state[row];
    }

    /** Forgets a row, and with it the name and its id. */
    void remove(final int row) {
        removeName(row);
        unlink(row);
        if (state[row] >= LISTED) {
            listed--;
        }
        named--;
        state[row] = FREE;
        generation[row]++;
        next[row] = firstFree;
        firstFree = row;
    }

    private void growRows() {
        final int capacity = grown(state.length, FIRST_ROWS);
        state = Arrays.copyOf(state, capacity);
        generation = Arrays.copyOf(generation, capacity);
        nameAt = Arrays.copyOf(nameAt, capacity);
        ip = Arrays.copyOf(ip, capacity);
        port = Arrays.copyOf(port, capacity);
        zone = Arrays.copyOf(zone, capacity);
        kind = Arrays.copyOf(kind, capacity);
        weight = Arrays.copyOf(weight, capacity);
        destinationOf = Arrays.copyOf(destinationOf, capacity);
        next = Arrays.copyOf(next, capacity);
        previous = Arrays.copyOf(previous, capacity);
    }

    private static int grown(final int capacity, final int least) {
        return capacity + Math.max(least, capacity / GROWTH);
    }

    // ---------------------------------------------------------------- names

    private int nameLength(final int row) {
        return (names[nameAt[row]] & 0xFF) << Byte.SIZE | names[nameAt[row] + 1] & 0xFF;
    }

    private int append(final byte[] name, final int from, final int length) {
        final int needed = LENGTH_BYTES + length;
        if (namesEnd + needed > names.length) {
            names = Arrays.copyOf(names, grown(names.length, needed));
        }
        final int at = namesEnd;
        names[at] = (byte) (length >> Byte.SIZE);
        names[at + 1] = (byte) length;
        System.arraycopy(name, from, names, at + LENGTH_BYTES, length);
        namesEnd += needed;
        return at;
    }

    private int nameSlot(final byte[] name, final int from, final int length) {
        int slot = NameHash.of(name, from, length) & nameSlots.length - 1;
        while (nameSlots[slot] != 0 && !isNamed(nameSlots[slot] - 1, name, from, length)) {
            slot = slot + 1 & nameSlots.length - 1;
        }
        return slot;
    }

    private boolean isNamed(final int row, final byte[] name, final int from, final int length) {
        return nameLength(row) == length && NameHash.same(names, nameAt[row] + LENGTH_BYTES, name, from, length);
    }

    private int homeSlot(final int row) {
        return NameHash.of(names, nameAt[row] + LENGTH_BYTES, nameLength(row)) & nameSlots.length - 1;
    }

    private void growNameSlots() {
        if (4L * named <= 3L * nameSlots.length) {
            return;
        }
        final int[] old = nameSlots;
        nameSlots = new int[2 * old.length];
        for (final int entry : old) {
            if (entry != 0) {
                int slot = homeSlot(entry - 1);
                while (nameSlots[slot] != 0) {
                    slot = slot + 1 & nameSlots.length - 1;
                }
                nameSlots[slot] = entry;
            }
        }
    }

    /** Closes the gap by moving back those that were pushed on by the one removed. */
    private void removeName(final int row) {
        final int mask = nameSlots.length - 1;
        int gap = nameSlot(names, nameAt[row] + LENGTH_BYTES, nameLength(row));
        for (int slot = gap + 1 & mask; nameSlots[slot] != 0; slot = slot + 1 & mask) {
            final int home = homeSlot(nameSlots[slot] - 1);
            if ((slot - home & mask) >= (slot - gap & mask)) {
                nameSlots[gap] = nameSlots[slot];
                gap = slot;
            }
        }
        nameSlots[gap] = 0;
        namesDead += LENGTH_BYTES + nameLength(row);
    }

    /** Drops the names of removed rows once they take more than half; the cost is spread over those removals. */
    void compactNames() {
        if (2 * namesDead <= namesEnd || namesDead < FIRST_ROWS * FIRST_ROWS) {
            return;
        }
        final byte[] old = names;
        names = new byte[namesEnd - namesDead];
        namesEnd = 0;
        namesDead = 0;
        for (int row = 0; row < rows; row++) {
            if (state[row] != FREE) {
                final int at = nameAt[row];
                final int length = (old[at] & 0xFF) << Byte.SIZE | old[at + 1] & 0xFF;
                nameAt[row] = append(old, at + LENGTH_BYTES, length);
            }
        }
    }

    // ---------------------------------------------------------------- destinations

    private int destinationSlot(final long destination) {
        int slot = NameHash.of(destination) & destinationSlots.length - 1;
        while (destinationSlots[slot] != 0 && destinations[destinationSlots[slot] - 1] != destination) {
            slot = slot + 1 & destinationSlots.length - 1;
        }
        return slot;
    }

    /** The index of a destination, which is remembered from now on. */
    int destinationIndex(final long destination) {
        final int slot = destinationSlot(destination);
        if (destinationSlots[slot] != 0) {
            return destinationSlots[slot] - 1;
        }
        if (destinationCount == destinations.length) {
            final int capacity = grown(destinations.length, FIRST_ROWS);
            destinations = Arrays.copyOf(destinations, capacity);
            firstRow = Arrays.copyOf(firstRow, capacity);
        }
        destinations[destinationCount] = destination;
        firstRow[destinationCount] = NONE;
        destinationSlots[slot] = ++destinationCount;
        growDestinationSlots();
        return destinationCount - 1;
    }

    private void growDestinationSlots() {
        if (4L * destinationCount <= 3L * destinationSlots.length) {
            return;
        }
        destinationSlots = new int[2 * destinationSlots.length];
        for (int index = 0; index < destinationCount; index++) {
            destinationSlots[destinationSlot(destinations[index])] = index + 1;
        }
    }

    private void link(final int row, final int destination) {
        destinationOf[row] = destination;
        final int first = firstRow[destination];
        if (first == NONE) {
            firstRow[destination] = row;
            next[row] = row;
            previous[row] = row;
        } else {
            final int last = previous[first];
            next[last] = row;
            previous[row] = last;
            next[row] = first;
            previous[first] = row;
        }
    }

    private void unlink(final int row) {
        final int destination = destinationOf[row];
        if (destination == NONE) {
            return;
        }
        if (next[row] == row) {
            firstRow[destination] = NONE;
        } else {
            next[previous[row]] = next[row];
            previous[next[row]] = previous[row];
            if (firstRow[destination] == row) {
                firstRow[destination] = next[row];
            }
        }
        destinationOf[row] = NONE;
    }
}
