package railspar.node;

import java.util.function.LongSupplier;

/**
 * The clocks of a courier, in microseconds. All times are based on the machine's monotonic clock, which is never set.
 *
 * <p>Files that outlast the process contain <em>persistent time</em>: the monotonic clock plus an offset that all
 * processes on one state folder share while the machine is up; see {@link ClockFile}. It looks like Unix time, and
 * differs from it by the steps of the wall clock since the folder was first used. A deadline in a file therefore stays
 * correct when the wall clock is stepped.
 */
final class Clock {
    private static final long NS_PER_US = 1000;
    private static final long US_PER_MS = 1000;

    private final LongSupplier monotonicNs;
    private final LongSupplier wallMs;
    /** Far from zero, so that the decisions see a time of zero ("never") as long ago. */
    private final long originUs;

    private long offsetUs;

    /** Uses the machine's clocks; persistent time initially equals Unix time. */
    Clock() {
        this(System::nanoTime, System::currentTimeMillis);
    }

    /** Uses the given clocks. */
    Clock(final LongSupplier monotonicNs, final LongSupplier wallMs) {
        this.monotonicNs = monotonicNs;
        this.wallMs = wallMs;
        this.offsetUs = wallOffsetUs();
        this.originUs = offsetUs;
    }

    /** The current time on the clock that never moves back. */
    long nowUs() {
        return originUs + monotonicUs();
    }

    /** The current persistent time. */
    long persistentUs() {
        return offsetUs + monotonicUs();
    }

    /** Converts persistent time to the clock of {@link #nowUs}. */
    long fromPersistentUs(final long persistentUs) {
        return persistentUs - offsetUs + originUs;
    }

    /** Converts a time on the clock of {@link #nowUs} to persistent time. */
    long toPersistentUs(final long us) {
        return us - originUs + offsetUs;
    }

    /** Sets the offset of persistent time from the monotonic clock. */
    void setPersistentOffsetUs(final long us) {
        offsetUs = us;
    }

    /** How far the wall clock is ahead of the monotonic clock now. */
    long wallOffsetUs() {
        return wallMs.getAsLong() * US_PER_MS - monotonicUs();
    }

    private long monotonicUs() {
        return monotonicNs.getAsLong() / NS_PER_US;
    }
}
