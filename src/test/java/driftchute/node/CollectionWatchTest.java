package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What the virtual machine tells of its collections gets to the budget. */
final class CollectionWatchTest {
    @Test
    void whatAFullCollectionLeavesAliveShortensTheBudget() {
        final MemoryBudget budget = MemoryBudget.ofHeap(1 << 20);
        assertTrue(budget.capacityBytes() > 0);
        final CollectionWatch watch = new CollectionWatch(budget);
        System.gc();
        watch.look();
        assertEquals(0, budget.capacityBytes(), "this process holds more than so small a heap");
    }

    @Test
    void aVirtualMachineThatTellsNothingLeavesTheBudgetAsItIs() {
        final MemoryBudget budget = MemoryBudget.ofHeap(1 << 20);
        final long capacity = budget.capacityBytes();
        new CollectionWatch(budget, List.of()).look();
        assertEquals(capacity, budget.capacityBytes());
    }
}
