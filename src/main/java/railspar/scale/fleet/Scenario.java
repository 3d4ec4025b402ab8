package railspar.scale.fleet;

import java.util.List;
import java.util.Random;

/** Schedules the events of a run: list changes and restarts throughout, each of the other disturbances once. */
final class Scenario {
    /** Times of the disturbances as shares of the run; restarts are distributed between their two times. */
    private static final double RESTARTS_BEGIN = 0.2;

    private static final double RESTARTS_END = 0.9;
    private static final double OUTAGE_BEGIN = 0.35;
    private static final double SILENT_WATCHES_BEGIN = 0.55;
    private static final double ZONE_CUT_BEGIN = 0.7;
    private static final double PARTITION_BEGIN = 0.25;

    private final FleetParameters parameters;
    private final EventQueue events;
    private final Discovery discovery;
    private final NetworkPartition partition;
    private final List<SimulatedCourier> couriers;
    private final long startUs;
    private final long durationUs;
    private final Random random;

    Scenario(
            final FleetParameters parameters,
            final EventQueue events,
            final Discovery discovery,
            final NetworkPartition partition,
            final List<SimulatedCourier> couriers,
            final long startUs) {
        this.parameters = parameters;
        this.events = events;
        this.discovery = discovery;
        this.partition = partition;
        this.couriers = couriers;
        this.startUs = startUs;
        this.durationUs = Units.fromSeconds(parameters.seconds());
        this.random = new Random(Seeds.of(parameters.plan().seed(), Seeds.SCENARIO, 1));
    }

    void schedule() {
        scheduleChanges();
        scheduleRestarts();
        scheduleOutage();
        scheduleSilentWatches();
        scheduleZoneCut();
        schedulePartition();
    }

    private void at(final double share, final Runnable action) {
        events.at(startUs + (long) (share * durationUs), action);
    }

    private void scheduleChanges() {
        final long count = Math.round(parameters.changesPerDay() * parameters.seconds() / Units.SECONDS_PER_DAY);
        for (long number = 0; number < count; number++) {
            at((number + random.nextDouble()) / count, this::change);
        }
    }

    private void change() {
        discovery.changeRandomEndpoint(events.nowUs());
        notifyWatches();
    }

    private void notifyWatches() {
        couriers.forEach(courier ->
                courier.scheduleAt(events.nowUs(), () -> courier.watch().onNewVersion()));
    }

    private void scheduleRestarts() {
        for (int number = 0; number < parameters.disturbances().restarts(); number++) {
            final double position =
                    (number + random.nextDouble()) / parameters.disturbances().restarts();
            final SimulatedCourier courier = couriers.get(random.nextInt(couriers.size()));
            at(RESTARTS_BEGIN + (RESTARTS_END - RESTARTS_BEGIN) * position, () -> restart(courier));
        }
    }

    private void restart(final SimulatedCourier courier) {
        courier.scheduleAt(events.nowUs(), courier::restart);
    }

    private void scheduleOutage() {
        if (parameters.disturbances().outageSeconds() > 0) {
            at(OUTAGE_BEGIN, () -> {
                discovery.setSilent(true);
                events.after(Units.fromSeconds(parameters.disturbances().outageSeconds()), this::endOutage);
            });
        }
    }

    private void endOutage() {
        discovery.setSilent(false);
        notifyWatches();
    }

    private void scheduleSilentWatches() {
        final int silent = (int) Math.round(parameters.disturbances().silentWatches() * couriers.size());
        at(
                SILENT_WATCHES_BEGIN,
                () -> couriers.subList(0, silent)
                        .forEach(courier -> courier.scheduleAt(
                                events.nowUs(), () -> courier.watch().fallSilent())));
    }

    private void scheduleZoneCut() {
        if (parameters.disturbances().cutZone() != Disturbances.NONE) {
            at(
                    ZONE_CUT_BEGIN,
                    () -> couriers.stream()
                            .filter(courier ->
                                    courier.zone() == parameters.disturbances().cutZone())
                            .forEach(this::applyZoneCut));
        }
    }

    private void schedulePartition() {
        if (parameters.disturbances().cutRegion() != Disturbances.NONE) {
            at(PARTITION_BEGIN, () -> {
                partition.begin();
                events.after(Units.fromSeconds(parameters.disturbances().regionCutSeconds()), this::endPartition);
            });
        }
    }

    private void endPartition() {
        final List<SimulatedCourier> cutOff = couriers.stream()
                .filter(courier -> partition.isCutOffFromControl(courier.zoneName()))
                .toList();
        partition.end();
        cutOff.forEach(courier -> courier.scheduleAt(events.nowUs(), courier::onControlReachable));
    }

    private void applyZoneCut(final SimulatedCourier courier) {
        final Runnable action =
                switch (parameters.disturbances().cutMode()) {
                    case RESTART -> courier::restart;
                    case RECONNECT -> () -> courier.watch().reconnect();
                    case REPLACE -> courier::replaceWithEmptyFolder;
                };
        courier.scheduleAt(events.nowUs(), action);
    }
}
