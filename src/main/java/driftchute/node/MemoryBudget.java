package driftchute.node;

/**
 * What the messages that a courier holds may take of the heap, and what they take of it now. Each message is charged
 * from when it is taken on until nothing is owed for it. It bounds admission only: what is owed already, from a journal
 * or from a process that leaves, is charged even beyond the budget, and nothing new is admitted until enough has ended.
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
     * Heap that a held message takes beside its text, whatever its destination: its entries here and in the journal's
     * index, and the state that the decisions keep on it.
     */
    private static final long MESSAGE_BYTES = 700;

    private final long capacityBytes;
    private long usedBytes;

    MemoryBudget(final long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** The budget under a heap of that size. */
    static MemoryBudget ofHeap(final long heapBytes) {
        final long heldBytes = Math.max(heapBytes - RESERVE_BYTES, heapBytes / 2);
        return new MemoryBudget((long) (MESSAGE_SHARE * heldBytes));
    }

    /** A budget that admits everything. */
    static MemoryBudget unlimited() {
        return new MemoryBudget(Long.MAX_VALUE);
    }

    /** Charges a message that a client hands in; false, and nothing charged, if that would go beyond the budget. */
    boolean admit(final Held held) {
        final long bytes = bytes(held);
        if (bytes > capacityBytes - usedBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    /** Charges a message that is owed its end whether or not there is room for it. */
    void charge(final Held held) {
        usedBytes += bytes(held);
    }

    /** Nothing is owed for a message any more. */
    void release(final Held held) {
        usedBytes -= bytes(held);
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
    static long bytes(final Held held) {
        return MESSAGE_BYTES + held.body.length + length(held.id) + length(held.idempotencyKey) + length(held.orderKey);
    }

    private static long length(final String text) {
        return text == null ? 0 : text.length();
    }
}
