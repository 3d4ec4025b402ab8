package railspar.node;

/**
 * The heap limit for open messages, and the heap charged to them now. Each message is charged from its acceptance
 * until it is complete. The budget limits admission only: messages from the journal or from a predecessor process are
 * charged even beyond the limit, and no new message is admitted until enough of them have ended.
 */
final class MemoryBudget {
    /**
     * Heap for everything except open messages: the list, the state kept per destination, connections with their
     * buffers and request bodies, and the garbage of one event-loop pass.
     */
    private static final long RESERVE_BYTES = 16L << 20;
    /** Share of the remaining heap for messages: the garbage collector needs free heap to work. */
    private static final double MESSAGE_SHARE = 0.75;
    /**
     * Heap per open message apart from its text and body: its objects, its entries in three maps, and the state that
     * the delivery control keeps for it. That is 505 bytes in a heap histogram of 30,000 messages, plus a tenth.
     */
    private static final long MESSAGE_OVERHEAD_BYTES = 560;
    /** Share of the heap for the learned state of idle destinations; part of the reserve. */
    private static final double IDLE_DESTINATION_SHARE = 0.125;
    /** Heap per idle destination with two endpoints: 966 bytes by the slope of listed destinations, rounded up. */
    private static final long IDLE_DESTINATION_BYTES = 1024;
    /** The learned state of this many idle destinations is always kept. */
    private static final int MIN_IDLE_DESTINATIONS = 1024;
    /** Share of the heap for the ids of ended messages, and heap per id without its characters; part of the reserve. */
    private static final double ENDED_MESSAGE_SHARE = 1.0 / 64;

    private static final long ENDED_MESSAGE_BYTES = 256;
    /** Heap overhead of an optional string of a message, apart from its characters. */
    private static final long STRING_OVERHEAD_BYTES = 56;

    private final long heapBytes;
    private final long maxCapacityBytes;
    private long capacityBytes;
    private long usedBytes;

    private MemoryBudget(final long heapBytes, final long maxCapacityBytes) {
        this.heapBytes = heapBytes;
        this.maxCapacityBytes = maxCapacityBytes;
        this.capacityBytes = maxCapacityBytes;
    }

    /** The budget for a heap of the given size. */
    static MemoryBudget ofHeap(final long heapBytes) {
        final long remainingBytes = Math.max(heapBytes - RESERVE_BYTES, heapBytes / 2);
        return new MemoryBudget(heapBytes, (long) (MESSAGE_SHARE * remainingBytes));
    }

    /** Number of idle destinations whose learned state may be kept, for a heap of the given size. */
    static int maxIdleDestinations(final long heapBytes) {
        final long destinations = (long) (IDLE_DESTINATION_SHARE * heapBytes / IDLE_DESTINATION_BYTES);
        return (int) Math.min(Integer.MAX_VALUE, Math.max(MIN_IDLE_DESTINATIONS, destinations));
    }

    /** A budget of the given number of bytes, independent of the heap. */
    static MemoryBudget of(final long bytes) {
        return new MemoryBudget(Long.MAX_VALUE, bytes);
    }

    /** A budget that admits everything. */
    static MemoryBudget unlimited() {
        return of(Long.MAX_VALUE);
    }

    /** Number of ended messages whose ids may be remembered. */
    int maxEndedMessages() {
        return (int) Math.min(Integer.MAX_VALUE, (long) (ENDED_MESSAGE_SHARE * heapBytes / ENDED_MESSAGE_BYTES));
    }

    /** Charges a submitted message; returns false and charges nothing if that would exceed the budget. */
    boolean admit(final AcceptedMessage message) {
        final long bytes = bytesOf(message);
        if (bytes > capacityBytes - usedBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    /** Charges a message that has already been accepted, even beyond the budget. */
    void charge(final AcceptedMessage message) {
        usedBytes += bytesOf(message);
    }

    /** Releases the charge of a message that is complete. */
    void release(final AcceptedMessage message) {
        usedBytes -= bytesOf(message);
    }

    /**
     * Adjusts the budget to the live heap after a full collection. Live bytes that are not charged to messages belong
     * to something else, such as a long list. Where they exceed the reserve they reduce the budget, until a later
     * collection finds fewer of them.
     */
    void updateAfterCollection(final long liveBytes) {
        final double remainingBytes = (double) heapBytes - Math.max(0, liveBytes - usedBytes);
        capacityBytes = (long) Math.min(maxCapacityBytes, Math.max(0, MESSAGE_SHARE * remainingBytes));
    }

    /** Heap charged to open messages. */
    long usedBytes() {
        return usedBytes;
    }

    /** Heap that open messages may use. */
    long capacityBytes() {
        return capacityBytes;
    }

    /** The charge of a message. It depends on fields that never change, so charge and release are equal. */
    static long bytesOf(final AcceptedMessage message) {
        return MESSAGE_OVERHEAD_BYTES
                + message.body.length
                + message.id.length()
                + stringBytes(message.idempotencyKey)
                + stringBytes(message.orderKey);
    }

    private static long stringBytes(final String text) {
        return text == null ? 0 : STRING_OVERHEAD_BYTES + text.length();
    }
}
