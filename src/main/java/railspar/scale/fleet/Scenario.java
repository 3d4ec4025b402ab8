package railspar.scale.fleet;

import java.util.List;
import java.util.Random;

/** What happens around the couriers, and when: changes and restarts all along, each of the disturbances once. */
final class Scenario {
    /** Parts of the run, as shares of its length: restarts lie between two of them, the rest begins at one. */
    private static final double RESTARTS_FROM = 0.2;

    private static final double RESTARTS_TO = 0.9;
    private static final double OUTAGE_AT = 0.35;
    private static final double SILENT_WATCHES_AT = 0.55;
    private static final double ZONE_CUT_AT = 0.7;
    private static final double REGION_CUT_AT = 0.25;

    private final FleetParameters parameters;
    private final EventQueue events;
    private final Discovery discovery;
    private final RegionCut regionCut;
    private final List<HollowCourier> couriers;
    private final long startUs;
    private final long lengthUs;
    private final Random random;

    Scenario(
            final FleetParameters parameters,
            final EventQueue events,
            final Discovery discovery,
            final RegionCut regionCut,
            final List<HollowCourier> couriers,
            final long startUs) {
        this.parameters = parameters;
        this.events = events;
        this.discovery = discovery;
        this.regionCut = regionCut;
        this.couriers = couriers;
        this.startUs = startUs;
        this.lengthUs = Units.us(parameters.seconds());
        this.random = new Random(Seeds.of(parameters.plan().seed(), Seeds.SCENARIO, 1));
    }

    void schedule() {
        scheduleChanges();
        scheduleRestarts();
        scheduleOutage();
        scheduleSilentWatches();
        scheduleZoneCut();
        scheduleRegionCut();
    }

    private void at(final double share, final Runnable action) {
        events.at(startUs + (long) (share * lengthUs), action);
    }

    private void scheduleChanges() {
        final long count = Math.round(parameters.changesPerDay() * parameters.seconds() / Units.SECONDS_PER_DAY);
        for (long number = 0; number < count; number++) {
            at((number + random.nextDouble()) / count, this::change);
        }
    }

    private void change() {
        discovery.changeOne(events.nowUs());
        tellNews();
    }

    private void tellNews() {
        couriers.forEach(
                courier -> courier.at(events.nowUs(), () -> courier.watch().news()));
    }

    private void scheduleRestarts() {
        for (int number = 0; number < parameters.disturbances().restarts(); number++) {
            final double part =
                    (number + random.nextDouble()) / parameters.disturbances().restarts();
            final HollowCourier courier = couriers.get(random.nextInt(couriers.size()));
            at(RESTARTS_FROM + (RESTARTS_TO - RESTARTS_FROM) * part, () -> restart(courier));
        }
    }

    private void restart(final HollowCourier courier) {
        courier.at(events.nowUs(), courier::restart);
    }

    private void scheduleOutage() {
        if (parameters.disturbances().outageSeconds() > 0) {
            at(OUTAGE_AT, () -> {
                discovery.silence(true);
                events.after(Units.us(parameters.disturbances().outageSeconds()), this::endOutage);
            });
        }
    }

    private void endOutage() {
        discovery.silence(false);
        tellNews();
    }

    private void scheduleSilentWatches() {
        final int silent = (int) Math.round(parameters.disturbances().silentWatches() * couriers.size());
        at(
                SILENT_WATCHES_AT,
                () -> couriers.subList(0, silent)
                        .forEach(courier ->
                                courier.at(events.nowUs(), () -> courier.watch().fallSilent())));
    }

    private void scheduleZoneCut() {
        if (parameters.disturbances().cutZone() != Disturbances.NONE) {
            at(
                    ZONE_CUT_AT,
                    () -> couriers.stream()
                            .filter(courier ->
                                    courier.zone() == parameters.disturbances().cutZone())
                            .forEach(this::cut));
        }
    }

    private void scheduleRegionCut() {
        if (parameters.disturbances().cutRegion() != Disturbances.NONE) {
            at(REGION_CUT_AT, () -> {
                regionCut.begin();
                events.after(Units.us(parameters.disturbances().regionCutSeconds()), this::endRegionCut);
            });
        }
    }

    private void endRegionCut() {
        final List<HollowCourier> cutOff = couriers.stream()
                .filter(courier -> regionCut.cutsOffControl(courier.zoneName()))
                .toList();
        regionCut.end();
        cutOff.forEach(courier -> courier.at(events.nowUs(), courier::controlReachable));
    }

    private void cut(final HollowCourier courier) {
        final Runnable action =
                switch (parameters.disturbances().cutMode()) {
                    case RESTART -> courier::restart;
                    case RECONNECT -> () -> courier.watch().breakOff();
                    case REPLACE -> courier::replace;
                };
        courier.at(events.nowUs(), action);
    }
}
