package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What messages are charged, and how much heap they may take. */
final class MemoryBudgetTest {
    private static final long MB = 1 << 20;

    private static AcceptedMessage held(final int bytes) {
        return new AcceptedMessage("id", "safe", null, null, 7, 0, new byte[bytes]);
    }

    @Test
    void aMessageIsChargedItsBodyAndMore() {
        assertTrue(MemoryBudget.bytesOf(held(0)) > 500);
        assertEquals(1000, MemoryBudget.bytesOf(held(1000)) - MemoryBudget.bytesOf(held(0)));
        final AcceptedMessage keyed = new AcceptedMessage("id", "safe", "0123456789", "01234", 7, 0, new byte[0]);
        assertTrue(MemoryBudget.bytesOf(keyed) - MemoryBudget.bytesOf(held(0)) > 15);
    }

    @Test
    void messagesMayTakeMostOfALargeHeapAndLeaveHalfOfASmallOne() {
        long before = 0;
        for (long megabytes = 24; megabytes <= 1024; megabytes++) {
            final long capacity = MemoryBudget.ofHeap(megabytes * MB).capacityBytes();
            assertTrue(capacity > before, "it grows with the heap: " + megabytes);
            assertTrue(capacity <= megabytes * MB * 3 / 4, "the collector keeps its room: " + megabytes);
            before = capacity;
        }
        assertTrue(MemoryBudget.ofHeap(64 * MB).capacityBytes() > 30 * MB);
    }

    @Test
    void whatElseIsAliveShortensTheBudgetUntilItIsGone() {
        final MemoryBudget budget = MemoryBudget.ofHeap(64 * MB);
        final long whole = budget.capacityBytes();
        budget.charge(held((int) (20 * MB)));
        budget.updateAfterCollection(budget.usedBytes() + 4 * MB);
        assertEquals(whole, budget.capacityBytes(), "less than the reserve");
        budget.updateAfterCollection(budget.usedBytes() + 40 * MB);
        assertEquals(18 * MB, budget.capacityBytes());
        assertFalse(budget.admit(held(1)), "what is held is more than that");
        budget.updateAfterCollection(budget.usedBytes() + 100 * MB);
        assertEquals(0, budget.capacityBytes());
        budget.updateAfterCollection(budget.usedBytes() - MB);
        assertEquals(whole, budget.capacityBytes());
        assertTrue(budget.admit(held(1)));
    }

    @Test
    void aBudgetOfItsOwnDoesNotFollowTheHeap() {
        final MemoryBudget budget = MemoryBudget.of(10_000);
        budget.updateAfterCollection(64 * MB);
        assertEquals(10_000, budget.capacityBytes());
    }
}
