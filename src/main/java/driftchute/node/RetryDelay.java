package driftchute.node;

/**
 * How soon a watch on the list is asked for again. Where little was wasted, what is missed counts as told some seconds
 * after the watch fell silent, so the delay stays short. Where failed attempts cost many bytes, as a spoilt whole list
 * does, the delay may grow until these bytes are spread thin enough, or a fleet that asks again would take discovery
 * down. Each delay is drawn up to so much longer: a fleet whose watches break together would ask again together.
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

    private RetryDelay() {}

    /** The longest delay before its draw, where failed attempts in a row have cost so many bytes. */
    static long mostMs(final long wastedBytes) {
        final long spreadMs = wastedBytes / BYTES_PER_SECOND * MS_PER_SECOND;
        return Math.min(MOST_WASTED_MS, Math.max(MOST_MS, spreadMs));
    }

    /** True where the delay may be longer than when little was wasted. */
    static boolean isLong(final long wastedBytes) {
        return mostMs(wastedBytes) > MOST_MS;
    }

    /** The delay after so many failures in a row before the last one; {@code draw} is from 0 to 1. */
    static long ms(final int failuresBefore, final long wastedBytes, final double draw) {
        final long doubled = FIRST_MS << Math.min(failuresBefore, MOST_DOUBLINGS);
        return (long) (Math.min(mostMs(wastedBytes), doubled) * (1 + JITTER * draw));
    }
}
