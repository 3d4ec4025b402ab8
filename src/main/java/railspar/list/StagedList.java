package railspar.list;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import railspar.Courier;

/**
 * What one object of the list holds, packed, until the object is whole and can be applied. It refuses to grow beyond
 * a budget, and to take a name twice.
 */
public final class StagedList {
    /** The version of a list that tells none. */
    public static final long NO_VERSION = Long.MIN_VALUE;
    /** Longest name, zone or kind in bytes. */
    static final int MOST_TEXT_BYTES = 1024;

    private static final int PAGE_BYTES = 1 << 14;
    /** Name length, flags, address, port, zone, kind, destination, weight. */
    private static final int FIXED_BYTES = 2 + 1 + 4 + 2 + 2 + 2 + 8 + 8;

    private static final int CONDITION_MASK = 3;
    private static final int CONDITION_UNKNOWN = 3;
    private static final int HAS_DESTINATION = 4;
    private static final int HAS_ADDRESS = 8;
    private static final Courier.Condition[] CONDITIONS = Courier.Condition.values();
    private static final int FIRST_SLOTS = 16;
    /** Problems that are kept for the log; of more, only that there was one. */
    private static final int MOST_PROBLEMS = 50;

    private final long budgetBytes;
    private final List<ByteBuffer> pages = new ArrayList<>();
    /** Where the entries begin, plus one, by the hash of their names; open addressing. */
    private int[] slots = new int[FIRST_SLOTS];

    private final TextDictionary zones = new TextDictionary();
    private final TextDictionary kinds = new TextDictionary();
    private final Map<Integer, String> problems = new HashMap<>();
    private int size;
    private boolean whole;
    private boolean hasEntries;
    private long version = NO_VERSION;

    /** Begins an empty one that takes so many bytes of heap at most. */
    public StagedList(final long budgetBytes) {
        this.budgetBytes = budgetBytes;
    }

    /** True if it names all endpoints, and not only changed ones. */
    public boolean isFull() {
        return whole;
    }

    /** Its version, or {@link #NO_VERSION}. */
    public long version() {
        return version;
    }

    /** True if it has an array of entries, be it empty. */
    public boolean hasEntries() {
        return hasEntries;
    }

    void setHasEntries(final boolean told) {
        hasEntries = told;
    }

    /** Entries in it. */
    public int size() {
        return size;
    }

    /** Heap that it takes. */
    public long bytes() {
        return (long) pages.size() * PAGE_BYTES + (long) slots.length * Integer.BYTES + zones.bytes() + kinds.bytes();
    }

    void setFull(final boolean all) {
        whole = all;
    }

    void setVersion(final long told) {
        version = told;
    }

    TextDictionary zones() {
        return zones;
    }

    TextDictionary kinds() {
        return kinds;
    }

    /** Takes an entry; its zone and kind are numbers of this list's dictionaries. */
    void add(final StagedEntry entry) throws ListFormatException {
        final int hash = NameHash.of(entry.nameBytes, entry.nameFrom, entry.nameLength);
        growSlots();
        final int slot = slot(entry, hash);
        if (slots[slot] != 0) {
            throw new ListFormatException(
                    ListFormatException.Fault.REPEATED_ENTRY, "it names " + entry.name() + " twice");
        }
        final ByteBuffer page = pageFor(FIXED_BYTES + entry.nameLength);
        final int at = (pages.size() - 1) * PAGE_BYTES + page.position();
        slots[slot] = at + 1;
        if (entry.problem != null && problems.size() < MOST_PROBLEMS) {
            problems.put(at, entry.problem);
        }
        write(entry, page);
        size++;
        requireBudget();
    }

    private void requireBudget() throws ListFormatException {
        if (bytes() > budgetBytes) {
            throw new ListFormatException(
                    ListFormatException.Fault.TOO_LARGE,
                    "it needs more than the " + budgetBytes + " bytes there are for it");
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

    /** Reads the entry at a position into a reused object; the result is the position behind it. */
    private int read(final int at, final StagedEntry into) {
        final ByteBuffer page = pages.get(at / PAGE_BYTES);
        int offset = at % PAGE_BYTES;
        into.nameBytes = page.array();
        into.nameLength = page.getShort(offset);
        offset += Short.BYTES;
        into.nameFrom = offset;
        offset += into.nameLength;
        final int flags = page.get(offset++);
        final int condition = flags & CONDITION_MASK;
        into.condition = condition == CONDITION_UNKNOWN ? null : CONDITIONS[condition];
        into.hasDestination = (flags & HAS_DESTINATION) != 0;
        into.hasAddress = (flags & HAS_ADDRESS) != 0;
        into.ip = page.getInt(offset);
        offset += Integer.BYTES;
        into.port = page.getChar(offset);
        offset += Character.BYTES;
        into.zone = page.getChar(offset);
        offset += Character.BYTES;
        into.kind = page.getChar(offset);
        offset += Character.BYTES;
        into.destination = page.getLong(offset);
        offset += Long.BYTES;
        into.weight = page.getDouble(offset);
        offset += Double.BYTES;
        into.problem = problems.getOrDefault(at, "more of them");
        return at / PAGE_BYTES * PAGE_BYTES + offset;
    }

    /** What is done with each entry; the object is reused. */
    interface Visitor<E extends Exception> {
        void visit(StagedEntry entry) throws E;
    }

    /** Visits the entries in the order told. */
    <E extends Exception> void forEach(final Visitor<E> visitor) throws E {
        final StagedEntry entry = new StagedEntry();
        for (int page = 0; page < pages.size(); page++) {
            final int end = page * PAGE_BYTES + pages.get(page).position();
            for (int at = page * PAGE_BYTES; at < end; ) {
                at = read(at, entry);
                visitor.visit(entry);
            }
        }
    }

    // ---------------------------------------------------------------- names

    /** The slot of that name, or the free one where it belongs. */
    private int slot(final StagedEntry entry, final int hash) {
        int slot = hash & slots.length - 1;
        while (slots[slot] != 0 && !isNamed(slots[slot] - 1, entry)) {
            slot = slot + 1 & slots.length - 1;
        }
        return slot;
    }

    private boolean isNamed(final int at, final StagedEntry entry) {
        final ByteBuffer page = pages.get(at / PAGE_BYTES);
        final int offset = at % PAGE_BYTES;
        return page.getShort(offset) == entry.nameLength
                && NameHash.same(page.array(), offset + Short.BYTES, entry.nameBytes, entry.nameFrom, entry.nameLength);
    }

    /** Three quarters at most are taken. */
    private void growSlots() {
        if (4L * (size + 1) <= 3L * slots.length) {
            return;
        }
        final int[] old = slots;
        slots = new int[2 * old.length];
        Arrays.stream(old).filter(at -> at != 0).forEach(at -> {
            final ByteBuffer page = pages.get((at - 1) / PAGE_BYTES);
            final int offset = (at - 1) % PAGE_BYTES;
            final int length = page.getShort(offset);
            int slot = NameHash.of(page.array(), offset + Short.BYTES, length) & slots.length - 1;
            while (slots[slot] != 0) {
                slot = slot + 1 & slots.length - 1;
            }
            slots[slot] = at;
        });
    }
}
