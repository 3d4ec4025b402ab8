package railspar.scale.slope;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import railspar.Control;
import railspar.Courier;

/**
 * The decision module with a list of the target's shape, on a clock that only the measurement moves. This is the one
 * place that makes a {@link Control}.
 */
final class DecisionFixture {
    static final long SECOND_US = 1_000_000;
    /** The target: 76,500 endpoints for 45,000 destinations. */
    static final double ENDPOINTS_PER_DESTINATION = 1.7;

    /** Couriers of the target. */
    static final int TARGET_COURIERS = 660;

    /** More than any size measured: nothing that was learned is forgotten for want of room. */
    private static final int DESTINATIONS_AT_REST = Integer.MAX_VALUE;

    private static final int SLOTS = 256;
    private static final long DAY_US = 24 * 3600 * SECOND_US;
    private static final long SEED = 7;
    /** How often it is looked whether a call may be made. */
    private static final long LOOK_US = SECOND_US / 4;
    /** How long a call took, as it is told. */
    private static final long CALL_US = SECOND_US / 50;

    private final CountingActions actions = new CountingActions();
    private final ListTable list;
    private final Control control;
    private final int destinations;
    private long nowUs = SECOND_US;
    private int taken;

    /** With so many destinations in its list, which it looks up in the courier's own table. */
    DecisionFixture(final int destinations) {
        this(destinations, TARGET_COURIERS);
    }

    /** The same in a fleet of so many couriers: of few, each tries a destination that is down more often. */
    DecisionFixture(final int destinations, final int couriers) {
        this.destinations = destinations;
        this.list = ListTable.of(destinations);
        this.control = new Control(settings(couriers), SEED, actions, list, DESTINATIONS_AT_REST);
        tellWholeList();
        control.decide(nowUs);
    }

    /** Every destination tells a wait of a day, so that what is taken for it stays waiting. */
    void closeAll() {
        for (int destination = 0; destination < destinations; destination++) {
            list.endpointsOf(destination).forEach(endpoint -> control.onRetryAfter(nowUs, endpoint.id(), DAY_US));
        }
    }

    /** Takes so many messages, spread evenly over the first destinations. */
    void take(final int messages, final int destinations) {
        for (int index = 0; index < messages; index++) {
            final String id = String.format("%016x", ++taken);
            control.onMessage(nowUs, new Courier.Message(id, 0, -1, null, nowUs + DAY_US, index % destinations));
        }
        control.decide(nowUs);
    }

    /** Lets time pass until a call is made, and ends the oldest one that is out; what has ended is taken anew. */
    void endOneCall(final Courier.Result result) {
        while (actions.out.isEmpty()) {
            nowUs += LOOK_US;
            control.decide(nowUs);
        }
        final CountingActions.Call call = actions.out.remove();
        final boolean delivered = result == Courier.Result.DELIVERED;
        actions.ended += delivered ? 1 : 0;
        control.onOutcome(
                nowUs, new Courier.Outcome(call.messageId(), result, delivered, call.endpoint(), CALL_US, 0, null));
        take(actions.takeEnded(), 1);
    }

    /** Decides a microsecond later, when nothing has become due. */
    void decideSoon() {
        control.decide(++nowUs);
    }

    /** Decides a second later, when each lane's step is due. */
    void decideNextSecond() {
        nowUs += SECOND_US;
        control.decide(nowUs);
    }

    /** Tells that there is a whole list, as after a broken watch; the decisions look up what they need of it. */
    void tellWholeList() {
        control.onListUpdate(nowUs, Courier.ListUpdate.FULL, List.of());
    }

    /** Tells one entry, as an ordinary change does. */
    void tellOneChange() {
        control.onListUpdate(
                nowUs, Courier.ListUpdate.INCREMENTAL, list.endpointsOf(0).subList(0, 1));
    }

    /** Counts the endpoints that get nothing, as the courier's figures do ten times a second. */
    int countAvoided() {
        return control.avoidedEndpoints(nowUs);
    }

    /**
     * Reads how each endpoint stands, as a process does that hands over to another; the result counts the figures.
     */
    int readAllStandings() {
        int figures = 0;
        for (int destination = 0; destination < destinations; destination++) {
            for (final Courier.Endpoint endpoint : list.endpointsOf(destination)) {
                figures += control.snapshot(nowUs, endpoint.id()).values().size();
            }
        }
        return figures;
    }

    /** Messages that have been taken and have not ended. */
    int waitingOrOut() {
        return taken - actions.endedInAll;
    }

    /** Calls that the module has asked for so far. */
    int sent() {
        return actions.sent;
    }

    private static Courier.Settings settings(final int couriers) {
        final var notice =
                new Courier.MessageClass("notice", Courier.Effect.SAFE, false, false, 1, 0, SECOND_US, DAY_US, 0);
        return new Courier.Settings(
                couriers,
                ListSample.zone(0),
                false,
                Courier.WeightMeaning.ROUGH,
                Courier.ValueDecay.LINEAR,
                List.of(notice),
                List.of(),
                List.of(new Courier.DestinationKind(ListSample.KIND, false, 1)),
                new Courier.RuleParameters(10 * SECOND_US, 0.2, 13 * SECOND_US, 2.5, 0),
                new Courier.Limits(SLOTS, Integer.MAX_VALUE, 8, true, 15 * SECOND_US, 1, 3 * SECOND_US));
    }

    /** Carries nothing out, and counts the calls asked for. */
    private static final class CountingActions implements Courier.Actions {
        private record Call(String messageId, long endpoint) {}

        private final Queue<Call> out = new ArrayDeque<>();
        private int sent, ended, endedInAll;

        /** How many messages have ended since this was last asked. */
        private int takeEnded() {
            final int taken = ended;
            endedInAll += taken;
            ended = 0;
            return taken;
        }

        @Override
        public void send(final String messageId, final long endpoint, final long timeoutUs) {
            sent++;
            out.add(new Call(messageId, endpoint));
        }

        @Override
        public void refuse(final String messageId, final long retryAfterUs) {
            ended++;
        }

        @Override
        public void fail(final String messageId) {
            ended++;
        }

        @Override
        public void cancel(final String messageId, final int attempt) {}

        @Override
        public void closeIdleConnections(final long endpoint) {}

        @Override
        public void subscribeToList() {}

        @Override
        public void wakeAfter(final long delayUs) {}
    }
}
