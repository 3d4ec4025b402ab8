package railspar.node;

import java.util.Random;

/**
 * Exponential backoff with jitter for opening a new watch on the list. While few bytes have been wasted, the delay
 * stays short: the courier is expected to know missed changes within seconds after a watch falls silent. If failed
 * attempts have cost many bytes, as an invalid full list does, the delay may grow until the rate of wasted bytes is low
 * enough: otherwise the retries of a fleet would overload discovery. The jitter keeps the couriers of a fleet, whose
 * watches may all end at once, from retrying at once.
 */
final class RetryDelay {
    private static final long INITIAL_DELAY_MS = 300;
    /** Longest delay while few bytes have been wasted: with a longer one, changes would be known too late. */
    private static final long MAX_DELAY_MS = 1200;
    /** Longest delay however many bytes have been wasted: an operator who repairs the list waits no longer. */
    private static final long MAX_EXTENDED_DELAY_MS = 300_000;
    /** Limit for the rate of wasted bytes: what a courier may spend on control traffic. */
    private static final long MAX_WASTED_BYTES_PER_SECOND = 6000;

    private static final double JITTER = 0.3;
    private static final long MS_PER_SECOND = 1000;
    private static final int MAX_DOUBLINGS = 20;

    private final Random random;
    /** Consecutive watches that ended without a sign of life. */
    private int failedWatches;
    /** Consecutive watches that ended with an invalid list. */
    private int invalidLists;

    private long wastedBytes;

    /** Creates a backoff whose jitter is drawn from a random generator with the given seed. */
    RetryDelay(final long seed) {
        this.random = new Random(seed);
    }

    /** The watch is alive: the count of consecutive failed watches restarts, that of invalid lists does not. */
    void watchAlive() {
        failedWatches = 0;
    }

    /** Resets the backoff: the watch has brought a list that was applied, or has shown that none is on its way. */
    void reset() {
        failedWatches = 0;
        invalidLists = 0;
        wastedBytes = 0;
    }

    /** Records the end of a watch and the bytes that it wasted, and returns the delay before the next one. */
    long nextDelayMs(final boolean wasInvalid, final long watchWastedBytes) {
        wastedBytes += watchWastedBytes;
        final int failures = Math.max(failedWatches, invalidLists);
        failedWatches++;
        invalidLists += wasInvalid ? 1 : 0;
        return delayMs(failures, wastedBytes, random.nextDouble());
    }

    /** True if the wasted bytes permit delays longer than {@link #MAX_DELAY_MS}. */
    boolean isExtended() {
        return maxMs(wastedBytes) > MAX_DELAY_MS;
    }

    /** The longest delay before jitter, if consecutive failed attempts have wasted the given number of bytes. */
    static long maxMs(final long wastedBytes) {
        final long spreadMs = wastedBytes / MAX_WASTED_BYTES_PER_SECOND * MS_PER_SECOND;
        return Math.min(MAX_EXTENDED_DELAY_MS, Math.max(MAX_DELAY_MS, spreadMs));
    }

    /** The delay after a failure that follows {@code failuresBefore} others in a row; {@code draw}: from 0 to 1. */
    static long delayMs(final int failuresBefore, final long wastedBytes, final double draw) {
        final long doubled = INITIAL_DELAY_MS << Math.min(failuresBefore, MAX_DOUBLINGS);
        return (long) (Math.min(maxMs(wastedBytes), doubled) * (1 + JITTER * draw));
    }
}
