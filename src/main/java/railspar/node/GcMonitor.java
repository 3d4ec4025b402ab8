package railspar.node;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Tells a {@link MemoryBudget} what full collections of the heap leave alive. The platform's beans take a megabyte,
 * so they are loaded only once the messages take a part of the budget that makes the rest of the heap matter.
 */
final class GcMonitor {
    /** From this share of the budget on it is looked at the collections. */
    private static final double BUSY_SHARE = 0.25;

    private final MemoryBudget budget;
    private final Supplier<List<MemoryPoolMXBean>> pools;
    /** The pool of what outlives young collections; null until it is needed, empty where there is none. */
    private Optional<MemoryPoolMXBean> tenured;

    private long seenBytes;

    GcMonitor(final MemoryBudget budget) {
        this(budget, ManagementFactory::getMemoryPoolMXBeans);
    }

    GcMonitor(final MemoryBudget budget, final Supplier<List<MemoryPoolMXBean>> pools) {
        this.budget = budget;
        this.pools = pools;
    }

    /** Looks whether there was a full collection since, at the cost of reading one figure. */
    void checkForCollection() {
        if (tenured == null) {
            if (budget.usedBytes() < BUSY_SHARE * budget.capacityBytes()) {
                return;
            }
            tenured = largestPool();
        }
        tenured.map(MemoryPoolMXBean::getCollectionUsage)
                .map(MemoryUsage::getUsed)
                .ifPresent(this::found);
    }

    private Optional<MemoryPoolMXBean> largestPool() {
        return pools.get().stream()
                .filter(pool -> pool.getType() == MemoryType.HEAP && pool.getCollectionUsage() != null)
                .max(Comparator.comparingLong(pool -> pool.getUsage().getMax()));
    }

    private void found(final long liveBytes) {
        if (liveBytes != seenBytes) {
            seenBytes = liveBytes;
            budget.updateAfterCollection(liveBytes);
        }
    }
}
