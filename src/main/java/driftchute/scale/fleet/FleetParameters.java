package driftchute.scale.fleet;

import driftchute.scale.standin.FleetPlan;

/**
 * Everything that decides how a fleet run goes.
 *
 * @param plan the fleet, its list of endpoints, its zones and the seed
 * @param eventsPerSecond messages handed in a second, over all couriers
 * @param changesPerDay changes of the list a day
 * @param seconds simulated time in which messages are handed in
 * @param restarts couriers killed and started again during the run, one after another
 * @param outageSeconds how long discovery is silent, once
 * @param silentWatches share of the couriers whose watch falls silent, at one moment
 * @param cutZone the zone whose couriers are cut off at one moment, or {@link #NO_ZONE}
 * @param cutMode what happens to them
 * @param backlogPerCourier messages that a courier holds from earlier when it first starts
 * @param destinationsKept destinations at rest of which a courier keeps what it has learned, at most
 * @param storedList true if a courier keeps a copy of its list on disk, which a restarted one begins with
 * @param model figures assumed of what surrounds the couriers
 */
public record FleetParameters(
        FleetPlan plan,
        double eventsPerSecond,
        double changesPerDay,
        int seconds,
        int restarts,
        double outageSeconds,
        double silentWatches,
        int cutZone,
        CutMode cutMode,
        int backlogPerCourier,
        int destinationsKept,
        boolean storedList,
        SurroundingsModel model) {
    /** No zone is cut off. */
    public static final int NO_ZONE = -1;

    /** What happens to the couriers of the zone that is cut off. */
    public enum CutMode {
        /** Their processes are killed and started again. */
        RESTART,
        /** Their watches break and are begun again. */
        RECONNECT
    }

    /** Refuses parameters that contradict themselves. */
    public FleetParameters {
        require(eventsPerSecond >= 0, "events a second are not negative: " + eventsPerSecond);
        require(changesPerDay >= 0, "changes a day are not negative: " + changesPerDay);
        require(seconds >= 1, "a run lasts at least one second, not " + seconds);
        require(model.callsPerSecond() > 0, "a destination bears some calls, not " + model.callsPerSecond());
        require(restarts >= 0, "restarts are not negative: " + restarts);
        require(outageSeconds >= 0, "an outage is not negative: " + outageSeconds);
        require(outageSeconds <= seconds, "an outage is not longer than the run: " + outageSeconds);
        require(silentWatches >= 0 && silentWatches <= 1, "a share lies between 0 and 1, not " + silentWatches);
        require(
                cutZone >= NO_ZONE && cutZone < plan.zones(),
                "the zones are 0 to " + (plan.zones() - 1) + ", not " + cutZone);
        require(destinationsKept >= 0, "destinations kept are not negative: " + destinationsKept);
        require(backlogPerCourier >= 0, "a backlog is not negative: " + backlogPerCourier);
    }

    private static void require(final boolean kept, final String problem) {
        if (!kept) {
            throw new IllegalArgumentException(problem);
        }
    }

    /** Messages handed in a second at one courier. */
    double eventsPerSecondAndCourier() {
        return eventsPerSecond / plan.couriers();
    }
}
