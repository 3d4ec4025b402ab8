package railspar.list;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import railspar.Courier;

/**
 * The entries of one list, in packed form, until its JSON object is complete and can be applied to the table. It
 * rejects a list that needs more heap than its budget, or that names an endpoint twice.
 */
public final class StagedList {
    /** The version of a list without a version. */
    public static final long NO_VERSION = Long.MIN_VALUE;
    /** Longest permitted name, zone or kind, in bytes. */
    static final int MAX_TEXT_BYTES = 1024;

    private static final int PAGE_BYTES = 1 << 14;
    /** Name length, flags, address, port, zone, kind, destination, weight. */
    private static final int FIXED_BYTES = 2 + 1 + 4 + 2 + 2 + 2 + 8 + 8;

    private static final int CONDITION_MASK = 3;
    private static final int CONDITION_UNKNOWN = 3;
    private static final int HAS_DESTINATION = 4;
    private static final int HAS_ADDRESS = 8;
    private static final Courier.Condition[] CONDITIONS = Courier.Condition.values();
    private static final int INITIAL_SLOTS = 16;
    /** Problems whose texts are kept for the log; further entries get a general text. */
    private static final int MAX_PROBLEMS = 50;

    private final long budgetBytes;
    private final List<ByteBuffer> pages = new ArrayList<>();
    /** Position of an entry plus one, by the hash of its name; open addressing. */
    private int[] slots = new int[INITIAL_SLOTS];

    private final TextDictionary zones = new TextDictionary();
    private final TextDictionary kinds = new TextDictionary();
    private final Map<Integer, String> problems = new HashMap<>();
    private int size;
    private boolean full;
    private boolean hasEntries;
    private long version = NO_VERSION;

    /** Creates an empty list that may take {@code budgetBytes} of heap. */
    public StagedList(final long budgetBytes) {
        this.budgetBytes = budgetBytes;
    }

    /** True if the list contains all endpoints, false if it contains only changed ones. */
    public boolean isFull() {
        return full;
    }

    /** The version of the list, or {@link #NO_VERSION}. */
    public long version() {
        return version;
    }

    /** True if the list has an array of entries, even an empty one. */
    public boolean hasEntries() {
        return hasEntries;
    }

    void setHasEntries(final boolean present) {
        hasEntries = present;
    }

    /** Number of entries. */
    public int size() {
        return size;
    }

    /** Heap bytes of the list. */
    public long bytes() {
        return (long) pages.size() * PAGE_BYTES + (long) slots.length * Integer.BYTES + zones.bytes() + kinds.bytes();
    }

    void setFull(final boolean complete) {
        full = complete;
    }

    void setVersion(final long newVersion) {
        version = newVersion;
    }

    TextDictionary zones() {
        return zones;
    }

    TextDictionary kinds() {
        return kinds;
    }

    /** Adds an entry; its zone and kind are numbers of this list's dictionaries. */
    void add(final StagedEntry entry) throws ListFormatException {
        final int hash = NameHash.of(entry.nameBytes, entry.nameFrom, entry.nameLength);
        growSlots();
        final int slot = slot(entry, hash);
        if (slots[slot] != 0) {
            throw new ListFormatException(
                    ListFormatException.Fault.REPEATED_ENTRY, "it names " + entry.name() + " twice");
        }
        final ByteBuffer page = pageFor(FIXED_BYTES + entry.nameLength);
        final int position = (pages.size() - 1) * PAGE_BYTES + page.position();
        slots[slot] = position + 1;
        if (entry.problem != null && problems.size() < MAX_PROBLEMS) {
            problems.put(position, entry.problem);
        }
        write(entry, page);
        size++;
        requireWithinBudget();
    }

    private void requireWithinBudget() throws ListFormatException {
        if (bytes() > budgetBytes) {
            throw new ListFormatException(
                    ListFormatException.Fault.TOO_LARGE, "it needs more than its budget of " + budgetBytes + " bytes");
        }
    }

    private ByteBuffer pageFor(final int bytes) {
        if (pages.isEmpty() || pages.get(pages.size() - 1).remaining() < bytes) {
            pages.add(ByteBuffer.allocate(PAGE_BYTES));
        }
        return pages.get(pages.size() - 1);
    }

    private static void write(final StagedEntry entry, final ByteBuffer page) {
        final int condition = entry.condition == null ? CONDITION_UNKNOWN : entry.condition.ordinal();
        final int flags =
                condition | (entry.hasDestination ? HAS_DESTINATION : 0) | (entry.hasAddress ? HAS_ADDRESS : 0);
        page.putShort((short) entry.nameLength).put(entry.nameBytes, entry.nameFrom, entry.nameLength);
        page.put((byte) flags).putInt(entry.ip).putChar((char) entry.port);
        page.putChar((char) entry.zone).putChar((char) entry.kind);
        page.putLong(entry.destination).putDouble(entry.weight);
    }

    /** Reads the entry at a position into a reused object and returns the position after it. */
    private int read(final int position, final StagedEntry target) {
        final ByteBuffer page = pages.get(position / PAGE_BYTES);
        int offset = position % PAGE_BYTES;
        target.nameBytes = page.array();
        target.nameLength = page.getShort(offset);
        offset += Short.BYTES;
        target.nameFrom = offset;
        offset += target.nameLength;
        final int flags = page.get(offset++);
        final int condition = flags & CONDITION_MASK;
        target.condition = condition == CONDITION_UNKNOWN ? null : CONDITIONS[condition];
        target.hasDestination = (flags & HAS_DESTINATION) != 0;
        target.hasAddress = (flags & HAS_ADDRESS) != 0;
        target.ip = page.getInt(offset);
        offset += Integer.BYTES;
        target.port = page.getChar(offset);
        offset += Character.BYTES;
        target.zone = page.getChar(offset);
        offset += Character.BYTES;
        target.kind = page.getChar(offset);
        offset += Character.BYTES;
        target.destination = page.getLong(offset);
        offset += Long.BYTES;
        target.weight = page.getDouble(offset);
        offset += Double.BYTES;
        target.problem =
                problems.getOrDefault(position, "the list has more than " + MAX_PROBLEMS + " unusable entries");
        return position / PAGE_BYTES * PAGE_BYTES + offset;
    }

    /** Visits entries; the entry object is reused between calls. */
    interface Visitor<E extends Exception> {
        void visit(StagedEntry entry) throws E;
    }

    /** Visits the entries in the order of the list. */
    <E extends Exception> void forEach(final Visitor<E> visitor) throws E {
        final StagedEntry entry = new StagedEntry();
        for (int page = 0; page < pages.size(); page++) {
            final int end = page * PAGE_BYTES + pages.get(page).position();
            for (int position = page * PAGE_BYTES; position < end; ) {
                position = read(position, entry);
                visitor.visit(entry);
            }
        }
    }

    // ---------------------------------------------------------------- names

    /** The slot of the entry's name, or the free slot where it has to be inserted. */
    private int slot(final StagedEntry entry, final int hash) {
        int slot = hash & slots.length - 1;
        while (slots[slot] != 0 && !hasName(slots[slot] - 1, entry)) {
            slot = slot + 1 & slots.length - 1;
        }
        return slot;
    }

    private boolean hasName(final int position, final StagedEntry entry) {
        final ByteBuffer page = pages.get(position / PAGE_BYTES);
        final int offset = position % PAGE_BYTES;
        return page.getShort(offset) == entry.nameLength
                && NameHash.same(page.array(), offset + Short.BYTES, entry.nameBytes, entry.nameFrom, entry.nameLength);
    }

    /** Keeps the load factor of the hash table at three quarters or less. */
    private void growSlots() {
        if (4L * (size + 1) <= 3L * slots.length) {
            return;
        }
        final int[] old = slots;
        slots = new int[2 * old.length];
        Arrays.stream(old).filter(entry -> entry != 0).forEach(entry -> {
            final ByteBuffer page = pages.get((entry - 1) / PAGE_BYTES);
            final int offset = (entry - 1) % PAGE_BYTES;
            final int length = page.getShort(offset);
            int slot = NameHash.of(page.array(), offset + Short.BYTES, length) & slots.length - 1;
            while (slots[slot] != 0) {
                slot = slot + 1 & slots.length - 1;
            }
            slots[slot] = entry;
        });
    }
}
