package railspar.node;

/**
 * The heap that all client connections may hold together for requests that are incomplete or not answered yet and for
 * responses that are not read, and what they hold now. It is part of the reserve of {@link MemoryBudget}.
 */
final class ConnectionMemory {
    private static final int HEAP_DIVISOR = 8;

    private final long limitBytes;
    private long usedBytes;

    private ConnectionMemory(final long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** The limit for a heap of the given size. */
    static ConnectionMemory ofHeap(final long heapBytes) {
        return new ConnectionMemory(heapBytes / HEAP_DIVISOR);
    }

    /** Changes what one connection holds. */
    void update(final long bytesBefore, final long bytesNow) {
        usedBytes += bytesNow - bytesBefore;
    }

    /** True while the connections hold more than they may. */
    boolean isExceeded() {
        return usedBytes > limitBytes;
    }

    /** What all connections hold now, in bytes. */
    long usedBytes() {
        return usedBytes;
    }

    /** What all connections may hold, in bytes. */
    long limitBytes() {
        return limitBytes;
    }
}
