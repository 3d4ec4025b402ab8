package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What the virtual machine tells of its collections gets to the budget. */
final class CollectionWatchTest {
    private static final int HEAP_BYTES = 1 << 20;

    private static Held held(final long bytes) {
        return new Held("id", "safe", null, null, 7, 0, new byte[(int) bytes]);
    }

    @Test
    void whatAFullCollectionLeavesAliveShortensTheBudget() {
        final MemoryBudget budget = MemoryBudget.ofHeap(HEAP_BYTES);
        budget.charge(held(budget.capacityBytes() / 4));
        final CollectionWatch watch = new CollectionWatch(budget);
        System.gc();
        watch.look();
        assertEquals(0, budget.capacityBytes(), "this process holds more than so small a heap");
    }

    @Test
    void nothingIsLoadedWhileLittleIsHeld() {
        final MemoryBudget budget = MemoryBudget.ofHeap(HEAP_BYTES);
        final long capacity = budget.capacityBytes();
        final int[] loads = new int[1];
        final CollectionWatch watch = new CollectionWatch(budget, () -> {
            loads[0]++;
            return ManagementFactory.getMemoryPoolMXBeans();
        });
        System.gc();
        watch.look();
        assertEquals(0, loads[0]);
        final Held large = held(capacity / 4);
        budget.charge(large);
        watch.look();
        assertEquals(0, budget.capacityBytes());
        budget.release(large);
        watch.look();
        assertEquals(1, loads[0], "once is enough");
    }

    @Test
    void aVirtualMachineThatTellsNothingLeavesTheBudgetAsItIs() {
        final MemoryBudget budget = MemoryBudget.ofHeap(HEAP_BYTES);
        final long capacity = budget.capacityBytes();
        budget.charge(held(capacity));
        assertTrue(budget.usedBytes() > capacity);
        new CollectionWatch(budget, List::of).look();
        assertEquals(capacity, budget.capacityBytes());
    }
}
