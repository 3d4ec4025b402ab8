package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards that the budget learns the live heap after full collections, and that the MXBeans are loaded late. */
final class GcMonitorTest {
    private static final int HEAP_BYTES = 1 << 20;

    private static AcceptedMessage message(final long bytes) {
        return new AcceptedMessage("id", "safe", null, null, 7, 0, new byte[(int) bytes]);
    }

    @Test
    void liveHeapAfterAFullCollectionReducesTheBudget() {
        final MemoryBudget budget = MemoryBudget.ofHeap(HEAP_BYTES);
        budget.charge(message(budget.capacityBytes() / 4));
        final GcMonitor monitor = new GcMonitor(budget);
        System.gc();
        monitor.checkForCollection();
        assertEquals(0, budget.capacityBytes(), "the live data of this process exceeds so small a heap");
    }

    @Test
    void beansAreNotLoadedWhileLittleOfTheBudgetIsUsed() {
        final MemoryBudget budget = MemoryBudget.ofHeap(HEAP_BYTES);
        final long capacity = budget.capacityBytes();
        final int[] loads = new int[1];
        final GcMonitor monitor = new GcMonitor(budget, () -> {
            loads[0]++;
            return ManagementFactory.getMemoryPoolMXBeans();
        });
        System.gc();
        monitor.checkForCollection();
        assertEquals(0, loads[0]);
        final AcceptedMessage large = message(capacity / 4);
        budget.charge(large);
        monitor.checkForCollection();
        assertEquals(0, budget.capacityBytes());
        budget.release(large);
        monitor.checkForCollection();
        assertEquals(1, loads[0], "the beans are loaded only once");
    }

    @Test
    void theBudgetIsUnchangedWithoutMemoryPools() {
        final MemoryBudget budget = MemoryBudget.ofHeap(HEAP_BYTES);
        final long capacity = budget.capacityBytes();
        budget.charge(message(capacity));
        assertTrue(budget.usedBytes() > capacity);
        new GcMonitor(budget, List::of).checkForCollection();
        assertEquals(capacity, budget.capacityBytes());
    }
}
