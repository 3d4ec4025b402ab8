package railspar.node;

import java.util.Random;

/**
 * How soon a watch on the list is asked for again. Where little was wasted, what is missed counts as told some
 * seconds after the watch fell silent, so the delay stays short. Where failed attempts cost many bytes, as a spoilt
 * whole list does, the delay may grow until these bytes are spread thin enough, or a fleet that asks again would
 * take discovery down. Each delay is drawn up to so much longer: a fleet whose watches break together would ask
 * again together.
 */
final class RetryDelay {
    private static final long FIRST_MS = 300;
    /** At most where little was wasted, or news would come later than it counts as told. */
    private static final long MOST_MS = 1200;
    /** At most however much was wasted: an operator who mends the list waits no longer. */
    private static final long MOST_WASTED_MS = 300_000;
    /** What a courier may spend on control: wasted bytes are spread at this rate. */
    private static final long BYTES_PER_SECOND = 6000;

    private static final double JITTER = 0.3;
    private static final long MS_PER_SECOND = 1000;
    private static final int MOST_DOUBLINGS = 20;

    private final Random random;
    /** Watches in a row that ended without news, and those that cost bytes for what could not be used. */
    private int barren;

    private int spoilt;
    private long wastedBytes;

    /** Delays drawn from that seed. */
    RetryDelay(final long seed) {
        this.random = new Random(seed);
    }

    /** The watch lives: the next one, should it break, is no further one in a row. */
    void watchAlive() {
        barren = 0;
    }

    /** The watch has nothing to tell that could be spoilt, or has told a list that was taken. */
    void reset() {
        barren = 0;
        spoilt = 0;
        wastedBytes = 0;
    }

    /** A watch has ended, after so many bytes that came for nothing; the result is the delay before the next one. */
    long nextDelayMs(final boolean wasSpoilt, final long unusedBytes) {
        wastedBytes += unusedBytes;
        final int failures = Math.max(barren, spoilt);
        barren++;
        spoilt += wasSpoilt ? 1 : 0;
        return delayMs(failures, wastedBytes, random.nextDouble());
    }

    /** True where the delay may be longer than when little was wasted. */
    boolean isExtended() {
        return maxMs(wastedBytes) > MOST_MS;
    }

    /** The longest delay before its draw, where failed attempts in a row have cost so many bytes. */
    static long maxMs(final long wastedBytes) {
        final long spreadMs = wastedBytes / BYTES_PER_SECOND * MS_PER_SECOND;
        return Math.min(MOST_WASTED_MS, Math.max(MOST_MS, spreadMs));
    }

    /** The delay after so many failures in a row before the last one; {@code draw} is from 0 to 1. */
    static long delayMs(final int failuresBefore, final long wastedBytes, final double draw) {
        final long doubled = FIRST_MS << Math.min(failuresBefore, MOST_DOUBLINGS);
        return (long) (Math.min(maxMs(wastedBytes), doubled) * (1 + JITTER * draw));
    }
}
