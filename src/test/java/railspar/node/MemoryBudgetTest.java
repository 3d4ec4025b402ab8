package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards the heap charged per message, and the budget as a function of the heap and its live data. */
final class MemoryBudgetTest {
    private static final long MB = 1 << 20;

    private static AcceptedMessage message(final int bytes) {
        return new AcceptedMessage("id", "safe", null, null, 7, 0, new byte[bytes]);
    }

    @Test
    void theChargeCoversBodyKeysAndOverhead() {
        assertTrue(MemoryBudget.bytesOf(message(0)) > 500);
        assertEquals(1000, MemoryBudget.bytesOf(message(1000)) - MemoryBudget.bytesOf(message(0)));
        final AcceptedMessage keyed = new AcceptedMessage("id", "safe", "0123456789", "01234", 7, 0, new byte[0]);
        assertTrue(MemoryBudget.bytesOf(keyed) - MemoryBudget.bytesOf(message(0)) > 15);
    }

    @Test
    void theBudgetGrowsWithTheHeapAndLeavesRoomForTheCollector() {
        long previous = 0;
        for (long megabytes = 24; megabytes <= 1024; megabytes++) {
            final long capacity = MemoryBudget.ofHeap(megabytes * MB).capacityBytes();
            assertTrue(capacity > previous, "the budget grows with the heap: " + megabytes);
            assertTrue(capacity <= megabytes * MB * 3 / 4, "free heap is left for the garbage collector: " + megabytes);
            previous = capacity;
        }
        assertTrue(MemoryBudget.ofHeap(64 * MB).capacityBytes() > 30 * MB);
    }

    @Test
    void otherLiveDataReducesTheBudgetUntilItIsFreed() {
        final MemoryBudget budget = MemoryBudget.ofHeap(64 * MB);
        final long fullCapacity = budget.capacityBytes();
        budget.charge(message((int) (20 * MB)));
        budget.updateAfterCollection(budget.usedBytes() + 4 * MB);
        assertEquals(fullCapacity, budget.capacityBytes(), "other live data is within the reserve");
        budget.updateAfterCollection(budget.usedBytes() + 40 * MB);
        assertEquals(18 * MB, budget.capacityBytes());
        assertFalse(budget.admit(message(1)), "the used bytes exceed the reduced budget");
        budget.updateAfterCollection(budget.usedBytes() + 100 * MB);
        assertEquals(0, budget.capacityBytes());
        budget.updateAfterCollection(budget.usedBytes() - MB);
        assertEquals(fullCapacity, budget.capacityBytes());
        assertTrue(budget.admit(message(1)));
    }

    @Test
    void aFixedBudgetDoesNotDependOnTheHeap() {
        final MemoryBudget budget = MemoryBudget.of(10_000);
        budget.updateAfterCollection(64 * MB);
        assertEquals(10_000, budget.capacityBytes());
    }
}
