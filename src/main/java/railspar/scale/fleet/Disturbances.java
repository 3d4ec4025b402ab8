package railspar.scale.fleet;

/**
 * The faults that are injected during a run, besides destinations that are down.
 *
 * @param restarts number of restarts, each of a random courier, distributed over the run
 * @param outageSeconds duration of the one outage of discovery, during which it is silent
 * @param silentWatches share of the couriers whose watches fall silent, all at the same time
 * @param cutZone the zone whose couriers are cut off, all at the same time, or {@link #NONE}
 * @param cutMode what happens to the couriers of that zone
 * @param cutRegion the region that is partitioned from the others and from the control machines, or {@link #NONE}
 * @param regionCutSeconds duration of that partition
 */
public record Disturbances(
        int restarts,
        double outageSeconds,
        double silentWatches,
        int cutZone,
        CutMode cutMode,
        int cutRegion,
        double regionCutSeconds) {
    /** No zone or no region. */
    public static final int NONE = -1;

    /** What happens to the couriers of the zone that is cut off. */
    public enum CutMode {
        /** Their processes are killed and restarted. */
        RESTART,
        /** Their watches are disconnected and reconnect. */
        RECONNECT,
        /** Their processes are killed and restarted with empty folders; their open messages go to other couriers. */
        REPLACE
    }

    /** Rejects invalid values. */
    public Disturbances {
        require(restarts >= 0, "the number of restarts must not be negative, but is " + restarts);
        require(outageSeconds >= 0, "the discovery outage must not be negative, but is " + outageSeconds + " s");
        require(
                silentWatches >= 0 && silentWatches <= 1,
                "the share of silent watches must lie between 0 and 1, not " + silentWatches);
        require(regionCutSeconds >= 0, "the region cut must not be negative, but is " + regionCutSeconds + " s");
    }

    static void require(final boolean condition, final String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
