package railspar.scale.fleet;

import java.util.List;
import railspar.Courier;
import railspar.scale.standin.FleetPlan;

/** The settings of a hollow courier: three classes of message, one kind of destination. */
final class CourierSettings {
    /** The place of the plan's one kind of endpoint. */
    static final int KIND_INDEX = 0;
    /** Slots and store of a courier; a backlog needs room beside what is handed in. */
    private static final int SLOTS = 64;

    private static final int OPEN_MESSAGES = 4_000;
    private static final int MOST_ATTEMPTS = 8;
    private static final long MUST_ASK_US = Units.us(10);
    private static final long IDLE_CLOSE_US = Units.us(15);
    private static final long MOST_RETRY_AFTER_US = Units.us(3);
    private static final long KEY_WINDOW_US = Units.us(6);

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
                        MUST_ASK_US, model.coldFrom(), Units.us(model.coldSeconds()), model.tipMultiple(), 0),
                new Courier.Limits(
                        SLOTS,
                        OPEN_MESSAGES + 2 * parameters.backlogPerCourier(),
                        MOST_ATTEMPTS,
                        true,
                        IDLE_CLOSE_US,
                        1,
                        MOST_RETRY_AFTER_US));
    }

    private static List<Courier.MessageClass> classes() {
        return List.of(
                new Courier.MessageClass(
                        "repeatable", Courier.Effect.SAFE, false, false, 1, 0, Units.us(1), Units.us(8), 0),
                new Courier.MessageClass(
                        "keyed", Courier.Effect.KEYED, false, false, 1, 0.2, Units.us(2), Units.us(16), KEY_WINDOW_US),
                new Courier.MessageClass(
                        "once", Courier.Effect.UNSAFE, false, false, 2, 0.4, Units.us(2), Units.us(28), 0));
    }
}
