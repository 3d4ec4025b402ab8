package railspar.node;

/**
 * What the messages that a courier holds may take of the heap, and what they take of it now. Each message is charged
 * from when it is taken on until nothing is owed for it. It bounds admission only: what is owed already, from a
 * journal or from a process that leaves, is charged even beyond the budget, and nothing new is admitted until enough
 * has ended.
 */
final class MemoryBudget {
    /**
     * Heap for all that is not a held message: list, decisions on destinations, connections with their buffers and
     * request bodies, and the garbage of a pass.
     */
    private static final long RESERVE_BYTES = 16L << 20;
    /** Share of the rest that messages may fill: the collector needs room to work in. */
    private static final double MESSAGE_SHARE = 0.75;
    /**
     * Heap that a held message takes beside its text: its objects, its entries in three maps, and what the decisions
     * keep on it. By a histogram of 30,000 of them it is 505 bytes; a tenth is added.
     */
    private static final long MESSAGE_BYTES = 560;
    /**
     * Share of the heap for what is learned of destinations at rest, within the reserve; heap that one of them takes
     * with two endpoints, a little over the 966 bytes that the slope of the listed ones showed; and how many are
     * always kept.
     */
    private static final double DESTINATION_SHARE = 0.125;

    private static final long DESTINATION_BYTES = 1024;
    private static final int LEAST_DESTINATIONS = 1024;
    /** Heap that a text which a message may have or not takes beside its letters. */
    private static final long TEXT_BYTES = 56;

    private final long heapBytes;
    private final long mostBytes;
    private long capacityBytes;
    private long usedBytes;

    private MemoryBudget(final long heapBytes, final long mostBytes) {
        this.heapBytes = heapBytes;
        this.mostBytes = mostBytes;
        this.capacityBytes = mostBytes;
    }

    /** The budget under a heap of that size. */
    static MemoryBudget ofHeap(final long heapBytes) {
        final long leftBytes = Math.max(heapBytes - RESERVE_BYTES, heapBytes / 2);
        return new MemoryBudget(heapBytes, (long) (MESSAGE_SHARE * leftBytes));
    }

    /** Destinations at rest of which the decisions may remember what they learned, under a heap of that size. */
    static int maxIdleDestinations(final long heapBytes) {
        final long most = (long) (DESTINATION_SHARE * heapBytes / DESTINATION_BYTES);
        return (int) Math.min(Integer.MAX_VALUE, Math.max(LEAST_DESTINATIONS, most));
    }

    /** A budget of so many bytes, whatever the heap. */
    static MemoryBudget of(final long bytes) {
        return new MemoryBudget(Long.MAX_VALUE, bytes);
    }

    /** A budget that admits everything. */
    static MemoryBudget unlimited() {
        return of(Long.MAX_VALUE);
    }

    /** Charges a message that a client hands in; false, and nothing charged, if that would go beyond the budget. */
    boolean admit(final AcceptedMessage held) {
        final long bytes = bytesOf(held);
        if (bytes > capacityBytes - usedBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    /** Charges a message that is owed its end whether or not there is room for it. */
    void charge(final AcceptedMessage held) {
        usedBytes += bytesOf(held);
    }

    /** Nothing is owed for a message any more. */
    void release(final AcceptedMessage held) {
        usedBytes -= bytesOf(held);
    }

    /**
     * A full collection has left so many bytes alive. What of it is not charged to messages is not theirs: where that
     * is more than the reserve, as with a long list, it shortens the budget, until a later collection finds it
     * smaller.
     */
    void updateAfterCollection(final long liveBytes) {
        final double leftBytes = (double) heapBytes - Math.max(0, liveBytes - usedBytes);
        capacityBytes = (long) Math.min(mostBytes, Math.max(0, MESSAGE_SHARE * leftBytes));
    }

    /** Heap that is charged for what is held. */
    long usedBytes() {
        return usedBytes;
    }

    /** Heap that held messages may take. */
    long capacityBytes() {
        return capacityBytes;
    }

    /** What a message is charged: the same when it comes and when it goes, as none of this changes in between. */
    static long bytesOf(final AcceptedMessage held) {
        return MESSAGE_BYTES + held.body.length + held.id.length() + text(held.idempotencyKey) + text(held.orderKey);
    }

    private static long text(final String text) {
        return text == null ? 0 : TEXT_BYTES + text.length();
    }
}
