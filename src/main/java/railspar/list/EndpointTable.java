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
 * The endpoints of the current list, packed into arrays: about 70 bytes per endpoint, no object per endpoint. Lookups
 * by name, id and destination take constant time. An id is valid as long as its name is known, and is never assigned
 * to another endpoint. A destination stays known once an entry has named it.
 */
public final class EndpointTable {
    /** The result of a lookup that finds no row, and the end of a chain of rows. */
    static final int NONE = -1;

    private static final byte FREE = 0;
    /** The row has a name and an id, but no list contains it. */
    private static final byte RESERVED = 1;

    private static final byte LISTED = 2;
    private static final byte DRAINING = 3;
    private static final int INITIAL_ROWS = 16;
    /** Arrays grow by an eighth: little capacity stays unused, and each row is copied about eight times in total. */
    private static final int GROWTH_DIVISOR = 8;

    private static final int NAME_LENGTH_BYTES = 2;
    private static final long ROW_MASK = 0xFFFF_FFFFL;

    private byte[] state = new byte[INITIAL_ROWS];
    private int[] generation = new int[INITIAL_ROWS];
    private int[] nameOffset = new int[INITIAL_ROWS];
    private int[] ip = new int[INITIAL_ROWS];
    private char[] port = new char[INITIAL_ROWS];
    private char[] zone = new char[INITIAL_ROWS];
    private char[] kind = new char[INITIAL_ROWS];
    private double[] weight = new double[INITIAL_ROWS];
    private int[] destinationOf = new int[INITIAL_ROWS];
    /** The rows of a destination form a ring in insertion order; free rows are chained by {@code next}. */
    private int[] next = new int[INITIAL_ROWS];

    private int[] previous = new int[INITIAL_ROWS];
    private int rowCount;
    private int firstFreeRow = NONE;
    private int nameCount;
    private int listedCount;

    /** The names in UTF-8, each preceded by its length. */
    private byte[] nameBytes = new byte[INITIAL_ROWS * INITIAL_ROWS];

    private int nameBytesEnd;
    private int deadNameBytes;
    /** Row plus one, by the hash of its name; open addressing. */
    private int[] nameSlots = new int[2 * INITIAL_ROWS];

    private long[] destinations = new long[INITIAL_ROWS];
    /** The first row of each destination's ring, or {@link #NONE}. */
    private int[] firstRow = new int[INITIAL_ROWS];

    private int destinationCount;
    private int[] destinationSlots = new int[2 * INITIAL_ROWS];

    private final TextDictionary zones = new TextDictionary();
    private final TextDictionary kinds = new TextDictionary();
    private long version;
    private long entriesVisited;

    // ---------------------------------------------------------------- queries

    /** The version of the current list; 0 before the first one. */
    public long version() {
        return version;
    }

    /** Number of endpoints in the list. */
    public int size() {
        return listedCount;
    }

    /** Heap bytes of the arrays and dictionaries. */
    public long bytes() {
        final long perRow = 1 + 4 * 6 + 2 * 3 + 8;
        return perRow * state.length
                + nameBytes.length
                + 4L * nameSlots.length
                + 12L * destinations.length
                + 4L * destinationSlots.length
                + zones.bytes()
                + kinds.bytes();
    }

    /** Number of entries and rows that updates have visited so far; tests measure the cost of a change by it. */
    public long entriesVisited() {
        return entriesVisited;
    }

    /** True if the list contains the endpoint. */
    public boolean isListed(final long endpoint) {
        final int row = row(endpoint);
        return row != NONE && state[row] >= LISTED;
    }

    /** The id of the endpoint with the given name, listed or reserved; null if there is none. */
    public Long idOf(final String name) {
        final int row = findRow(name);
        return row == NONE ? null : id(row);
    }

    /** The id of the endpoint with the given name; an unknown name is assigned an id without being listed. */
    public long reserve(final String name) {
        final int row = findRow(name);
        if (row != NONE) {
            return id(row);
        }
        final byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        final int added = newRow(bytes, 0, bytes.length);
        state[added] = RESERVED;
        return id(added);
    }

    /** The name of an endpoint, or an empty string if it is unknown. */
    public String nameOf(final long endpoint) {
        final int row = row(endpoint);
        return row == NONE
                ? ""
                : new String(nameBytes, nameOffset[row] + NAME_LENGTH_BYTES, nameLength(row), StandardCharsets.UTF_8);
    }

    /** The zone of a listed endpoint. */
    public String zoneOf(final long endpoint) {
        return zones.textOf(zone[listedRow(endpoint)]);
    }

    /** The name of a listed endpoint's destination kind. */
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

    /** The address of a listed endpoint. */
    public InetSocketAddress addressOf(final long endpoint) {
        final int row = listedRow(endpoint);
        try {
            final byte[] octets =
                    ByteBuffer.allocate(Integer.BYTES).putInt(ip[row]).array();
            return new InetSocketAddress(InetAddress.getByAddress(octets), port[row]);
        } catch (final UnknownHostException e) {
            throw new IllegalStateException("a 4-byte address was rejected", e);
        }
    }

    /** True if any list so far has named the destination. */
    public boolean knowsDestination(final long destination) {
        return destinationSlots[destinationSlot(destination)] != 0;
    }

    /** Number of destinations that lists have named so far. */
    public int destinationCount() {
        return destinationCount;
    }

    /** Visits the ids of a destination's endpoints, in the order in which they were added. */
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
        for (int row = 0; row < rowCount; row++) {
            if (state[row] >= LISTED) {
                visitor.accept(id(row));
            }
        }
    }

    // ---------------------------------------------------------------- rows, for updates and for the stored list

    int rowCount() {
        return rowCount;
    }

    boolean isListedRow(final int row) {
        return state[row] >= LISTED;
    }

    long id(final int row) {
        return (long) generation[row] << Integer.SIZE | row + 1;
    }

    /** The row of an endpoint id, or {@link #NONE}. */
    int row(final long endpoint) {
        final int row = (int) ((endpoint & ROW_MASK) - 1);
        final boolean known = row >= 0
                && row < rowCount
                && state[row] != FREE
                && generation[row] == (int) (endpoint >>> Integer.SIZE);
        return known ? row : NONE;
    }

    private int listedRow(final long endpoint) {
        final int row = row(endpoint);
        if (row == NONE || state[row] < LISTED) {
            throw new IllegalArgumentException("endpoint " + endpoint + " is not in the list");
        }
        return row;
    }

    Courier.Condition condition(final int row) {
        return state[row] == LISTED ? Courier.Condition.LISTED : Courier.Condition.DRAINING;
    }

    /** True if the listed row has the address of the entry. */
    boolean hasAddressOf(final int row, final StagedEntry entry) {
        return ip[row] == entry.ip && port[row] == entry.port;
    }

    /** Copies a listed row into an entry; its zone and kind are numbers of this table's dictionaries. */
    void readEntry(final int row, final StagedEntry target) {
        target.nameBytes = nameBytes;
        target.nameFrom = nameOffset[row] + NAME_LENGTH_BYTES;
        target.nameLength = nameLength(row);
        target.condition = condition(row);
        target.hasDestination = true;
        target.hasAddress = true;
        target.ip = ip[row];
        target.port = port[row];
        target.zone = zone[row];
        target.kind = kind[row];
        target.destination = destinations[destinationOf[row]];
        target.weight = weight[row];
        target.problem = null;
    }

    TextDictionary zones() {
        return zones;
    }

    TextDictionary kinds() {
        return kinds;
    }

    void setVersion(final long newVersion) {
        version = newVersion;
    }

    void countVisit() {
        entriesVisited++;
    }

    int findRow(final StagedEntry entry) {
        return nameSlots[nameSlot(entry.nameBytes, entry.nameFrom, entry.nameLength)] - 1;
    }

    private int findRow(final String name) {
        final byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        return nameSlots[nameSlot(bytes, 0, bytes.length)] - 1;
    }

    /** Adds a row for a name; its other fields are not set yet. */
    int newRow(final byte[] name, final int from, final int length) {
        final int row = firstFreeRow == NONE ? rowCount++ : firstFreeRow;
        if (row == state.length) {
            growRows();
        }
        if (row == firstFreeRow) {
            firstFreeRow = next[row];
        }
        nameOffset[row] = appendName(name, from, length);
        destinationOf[row] = NONE;
        state[row] = RESERVED;
        nameCount++;
        growNameSlots();
        nameSlots[nameSlot(name, from, length)] = row + 1;
        return row;
    }

    /** Writes an entry into a row, which is then listed; true if anything other than the address has changed. */
    boolean setEntry(final int row, final StagedEntry entry, final int zoneNumber, final int kindNumber) {
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
            listedCount++;
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

    /** Changes only the condition of a listed row; true if the condition was different. */
    boolean setCondition(final int row, final Courier.Condition condition) {
        final byte before = state[row];
        state[row] = condition == Courier.Condition.LISTED ? LISTED : DRAINING;
        return before != state[row];
    }

    /** Frees a row, with its name and its id. */
    void remove(final int row) {
        removeName(row);
        unlink(row);
        if (state[row] >= LISTED) {
            listedCount--;
        }
        nameCount--;
        state[row] = FREE;
        generation[row]++;
        next[row] = firstFreeRow;
        firstFreeRow = row;
    }

    private void growRows() {
        final int capacity = grownCapacity(state.length, INITIAL_ROWS);
        state = Arrays.copyOf(state, capacity);
        generation = Arrays.copyOf(generation, capacity);
        nameOffset = Arrays.copyOf(nameOffset, capacity);
        ip = Arrays.copyOf(ip, capacity);
        port = Arrays.copyOf(port, capacity);
        zone = Arrays.copyOf(zone, capacity);
        kind = Arrays.copyOf(kind, capacity);
        weight = Arrays.copyOf(weight, capacity);
        destinationOf = Arrays.copyOf(destinationOf, capacity);
        next = Arrays.copyOf(next, capacity);
        previous = Arrays.copyOf(previous, capacity);
    }

    private static int grownCapacity(final int capacity, final int minGrowth) {
        return capacity + Math.max(minGrowth, capacity / GROWTH_DIVISOR);
    }

    // ---------------------------------------------------------------- names

    private int nameLength(final int row) {
        return (nameBytes[nameOffset[row]] & 0xFF) << Byte.SIZE | nameBytes[nameOffset[row] + 1] & 0xFF;
    }

    private int appendName(final byte[] name, final int from, final int length) {
        final int needed = NAME_LENGTH_BYTES + length;
        if (nameBytesEnd + needed > nameBytes.length) {
            nameBytes = Arrays.copyOf(nameBytes, grownCapacity(nameBytes.length, needed));
        }
        final int offset = nameBytesEnd;
        nameBytes[offset] = (byte) (length >> Byte.SIZE);
        nameBytes[offset + 1] = (byte) length;
        System.arraycopy(name, from, nameBytes, offset + NAME_LENGTH_BYTES, length);
        nameBytesEnd += needed;
        return offset;
    }

    private int nameSlot(final byte[] name, final int from, final int length) {
        int slot = NameHash.of(name, from, length) & nameSlots.length - 1;
        while (nameSlots[slot] != 0 && !hasName(nameSlots[slot] - 1, name, from, length)) {
            slot = slot + 1 & nameSlots.length - 1;
        }
        return slot;
    }

    private boolean hasName(final int row, final byte[] name, final int from, final int length) {
        return nameLength(row) == length
                && NameHash.same(nameBytes, nameOffset[row] + NAME_LENGTH_BYTES, name, from, length);
    }

    private int homeSlot(final int row) {
        return NameHash.of(nameBytes, nameOffset[row] + NAME_LENGTH_BYTES, nameLength(row)) & nameSlots.length - 1;
    }

    private void growNameSlots() {
        if (4L * nameCount <= 3L * nameSlots.length) {
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

    /** Removes the name's slot and moves entries that were displaced by it back towards their home slots. */
    private void removeName(final int row) {
        final int mask = nameSlots.length - 1;
        int gap = nameSlot(nameBytes, nameOffset[row] + NAME_LENGTH_BYTES, nameLength(row));
        for (int slot = gap + 1 & mask; nameSlots[slot] != 0; slot = slot + 1 & mask) {
            final int home = homeSlot(nameSlots[slot] - 1);
            if ((slot - home & mask) >= (slot - gap & mask)) {
                nameSlots[gap] = nameSlots[slot];
                gap = slot;
            }
        }
        nameSlots[gap] = 0;
        deadNameBytes += NAME_LENGTH_BYTES + nameLength(row);
    }

    /** Drops the names of removed rows once they take over half of the bytes: the cost is amortised. */
    void compactNames() {
        if (2 * deadNameBytes <= nameBytesEnd || deadNameBytes < INITIAL_ROWS * INITIAL_ROWS) {
            return;
        }
        final byte[] old = nameBytes;
        nameBytes = new byte[nameBytesEnd - deadNameBytes];
        nameBytesEnd = 0;
        deadNameBytes = 0;
        for (int row = 0; row < rowCount; row++) {
            if (state[row] != FREE) {
                final int offset = nameOffset[row];
                final int length = (old[offset] & 0xFF) << Byte.SIZE | old[offset + 1] & 0xFF;
                nameOffset[row] = appendName(old, offset + NAME_LENGTH_BYTES, length);
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

    /** The index of a destination; an unknown destination is added. */
    int destinationIndex(final long destination) {
        final int slot = destinationSlot(destination);
        if (destinationSlots[slot] != 0) {
            return destinationSlots[slot] - 1;
        }
        if (destinationCount == destinations.length) {
            final int capacity = grownCapacity(destinations.length, INITIAL_ROWS);
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
