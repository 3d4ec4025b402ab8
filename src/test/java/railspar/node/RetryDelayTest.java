package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how the delay before the next watch grows with failures and with the bytes that they waste. */
final class RetryDelayTest {
    private static final long LIST_BYTES = 10_000_000;

    @ParameterizedTest
    @ValueSource(longs = {0, 300, 7199})
    void theDelayStaysShortWhileFewBytesAreWasted(final long wasted) {
        assertEquals(300, RetryDelay.delayMs(0, wasted, 0));
        assertEquals(600, RetryDelay.delayMs(1, wasted, 0));
        assertEquals(1200, RetryDelay.delayMs(2, wasted, 0));
        assertEquals(1200, RetryDelay.delayMs(Integer.MAX_VALUE, wasted, 0));
        assertEquals(1560, RetryDelay.delayMs(9, wasted, 1), "the longest jitter");
        final RetryDelay retry = new RetryDelay(1);
        retry.nextDelayMs(true, wasted);
        assertFalse(retry.isExtended());
    }

    @Test
    void theLimitIsTheTimeThatKeepsTheRateOfWastedBytesLow() {
        assertEquals(2000, RetryDelay.maxMs(12_000));
        assertEquals(100_000, RetryDelay.maxMs(600_000));
        assertEquals(300_000, RetryDelay.maxMs(LIST_BYTES), "five minutes at most");
        assertEquals(300_000, RetryDelay.maxMs(Long.MAX_VALUE));
    }

    @Test
    void theDelayGrowsWithEachInvalidFullList() {
        long before = 0;
        long inOneHour = 0;
        long atMs = 0;
        for (int failures = 0; failures < 40; failures++) {
            final long delay = RetryDelay.delayMs(failures, (failures + 1) * LIST_BYTES, 0);
            assertTrue(delay > before || delay == 300_000, "after " + failures + ": " + delay);
            before = delay;
            atMs += delay;
            inOneHour += atMs < 3_600_000 ? 1 : 0;
        }
        assertTrue(inOneHour <= 21, inOneHour + " lists in an hour");
    }

    @Test
    void wastedBytesCountUntilAListIsAppliedEvenIfAnEmptyLinePrecedesIt() {
        final RetryDelay retry = new RetryDelay(1);
        long last = 0;
        for (int failures = 0; failures < 6; failures++) {
            retry.watchAlive();
            last = retry.nextDelayMs(true, LIST_BYTES);
        }
        assertTrue(last >= 300 << 5, last + " ms after six invalid lists that each followed an empty line");
        assertTrue(retry.isExtended());
        retry.reset();
        assertFalse(retry.isExtended());
        assertTrue(retry.nextDelayMs(true, LIST_BYTES) <= 390);
    }

    @Test
    void couriersWithDifferentSeedsDoNotRetryAtOnce() {
        final long distinct = java.util.stream.LongStream.range(0, 660)
                .map(seed -> new RetryDelay(seed * 0x9E3779B97F4A7C15L).nextDelayMs(true, LIST_BYTES))
                .distinct()
                .count();
        assertTrue(distinct > 80, distinct + " different delays of 90");
    }
}
