package railspar;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A courier for tests: with a clock that the test advances, recorded actions, and short methods for the events. */
final class ControlFixture implements Courier.Actions {
    static final long MS = 1000;
    static final long SECOND = 1_000_000;
    static final long DEST = 57;

    /** A send that was recorded. */
    record Sent(String id, long endpoint, long timeoutUs, long atUs) {}

    final List<Sent> sent = new ArrayList<>();
    final List<String> refused = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<Long> idleClosed = new ArrayList<>();
    int listRequests;
    final Control control;
    long nowUs = 5 * SECOND;
    private final List<Long> wakeTimesUs = new ArrayList<>();
    private final Map<String, Integer> outcomes = new LinkedHashMap<>();

    ControlFixture(final Courier.Settings settings) {
        this(settings, 42);
    }

    ControlFixture(final Courier.Settings settings, final long seed) {
        this.control = new Control(settings, seed, this);
    }

    /** A courier that keeps the state of at most so many idle destinations. */
    static ControlFixture withMaxIdleDestinations(final Courier.Settings settings, final int maxIdleDestinations) {
        return new ControlFixture(settings, 42, maxIdleDestinations);
    }

    private ControlFixture(final Courier.Settings settings, final long seed, final int maxIdleDestinations) {
        this.control = new Control(settings, seed, this, new EndpointMap(), maxIdleDestinations);
    }

    /** Well-mixed seeds for a fleet: generators with neighbouring seeds start alike. */
    static long seed(final int courier) {
        return (courier + 1) * 0x9E3779B97F4A7C15L;
    }

    /** Two endpoints of one destination, listed from the start. */
    static ControlFixture withTwoEndpoints(final Courier.Settings settings) {
        final ControlFixture fixture = new ControlFixture(settings);
        fixture.updateList(Courier.ListUpdate.CACHED, endpoint(1, DEST, "a"), endpoint(2, DEST, "b"));
        return fixture;
    }

    static Courier.Endpoint endpoint(final long id, final long destination, final String zone) {
        return new Courier.Endpoint(id, Courier.Condition.LISTED, zone, 1, 0, destination);
    }

    static Courier.Endpoint endpointIn(final Courier.Condition condition, final long id) {
        return new Courier.Endpoint(id, condition, "a", 1, 0, DEST);
    }

    /** Settings with all classes of the tests: 0 safe, 1 keyed, 2 unsafe, 3 safe and ordered, 4 keyed per zone. */
    static Courier.Settings settings(
            final int slots, final int messagesPerCall, final boolean separateRoutes, final boolean listOnRequest) {
        final List<Courier.MessageClass> classes = List.of(
                messageClass("safe", Courier.Effect.SAFE, false, false, 2),
                messageClass("keyed", Courier.Effect.KEYED, false, false, 1),
                messageClass("unsafe", Courier.Effect.UNSAFE, false, false, 1),
                messageClass("turn", Courier.Effect.SAFE, false, true, 1),
                messageClass("zoned", Courier.Effect.KEYED, true, false, 1));
        return settings(slots, messagesPerCall, separateRoutes, listOnRequest, Courier.WeightMeaning.NONE, classes);
    }

    private static Courier.Settings settings(
            final int slots,
            final int messagesPerCall,
            final boolean separateRoutes,
            final boolean listOnRequest,
            final Courier.WeightMeaning weightMeaning,
            final List<Courier.MessageClass> classes) {
        return new Courier.Settings(
                2,
                "a",
                listOnRequest,
                weightMeaning,
                Courier.ValueDecay.LINEAR,
                classes,
                List.of(),
                List.of(new Courier.DestinationKind("std", separateRoutes, messagesPerCall)),
                new Courier.RuleParameters(10 * SECOND, 0.2, 10 * SECOND, 2, 3 * SECOND),
                new Courier.Limits(slots, 40, 8, true, 10 * SECOND, 1, 2 * SECOND));
    }

    /** As {@link #settings()}, with exact limits in the list. */
    static Courier.Settings withNominalLimit() {
        return settings(
                16, 1, false, false, Courier.WeightMeaning.NOMINAL, settings().classes());
    }

    static Courier.Settings settings() {
        return settings(16, 1, false, false);
    }

    /** As {@link #settings()}, with so many open messages at most. */
    static Courier.Settings withMaxOpenMessages(final int messages) {
        return settings(settings().fleetSize(), messages);
    }

    /** As {@link #settings()}, in a fleet of so many couriers. */
    static Courier.Settings withCourierCount(final int couriers) {
        return settings(couriers, settings().limits().maxOpenMessages());
    }

    private static Courier.Settings settings(final int couriers, final int maxOpen) {
        final Courier.Settings usual = settings();
        final Courier.Limits limits = usual.limits();
        return new Courier.Settings(
                couriers,
                usual.zone(),
                usual.listOnRequest(),
                usual.weightMeaning(),
                usual.valueDecay(),
                usual.classes(),
                usual.tenants(),
                usual.destinationKinds(),
                usual.ruleParameters(),
                new Courier.Limits(
                        limits.maxCalls(),
                        maxOpen,
                        limits.maxAttempts(),
                        limits.canCancel(),
                        limits.idleTimeoutUs(),
                        limits.streamsPerConnection(),
                        limits.maxRetryAfterUs()));
    }

    private static Courier.MessageClass messageClass(
            final String name,
            final Courier.Effect effect,
            final boolean dedupPerZone,
            final boolean ordered,
            final double value) {
        return new Courier.MessageClass(
                name, effect, dedupPerZone, ordered, value, 0.5, 2 * SECOND, 16 * SECOND, 6 * SECOND);
    }

    void updateList(final Courier.ListUpdate update, final Courier.Endpoint... entries) {
        control.onListUpdate(nowUs, update, List.of(entries));
        control.decide(nowUs);
    }

    void accept(final String id, final int classIndex) {
        accept(id, classIndex, null, 16 * SECOND);
    }

    void accept(final String id, final int classIndex, final String key, final long validForUs) {
        control.onMessage(nowUs, new Courier.Message(id, classIndex, -1, key, nowUs + validForUs, DEST));
        control.decide(nowUs);
    }

    /** Accepts a message for another destination. */
    void acceptFor(final String id, final int classIndex, final long destination) {
        control.onMessage(nowUs, new Courier.Message(id, classIndex, -1, null, nowUs + 16 * SECOND, destination));
        control.decide(nowUs);
    }

    /** Reports the outcome of a message's last attempt, and lets the courier decide. */
    void endAttempt(final String id, final Courier.Result result) {
        endAttempt(id, result, 0);
    }

    void endAttempt(final String id, final Courier.Result result, final long waitUs) {
        reportOutcome(id, result, waitUs);
        control.decide(nowUs);
    }

    /** As {@link #endAttempt}, without letting the courier decide yet. */
    void reportOutcome(final String id, final Courier.Result result, final long waitUs) {
        final Sent last = lastAttempt(id);
        outcomes.merge(id, 1, Integer::sum);
        control.onOutcome(
                nowUs,
                new Courier.Outcome(
                        id,
                        result,
                        result == Courier.Result.DELIVERED,
                        last.endpoint(),
                        nowUs - last.atUs(),
                        waitUs,
                        null));
    }

    /** The outcome in which the last attempt of a message is delivered, with a reported limit. */
    Courier.Outcome deliveredWithLimit(final String id, final Courier.ReportedLimit limit) {
        final Sent last = lastAttempt(id);
        outcomes.merge(id, 1, Integer::sum);
        return new Courier.Outcome(id, Courier.Result.DELIVERED, true, last.endpoint(), nowUs - last.atUs(), 0, limit);
    }

    /** Advances the clock, with the wake-ups that were requested. */
    void advance(final long us) {
        final long untilUs = nowUs + us;
        while (true) {
            final long next =
                    wakeTimesUs.stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
            if (next > untilUs) {
                nowUs = untilUs;
                return;
            }
            nowUs = next;
            final long due = next;
            wakeTimesUs.removeIf(at -> at <= due);
            control.decide(nowUs);
        }
    }

    Sent lastAttempt(final String id) {
        return sent.stream()
                .filter(send -> send.id().equals(id))
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    /** Number of attempts of a message that have their outcome. */
    long endedAttempts(final String id) {
        return outcomes.getOrDefault(id, 0);
    }

    long attemptCount(final String id) {
        return sent.stream().filter(send -> send.id().equals(id)).count();
    }

    @Override
    public void send(final String messageId, final long endpoint, final long timeoutUs) {
        sent.add(new Sent(messageId, endpoint, timeoutUs, nowUs));
    }

    @Override
    public void refuse(final String messageId, final long retryAfterUs) {
        refused.add(messageId);
    }

    @Override
    public void fail(final String messageId) {
        failed.add(messageId);
    }

    @Override
    public void cancel(final String messageId, final int attempt) {
        cancelled.add(messageId + "/" + attempt);
    }

    @Override
    public void closeIdleConnections(final long endpoint) {
        idleClosed.add(endpoint);
    }

    @Override
    public void subscribeToList() {
        listRequests++;
    }

    @Override
    public void wakeAfter(final long delayUs) {
        wakeTimesUs.add(nowUs + delayUs);
    }
}
