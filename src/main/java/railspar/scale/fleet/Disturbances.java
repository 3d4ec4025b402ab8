package railspar.scale.fleet;

/**
 * What goes wrong during a run, besides destinations that are down.
 *
 * @param restarts couriers killed and started again during the run, one after another
 * @param outageSeconds how long discovery is silent, once
 * @param silentWatches share of the couriers whose watch falls silent, at one moment
 * @param cutZone the zone whose couriers are cut off at one moment, or {@link #NONE}
 * @param cutMode what happens to them
 * @param cutRegion the region that is cut off from the others and from control, or {@link #NONE}
 * @param regionCutSeconds for how long
 */
public record Disturbances(
        int restarts,
        double outageSeconds,
        double silentWatches,
        int cutZone,
        CutMode cutMode,
        int cutRegion,
        double regionCutSeconds) {
    /** No zone, or no region. */
    public static final int NONE = -1;

    /** What happens to the couriers of the zone that is cut off. */
    public enum CutMode {
        /** Their processes are killed and started again. */
        RESTART,
        /** Their watches break and are begun again. */
        RECONNECT,
        /** Their processes are killed and started again on empty folders; what they held is handed to others. */
        REPLACE
    }

    /** Refuses figures that contradict themselves. */
    public Disturbances {
        require(restarts >= 0, "restarts are not negative: " + restarts);
        require(outageSeconds >= 0, "an outage is not negative: " + outageSeconds);
        require(silentWatches >= 0 && silentWatches <= 1, "a share lies between 0 and 1, not " + silentWatches);
        require(regionCutSeconds >= 0, "a region is not cut off for " + regionCutSeconds + " s");
    }

    static void require(final boolean kept, final String problem) {
        if (!kept) {
            throw new IllegalArgumentException(problem);
        }
    }
}
