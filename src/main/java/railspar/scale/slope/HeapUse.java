package railspar.scale.slope;

import java.lang.ref.Reference;
import java.util.function.Supplier;

/** Heap retained by an object, measured as the difference in used heap before and after its creation. */
public final class HeapUse {
    /** The serial collector leaves some garbage in place; only every fourth collection compacts the whole heap. */
    private static final int COLLECTIONS = 5;

    private HeapUse() {}

    /**
     * The increase in used bytes after the object is created and garbage is collected. The object is created twice and
     * only the second measurement counts: the first one loads classes and frees garbage from the start of the process.
     */
    public static double bytesHeldBy(final Supplier<?> supplier) {
        measure(supplier);
        return measure(supplier);
    }

    private static long measure(final Supplier<?> supplier) {
        final long before = usedAfterCollection();
        final Object retained = supplier.get();
        final long after = usedAfterCollection();
        Reference.reachabilityFence(retained);
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
