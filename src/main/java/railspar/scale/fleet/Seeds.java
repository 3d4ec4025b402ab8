package railspar.scale.fleet;

/** Derives the seeds of the parts of a run from the seed in its parameters. */
final class Seeds {
    static final int DESTINATIONS = 1;
    static final int TRAFFIC = 2;
    static final int DECISIONS = 3;
    static final int WATCH = 4;
    static final int SCENARIO = 5;

    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private Seeds() {}

    /** The seed of a member of a part; the seeds of neighbouring members are uncorrelated. */
    static long of(final long seed, final int part, final long member) {
        return mix(mix(mix(seed) + part) + member);
    }

    /** The finalizer of SplitMix64. */
    private static long mix(final long value) {
        long mixed = value + GOLDEN_GAMMA;
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
