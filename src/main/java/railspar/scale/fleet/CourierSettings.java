package railspar.scale.fleet;

import java.util.List;
import railspar.Courier;
import railspar.scale.standin.FleetPlan;

/** The settings of a simulated courier: three message classes and one kind of destination. */
final class CourierSettings {
    /** Index of the only endpoint kind of the plan. */
    static final int ENDPOINT_KIND_INDEX = 0;

    private static final int MAX_CALLS = 64;

    /** Maximum number of open messages without a backlog, which gets room for twice its size in addition. */
    private static final int MAX_OPEN_MESSAGES = 4_000;

    private static final int MAX_ATTEMPTS = 8;
    private static final long LIST_REQUEST_DEADLINE_US = Units.fromSeconds(10);
    private static final long IDLE_TIMEOUT_US = Units.fromSeconds(15);
    private static final long MAX_RETRY_AFTER_US = Units.fromSeconds(3);
    private static final long DEDUP_WINDOW_US = Units.fromSeconds(6);

    private CourierSettings() {}

    static Courier.Settings of(final FleetParameters parameters, final String zone) {
        final SurroundingsModel model = parameters.model();
        return new Courier.Settings(
                parameters.plan().couriers(),
                zone,
                false,
                Courier.WeightMeaning.ROUGH,
                Courier.ValueDecay.LINEAR,
                classes(),
                List.of(),
                List.of(new Courier.DestinationKind(FleetPlan.KIND, false, 1)),
                new Courier.RuleParameters(
                        LIST_REQUEST_DEADLINE_US,
                        model.coldFrom(),
                        Units.fromSeconds(model.coldSeconds()),
                        model.tipMultiple(),
                        0),
                new Courier.Limits(
                        MAX_CALLS,
                        MAX_OPEN_MESSAGES + 2 * parameters.backlogPerCourier(),
                        MAX_ATTEMPTS,
                        true,
                        IDLE_TIMEOUT_US,
                        1,
                        MAX_RETRY_AFTER_US));
    }

    private static List<Courier.MessageClass> classes() {
        return List.of(
                new Courier.MessageClass(
                        "repeatable",
                        Courier.Effect.SAFE,
                        false,
                        false,
                        1,
                        0,
                        Units.fromSeconds(1),
                        Units.fromSeconds(8),
                        0),
                new Courier.MessageClass(
                        "keyed",
                        Courier.Effect.KEYED,
                        false,
                        false,
                        1,
                        0.2,
                        Units.fromSeconds(2),
                        Units.fromSeconds(16),
                        DEDUP_WINDOW_US),
                new Courier.MessageClass(
                        "once",
                        Courier.Effect.UNSAFE,
                        false,
                        false,
                        2,
                        0.4,
                        Units.fromSeconds(2),
                        Units.fromSeconds(28),
                        0));
    }
}
