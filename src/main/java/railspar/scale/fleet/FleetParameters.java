package railspar.scale.fleet;

import static railspar.scale.fleet.Disturbances.NONE;
import static railspar.scale.fleet.Disturbances.require;

import railspar.scale.standin.FleetPlan;

/**
 * All parameters of a fleet run.
 *
 * @param plan the fleet, its list of endpoints, its zones and the seed
 * @param eventsPerSecond messages that clients send per second, over all couriers
 * @param changesPerDay changes of the endpoint list per day
 * @param seconds simulated time in which the list changes and faults are injected
 * @param settleSeconds simulated time before that, in which all couriers fetch their first list
 * @param disturbances the injected faults
 * @param backlogPerCourier open messages that a courier has at its first start
 * @param destinationsKept maximum number of idle destinations whose learned state a courier keeps
 * @param storedList true if a courier keeps a copy of its list on disk, which a restarted courier begins with
 * @param model the assumed properties of the couriers' surroundings
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
    /** Maximum share of the run that a region cut may take, so that the run covers the time after it. */
    private static final double MAX_REGION_CUT_SHARE = 0.5;

    /** Rejects invalid or inconsistent parameters. */
    public FleetParameters {
        require(eventsPerSecond >= 0, "the events per second must not be negative, but are " + eventsPerSecond);
        require(changesPerDay >= 0, "the changes per day must not be negative, but are " + changesPerDay);
        require(seconds >= 1, "a run must last at least one second, not " + seconds);
        require(settleSeconds >= 0, "the settling time must not be negative, but is " + settleSeconds + " s");
        require(
                model.callsPerSecond() > 0,
                "the limit of a destination must be above 0 calls per second, not " + model.callsPerSecond());
        require(
                disturbances.outageSeconds() <= seconds,
                "the discovery outage must not be longer than the run, but is " + disturbances.outageSeconds() + " s");
        require(
                disturbances.cutZone() >= NONE && disturbances.cutZone() < plan.zones(),
                "the zone must lie between 0 and " + (plan.zones() - 1) + ", not " + disturbances.cutZone());
        require(
                disturbances.cutRegion() >= NONE && disturbances.cutRegion() < plan.regions(),
                "the region must lie between 0 and " + (plan.regions() - 1) + ", not " + disturbances.cutRegion());
        require(
                disturbances.regionCutSeconds() <= MAX_REGION_CUT_SHARE * seconds,
                "the region cut must not be longer than half of the run, but is " + disturbances.regionCutSeconds()
                        + " s");
        require(
                destinationsKept >= 0,
                "the number of kept destinations must not be negative, but is " + destinationsKept);
        require(backlogPerCourier >= 0, "the backlog must not be negative, but is " + backlogPerCourier);
    }

    /** Messages that clients send to one courier per second. */
    double eventsPerSecondPerCourier() {
        return eventsPerSecond / plan.couriers();
    }
}
