package railspar.scale.fleet;

import static railspar.scale.fleet.Disturbances.NONE;
import static railspar.scale.fleet.Disturbances.require;

import railspar.scale.standin.FleetPlan;

/**
 * Everything that decides how a fleet run goes.
 *
 * @param plan the fleet, its list of endpoints, its zones and the seed
 * @param eventsPerSecond messages handed in a second, over all couriers
 * @param changesPerDay changes of the list a day
 * @param seconds simulated time in which the list changes and things go wrong
 * @param settleSeconds simulated time before that, in which all couriers fetch their first list
 * @param disturbances what goes wrong
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
        double settleSeconds,
        Disturbances disturbances,
        int backlogPerCourier,
        int destinationsKept,
        boolean storedList,
        SurroundingsModel model) {
    /** The share of the run that a cut of a region may take, so that its end is seen. */
    private static final double MOST_REGION_CUT = 0.5;

    /** Refuses parameters that contradict themselves. */
    public FleetParameters {
        require(eventsPerSecond >= 0, "events a second are not negative: " + eventsPerSecond);
        require(changesPerDay >= 0, "changes a day are not negative: " + changesPerDay);
        require(seconds >= 1, "a run lasts at least one second, not " + seconds);
        require(settleSeconds >= 0, "the time before it is not negative: " + settleSeconds);
        require(model.callsPerSecond() > 0, "a destination bears some calls, not " + model.callsPerSecond());
        require(
                disturbances.outageSeconds() <= seconds,
                "an outage is not longer than the run: " + disturbances.outageSeconds());
        require(
                disturbances.cutZone() >= NONE && disturbances.cutZone() < plan.zones(),
                "the zones are 0 to " + (plan.zones() - 1) + ", not " + disturbances.cutZone());
        require(
                disturbances.cutRegion() >= NONE && disturbances.cutRegion() < plan.regions(),
                "the regions are 0 to " + (plan.regions() - 1) + ", not " + disturbances.cutRegion());
        require(
                disturbances.regionCutSeconds() <= MOST_REGION_CUT * seconds,
                "a region is cut off for half of the run at most, not " + disturbances.regionCutSeconds() + " s");
        require(destinationsKept >= 0, "destinations kept are not negative: " + destinationsKept);
        require(backlogPerCourier >= 0, "a backlog is not negative: " + backlogPerCourier);
    }

    /** Messages handed in a second at one courier. */
    double eventsPerSecondAndCourier() {
        return eventsPerSecond / plan.couriers();
    }
}
