package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What the virtual machine tells of its collections gets to the budget. */
final class GcMonitorTest {
    private static final int HEAP_BYTES = 1 << 20;

    private static AcceptedMessage held(final long bytes) {
        return new AcceptedMessage("id", "safe", null, null, 7, 0, new byte[(int) bytes]);
    }

    @Test
    void whatAFullCollectionLeavesAliveShortensTheBudget() {
        final MemoryBudget budget = MemoryBudget.ofHeap(HEAP_BYTES);
        budget.charge(held(budget.capacityBytes() / 4));
        final GcMonitor watch = new GcMonitor(budget);
        System.gc();
        watch.checkForCollection();
        assertEquals(0, budget.capacityBytes(), "this process holds more than so small a heap");
    }

    @Test
    void nothingIsLoadedWhileLittleIsHeld() {
        final MemoryBudget budget = MemoryBudget.ofHeap(HEAP_BYTES);
        final long capacity = budget.capacityBytes();
        final int[] loads = new int[1];
        final GcMonitor watch = new GcMonitor(budget, () -> {
            loads[0]++;
            return ManagementFactory.getMemoryPoolMXBeans();
        });
        System.gc();
        watch.checkForCollection();
        assertEquals(0, loads[0]);
        final AcceptedMessage large = held(capacity / 4);
        budget.charge(large);
        watch.checkForCollection();
        assertEquals(0, budget.capacityBytes());
        budget.release(large);
        watch.checkForCollection();
        assertEquals(1, loads[0], "once is enough");
    }

    @Test
    void aVirtualMachineThatTellsNothingLeavesTheBudgetAsItIs() {
        final MemoryBudget budget = MemoryBudget.ofHeap(HEAP_BYTES);
        final long capacity = budget.capacityBytes();
        budget.charge(held(capacity));
        assertTrue(budget.usedBytes() > capacity);
        new GcMonitor(budget, List::of).checkForCollection();
        assertEquals(capacity, budget.capacityBytes());
    }
}
