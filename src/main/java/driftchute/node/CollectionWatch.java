package driftchute.node;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Tells a {@link MemoryBudget} what full collections of the heap leave alive. */
final class CollectionWatch {
    private final MemoryBudget budget;
    private final Optional<MemoryPoolMXBean> tenured;
    private long seenBytes;

    CollectionWatch(final MemoryBudget budget) {
        this(budget, ManagementFactory.getMemoryPoolMXBeans());
    }

    CollectionWatch(final MemoryBudget budget, final List<MemoryPoolMXBean> pools) {
        this.budget = budget;
        // Only what outlives young collections counts, and its pool is the largest.
        this.tenured = pools.stream()
                .filter(pool -> pool.getType() == MemoryType.HEAP && pool.getCollectionUsage() != null)
                .max(Comparator.comparingLong(pool -> pool.getUsage().getMax()));
    }

    /** Looks whether there was a full collection since, at the cost of reading one figure. */
    void look() {
        tenured.map(MemoryPoolMXBean::getCollectionUsage)
                .map(MemoryUsage::getUsed)
                .ifPresent(this::found);
    }

    private void found(final long liveBytes) {
        if (liveBytes != seenBytes) {
            seenBytes = liveBytes;
            budget.collected(liveBytes);
        }
    }
}
