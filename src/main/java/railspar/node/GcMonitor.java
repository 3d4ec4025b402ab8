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
 * Reports the live heap after full collections to a {@link MemoryBudget}. The platform MXBeans take a megabyte of
 * memory, so they are loaded only once messages use enough of the budget for the rest of the heap to matter.
 */
final class GcMonitor {
    /** Collections are checked once this share of the budget is used. */
    private static final double MIN_USED_SHARE = 0.25;

    private final MemoryBudget budget;
    private final Supplier<List<MemoryPoolMXBean>> pools;
    /** The pool of objects that survive young collections; null until it is needed, empty if there is none. */
    private Optional<MemoryPoolMXBean> tenured;

    private long lastLiveBytes;

    GcMonitor(final MemoryBudget budget) {
        this(budget, ManagementFactory::getMemoryPoolMXBeans);
    }

    GcMonitor(final MemoryBudget budget, final Supplier<List<MemoryPoolMXBean>> pools) {
        this.budget = budget;
        this.pools = pools;
    }

    /** Checks for a full collection since the last call; this reads a single value. */
    void checkForCollection() {
        if (tenured == null) {
            if (budget.usedBytes() < MIN_USED_SHARE * budget.capacityBytes()) {
                return;
            }
            tenured = largestPool();
        }
        tenured.map(MemoryPoolMXBean::getCollectionUsage)
                .map(MemoryUsage::getUsed)
                .ifPresent(this::updateBudget);
    }

    private Optional<MemoryPoolMXBean> largestPool() {
        return pools.get().stream()
                .filter(pool -> pool.getType() == MemoryType.HEAP && pool.getCollectionUsage() != null)
                .max(Comparator.comparingLong(pool -> pool.getUsage().getMax()));
    }

    private void updateBudget(final long liveBytes) {
        if (liveBytes != lastLiveBytes) {
            lastLiveBytes = liveBytes;
            budget.updateAfterCollection(liveBytes);
        }
    }
}
