package driftchute.scale.slope;

import driftchute.Control;
import driftchute.Courier;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The decision module with a list of the target's shape, on a clock that only the measurement moves. This is the one
 * place that makes a {@link Control}.
 */
final class DecisionFixture {
    static final long SECOND_US = 1_000_000;
    /** The target: 76,500 endpoints for 45,000 destinations. */
    static final double ENDPOINTS_PER_DESTINATION = 1.7;

    private static final int COURIERS = 660;
    /** Shared by all endpoints, so that only the module's own state is counted. */
    private static final List<String> ZONE_NAMES =
            IntStream.range(0, 9).mapToObj(zone -> "zone-" + zone).toList();

    private static final int SLOTS = 256;
    private static final long DAY_US = 24 * 3600 * SECOND_US;
    private static final long SEED = 7;

    private final CountingActions actions = new CountingActions();
    private final Control control = new Control(settings(), SEED, actions);
    private final List<Courier.Endpoint> endpoints;
    private long nowUs = SECOND_US;
    private int taken;

    /** With so many destinations in its list. */
    DecisionFixture(final int destinations) {
        endpoints = endpoints(destinations);
        control.onList(nowUs, Courier.Update.WHOLE, endpoints);
        control.decide(nowUs);
    }

    /** All endpoints of a list of so many destinations; the share of endpoints to destinations is the target's. */
    static List<Courier.Endpoint> endpoints(final int destinations) {
        final int count = (int) Math.round(ENDPOINTS_PER_DESTINATION * destinations);
        final List<Courier.Endpoint> endpoints = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            endpoints.add(new Courier.Endpoint(
                    index + 1,
                    Courier.Condition.LISTED,
                    ZONE_NAMES.get(index % ZONE_NAMES.size()),
                    1,
                    0,
                    index % destinations));
        }
        return endpoints;
    }

    /** Every destination tells a wait of a day, so that what is taken for it stays waiting. */
    void closeAll() {
        for (final Courier.Endpoint endpoint : endpoints) {
            control.onWait(nowUs, endpoint.id(), DAY_US);
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

    /** Decides a microsecond later, when nothing has become due. */
    void decideSoon() {
        control.decide(++nowUs);
    }

    /** Decides a second later, when each lane's step is due. */
    void decideNextSecond() {
        nowUs += SECOND_US;
        control.decide(nowUs);
    }

    /** Tells the whole list again, unchanged, as after a broken watch. */
    void tellWholeListAgain() {
        control.onList(nowUs, Courier.Update.WHOLE, endpoints);
    }

    /** Tells one entry, as an ordinary change does. */
    void tellOneChange() {
        control.onList(nowUs, Courier.Update.CHANGES, endpoints.subList(0, 1));
    }

    /** Counts the endpoints that get nothing, as the courier's figures do ten times a second. */
    int countAvoided() {
        return control.avoided(nowUs);
    }

    /** Reads how each endpoint stands, as a process does that hands over to another; the result counts the figures. */
    int readAllStandings() {
        int figures = 0;
        for (final Courier.Endpoint endpoint : endpoints) {
            figures += control.standing(nowUs, endpoint.id()).figures().size();
        }
        return figures;
    }

    /** Calls that the module has asked for so far. */
    int sent() {
        return actions.sent;
    }

    private static Courier.Settings settings() {
        final var notice =
                new Courier.MessageClass("notice", Courier.Effect.SAFE, false, false, 1, 0, SECOND_US, DAY_US, 0);
        return new Courier.Settings(
                COURIERS,
                ZONE_NAMES.get(0),
                false,
                Courier.Weights.ROUGH,
                Courier.Fade.LINEAR,
                List.of(notice),
                List.of(),
                List.of(new Courier.Kind("m2", false, 1)),
                new Courier.Guarantees(10 * SECOND_US, 0.2, 13 * SECOND_US, 2.5, 0),
                new Courier.Limits(SLOTS, Integer.MAX_VALUE, 8, true, 15 * SECOND_US, 1, 3 * SECOND_US));
    }

    /** Carries nothing out, and counts the calls asked for. */
    private static final class CountingActions implements Courier.Actions {
        private int sent;

        @Override
        public void send(final String messageId, final long endpoint, final long timeoutUs) {
            sent++;
        }

        @Override
        public void refuse(final String messageId, final long retryAfterUs) {}

        @Override
        public void fail(final String messageId) {}

        @Override
        public void cancel(final String messageId, final int attempt) {}

        @Override
        public void closeIdle(final long endpoint) {}

        @Override
        public void follow() {}

        @Override
        public void wake(final long delayUs) {}
    }
}
