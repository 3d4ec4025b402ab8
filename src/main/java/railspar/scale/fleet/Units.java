package railspar.scale.fleet;

/** Units of the simulated clock, which counts microseconds. */
final class Units {
    static final long US_PER_MS = 1_000;
    static final long US_PER_SECOND = 1_000_000;
    static final double SECONDS_PER_DAY = 86_400;

    private Units() {}

    /** Seconds as microseconds. */
    static long fromSeconds(final double seconds) {
        return Math.round(seconds * US_PER_SECOND);
    }
}
