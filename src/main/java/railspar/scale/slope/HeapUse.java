package railspar.scale.slope;

import java.lang.ref.Reference;
import java.util.function.Supplier;

/** Heap that an object keeps alive, as the difference in used heap around its making. */
public final class HeapUse {
    /** The serial collector leaves some garbage in place, and compacts all only at every fourth collection. */
    private static final int COLLECTIONS = 5;

    private HeapUse() {}

    /**
     * Bytes in use more, once the object is made and garbage is collected. It is made twice and the second time
     * counts: the first one loads classes and lets go of what the start of the process left behind.
     */
    public static double bytesHeldBy(final Supplier<?> maker) {
        measure(maker);
        return measure(maker);
    }

    private static long measure(final Supplier<?> maker) {
        final long before = usedAfterCollection();
        final Object held = maker.get();
        final long after = usedAfterCollection();
        Reference.reachabilityFence(held);
        return after - before;
    }

    private static long usedAfterCollection() {
        for (int round = 0; round < COLLECTIONS; round++) {
            System.gc();
        }
        final Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
