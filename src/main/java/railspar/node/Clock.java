package railspar.node;

import java.util.function.LongSupplier;

/**
 * The clocks of a courier, in microseconds. Everything runs on the monotonic clock of the machine, which no one sets.
 *
 * <p>Files that outlast the process hold <em>persistent time</em>: the monotonic clock plus an offset that all
 * processes on one state folder share while the machine is up, see {@link ClockFile}. It looks like Unix time and
 * differs from it by as much as the wall clock has been stepped since the folder was first used, so a deadline in a
 * file remains a span of real time.
 */
final class Clock {
    private static final long NS_PER_US = 1000;
    private static final long US_PER_MS = 1000;

    private final LongSupplier monotonicNs;
    private final LongSupplier wallMs;
    /** Far from zero, so that "never yet" (zero) lies long ago for the decisions. */
    private final long originUs;

    private long offsetUs;

    /** The clocks of the machine; persistent time equals Unix time now. */
    Clock() {
        this(System::nanoTime, System::currentTimeMillis);
    }

    /** Other clocks. */
    Clock(final LongSupplier monotonicNs, final LongSupplier wallMs) {
        this.monotonicNs = monotonicNs;
        this.wallMs = wallMs;
        this.offsetUs = wallOffsetUs();
        this.originUs = offsetUs;
    }

    /** Now, on the clock that never moves back. */
    long nowUs() {
        return originUs + monotonicUs();
    }

    /** Now, in persistent time. */
    long persistentUs() {
        return offsetUs + monotonicUs();
    }

    /** A moment of persistent time on the clock of {@link #nowUs}. */
    long fromPersistentUs(final long persistentUs) {
        return persistentUs - offsetUs + originUs;
    }

    /** A moment of the clock of {@link #nowUs} in persistent time. */
    long toPersistentUs(final long us) {
        return us - originUs + offsetUs;
    }

    /** Persistent time is the monotonic clock plus this from now on. */
    void setPersistentOffsetUs(final long us) {
        offsetUs = us;
    }

    /** What the wall clock is ahead of the monotonic one now. */
    long wallOffsetUs() {
        return wallMs.getAsLong() * US_PER_MS - monotonicUs();
    }

    private long monotonicUs() {
        return monotonicNs.getAsLong() / NS_PER_US;
    }
}
