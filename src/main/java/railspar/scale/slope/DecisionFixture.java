package railspar.scale.slope;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import railspar.Control;
import railspar.Courier;

/**
 * The decision module with an endpoint list of the target's proportions, on a clock that only the measurement
 * advances. This is the only place in this package that creates a {@link Control}.
 */
final class DecisionFixture {
    static final long SECOND_US = 1_000_000;
    /** The target: 76,500 endpoints for 45,000 destinations. */
    static final double ENDPOINTS_PER_DESTINATION = 1.7;

    /** Number of couriers of the target fleet. */
    static final int TARGET_COURIERS = 660;

    /** Above any measured size, so that no learned state is evicted for lack of space. */
    private static final int MAX_IDLE_DESTINATIONS = Integer.MAX_VALUE;

    private static final int SLOTS = 256;
    private static final long DAY_US = 24 * 3600 * SECOND_US;
    private static final long SEED = 7;
    /** Interval between checks whether a call may be started. */
    private static final long CHECK_INTERVAL_US = SECOND_US / 4;
    /** The duration reported for each call. */
    private static final long CALL_DURATION_US = SECOND_US / 50;

    private final CountingActions actions = new CountingActions();
    private final ListTable list;
    private final Control control;
    private final int destinations;
    private long nowUs = SECOND_US;
    private int accepted;

    /** Creates a module whose list has this many destinations, looked up in the courier's own endpoint table. */
    DecisionFixture(final int destinations) {
        this(destinations, TARGET_COURIERS);
    }

    /**
     * As above, in a fleet of this many couriers. The fewer couriers there are, the more often each of them probes a
     * destination that is down.
     */
    DecisionFixture(final int destinations, final int couriers) {
        this.destinations = destinations;
        this.list = ListTable.of(destinations);
        this.control = new Control(settings(couriers), SEED, actions, list, MAX_IDLE_DESTINATIONS);
        announceWholeList();
        control.decide(nowUs);
    }

    /** Reports a retry-after of a day from every endpoint, so that messages for it stay queued. */
    void pauseAllDestinations() {
        for (int destination = 0; destination < destinations; destination++) {
            list.endpointsOf(destination).forEach(endpoint -> control.onRetryAfter(nowUs, endpoint.id(), DAY_US));
        }
    }

    /** Accepts this many messages, spread evenly over the first {@code destinations} destinations. */
    void accept(final int messages, final int destinations) {
        for (int index = 0; index < messages; index++) {
            final String id = String.format("%016x", ++accepted);
            control.onMessage(nowUs, new Courier.Message(id, 0, -1, null, nowUs + DAY_US, index % destinations));
        }
        control.decide(nowUs);
    }

    /**
     * Advances the clock until a call is in flight and completes the oldest one with this result. Accepts a new message
     * for each one that has ended.
     */
    void completeOneCall(final Courier.Result result) {
        while (actions.inFlight.isEmpty()) {
            nowUs += CHECK_INTERVAL_US;
            control.decide(nowUs);
        }
        final CountingActions.Call call = actions.inFlight.remove();
        final boolean delivered = result == Courier.Result.DELIVERED;
        actions.ended += delivered ? 1 : 0;
        control.onOutcome(
                nowUs,
                new Courier.Outcome(call.messageId(), result, delivered, call.endpoint(), CALL_DURATION_US, 0, null));
        accept(actions.takeEndedCount(), 1);
    }

    /** Runs the decisions a microsecond later, when nothing has become due. */
    void decideMicrosecondLater() {
        control.decide(++nowUs);
    }

    /** Runs the decisions a second later, when the periodic step of each route is due. */
    void decideSecondLater() {
        nowUs += SECOND_US;
        control.decide(nowUs);
    }

    /** Announces a whole list, as after a broken watch. The decision module looks up the entries that it needs. */
    void announceWholeList() {
        control.onListUpdate(nowUs, Courier.ListUpdate.FULL, List.of());
    }

    /** Announces one entry, as an ordinary change does. */
    void announceOneChange() {
        control.onListUpdate(
                nowUs, Courier.ListUpdate.INCREMENTAL, list.endpointsOf(0).subList(0, 1));
    }

    /** Counts the endpoints that receive no calls, as the courier's metrics do ten times a second. */
    int countAvoided() {
        return control.avoidedEndpoints(nowUs);
    }

    /** Reads the snapshot of each endpoint, as a handover does; returns the number of values in all of them. */
    int readAllSnapshots() {
        int values = 0;
        for (int destination = 0; destination < destinations; destination++) {
            for (final Courier.Endpoint endpoint : list.endpointsOf(destination)) {
                values += control.snapshot(nowUs, endpoint.id()).values().size();
            }
        }
        return values;
    }

    /** The number of accepted messages that have not ended. */
    int openMessages() {
        return accepted - actions.totalEnded;
    }

    /** The number of calls that the module has requested so far. */
    int callCount() {
        return actions.callCount;
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

    /** Performs no action and counts the requested calls. */
    private static final class CountingActions implements Courier.Actions {
        private record Call(String messageId, long endpoint) {}

        private final Queue<Call> inFlight = new ArrayDeque<>();
        private int callCount, ended, totalEnded;

        /** Returns the number of messages that have ended since the previous call of this method. */
        private int takeEndedCount() {
            final int newlyEnded = ended;
            totalEnded += newlyEnded;
            ended = 0;
            return newlyEnded;
        }

        @Override
        public void send(final String messageId, final long endpoint, final long timeoutUs) {
            callCount++;
            inFlight.add(new Call(messageId, endpoint));
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
