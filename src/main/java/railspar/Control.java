package railspar;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import railspar.RouteState.Phase;

/**
 * All decisions of one courier, behind the interface {@code Courier.java}:
 * <ol>
 * <li>A message waits until its destination may be called, has one attempt at a time, ends once and in time.
 * <li>Each destination (each of its routes, if separate) is a {@link Route} with a window of calls in flight.
 * <li>Each second, Table I of the paper (section V) moves the window by latency and refusals ({@link #step}).
 * <li>The message that loses most value by waiting is sent first ({@link #urgency}), to the endpoint with the
 * fewest calls of this courier, failures in a row, handshakes and zone crossings ({@link #chooseEndpoint}).
 * <li>A retry-after holds for the whole route. A refusal without one starts a backoff of the route.
 * <li>A route with an outage is in PROBE: single calls, as many as a cold destination bears. After the first
 * success it is in WARMUP, below the rate that overloads a cold destination, until it is surely warm.
 * <li>A message that is too late, or the least valuable in a full store, is refused where that is harmless.
 * <li>An endpoint that the list reports as draining or gone gets no new calls.
 * </ol>
 */
public final class Control implements Courier {

    private static final long SECOND_US = 1_000_000;

    /** Minimum in-flight window, calls: a route must always be able to learn from a call. */
    private static final double MIN_WINDOW = 1;
    /** Initial in-flight window, calls: with 2, one slow answer does not block a new route. */
    private static final double INITIAL_WINDOW = 2;
    /** Initial window in a large fleet, calls: messages come there in bursts before the window could grow. */
    private static final double LARGE_FLEET_WINDOW = 4;
    /** Share of the call slots that one healthy route may use. */
    private static final double HEALTHY_SHARE = 0.75;
    /** Share of the call slots that one route may use while it is degraded, in PROBE or in WARMUP. */
    private static final double DEGRADED_SHARE = 0.5;
    /** A Table I input above this, so nearer to High than to Medium, makes a route degraded for a step. */
    private static final double DEGRADED_INPUT = 0.75;
    /** Samples at the average, mixed into a step's mean latency because two or three answers say little. */
    private static final double LATENCY_PRIOR_SAMPLES = 2;
    /** Share of a window that must be used for it to grow: an unused part says nothing about capacity. */
    private static final double GROWTH_USED_SHARE = 0.5;
    /** Minimum weight of a new sample or step in a moving average, which then covers about ten of them. */
    private static final double MIN_WEIGHT = 0.1;
    /** Missed steps to take one by one: the weight is constant after 10, and 2 more leave a margin. */
    private static final long SINGLE_CATCH_UP_STEPS = 12;
    /** Service time of a class without samples, as a share of its target, which is set to be met. */
    private static final double INITIAL_TARGET_SHARE = 0.25;
    /** Minimum slowdown factor of a route: a quick answer must not require the next to be quicker still. */
    private static final double MIN_SLOWDOWN = 0.1;
    /** A call is overdue after this multiple of its expected time; by chance, one in 150 is. */
    private static final double OVERDUE_FACTOR = 5;
    /** Minimum age of an overdue call. */
    private static final long MIN_OVERDUE_US = SECOND_US;
    /** Multiple of its expected time that a call needs before a stop; by chance, the stop cuts off 1 in 7. */
    private static final double STOP_FACTOR = 2;
    /** Timeout as a multiple of the expected time, wide enough for a long tail of service times. */
    private static final double TIMEOUT_FACTOR = 8;
    /** Minimum timeout, wide enough for a long tail of service times. */
    private static final long MIN_TIMEOUT_US = 2 * SECOND_US;
    /** Maximum share of a class's deadline that MIN_TIMEOUT_US takes, to leave time for more attempts. */
    private static final double MIN_TIMEOUT_SHARE = 0.4;
    /** Maximum share of a class's deadline that MIN_OVERDUE_US takes, to leave time for more attempts. */
    private static final double MIN_OVERDUE_SHARE = 0.2;
    /** Time kept for a retry in a key's dedup window, where the window is long enough for both attempts. */
    private static final long RETRY_RESERVE_US = SECOND_US / 2;
    /** Factor on the timeouts after one expired: the destination may have been slow rather than silent. */
    private static final double TIMEOUT_STRETCH = 3;

    /** Minimum backoff of a route after a refusal: rate limits are counted over spans of about a second. */
    private static final long MIN_BACKOFF_US = SECOND_US / 2;
    /** Multiple of the served rate to send after refusals, as capacity may return; also its growth a step. */
    private static final double SEND_RATE_FACTOR = 1.2;
    /** Sends per second added to that multiple of the served rate, as capacity may return. */
    private static final double EXTRA_SENDS_PER_S = 0.5;
    /** Couriers that may each add EXTRA_SENDS_PER_S; a larger fleet shares what these may add together. */
    private static final double EXTRA_SENDS_COURIERS = 3;
    /** Even parts (limit / fleet size) of a reported limit that a courier uses when nothing of it is left. */
    private static final double MIN_LIMIT_PARTS = 0.85;
    /** Even parts that a courier uses in addition when all of the limit is left. */
    private static final double MORE_LIMIT_PARTS = 6;
    /** Exponent of the remaining share: flat near 0.5, so that reports a second old cause no oscillation. */
    private static final double LIMIT_PART_EXPONENT = 4;
    /** Growth of a reported remaining share per second and courier: in a fleet, others use it meanwhile. */
    private static final double REFILL_PER_S = 2;
    /** Remaining share above which a large fleet's send rate grows faster; one of few would make it swing. */
    private static final double AMPLE_SHARE = 0.8;
    /** Growth factor of the send rate per second while more than AMPLE_SHARE of the limit remains. */
    private static final double AMPLE_RATE_FACTOR = 2;
    /** Lowest plausible reported limit, as a share of the list's rough one: lowered limits are about half. */
    private static final double LIMIT_FLOOR = 0.02;
    /** A longer retry-after means a closed destination: rate limits count over spans of a second or two. */
    private static final long MAX_LIMIT_WAIT_US = 5 * SECOND_US / 2;
    /** Weight of a refusal in the failure run (a failed call weighs 1): overload causes refusals, too. */
    private static final double REFUSAL_WEIGHT = 0.5;
    /** Weight of an error answer in the failure run: errors also come mixed with other outcomes. */
    private static final double ERROR_WEIGHT = 0.4;
    /** A failure run of this weight, without a success, is an outage. */
    private static final double OUTAGE_RUN = 3;
    /** A higher share of failures is an outage: more than half, with a margin for chance. */
    private static final double OUTAGE_SHARE = 0.6;
    /** Weight of a call in the share of failures, which then covers about eight calls. */
    private static final double FAILURE_SHARE_WEIGHT = 0.12;
    /** Rate limit, messages per second, that is assumed where none is known. */
    private static final double UNKNOWN_LIMIT_PER_S = 1;
    /** Minimum service rate, messages per second, in the estimate of how long a queue takes. */
    private static final double MIN_QUEUE_RATE_PER_S = 0.25;
    /** Time without calls to a failed endpoint; after it, a failure in a row counts as a call in flight. */
    private static final long ENDPOINT_AVOID_US = SECOND_US;
    /** Weight of a failure in a large fleet, as its size multiplies the calls made to detect an outage. */
    private static final double LARGE_FLEET_FAILURE_WEIGHT = 1.5;
    /** Share by which intervals are randomly longer or shorter, so that couriers do not synchronize. */
    private static final double JITTER_SHARE = 0.2;

    /** Cost of a handshake in the choice of an endpoint, in calls in flight. */
    private static final double HANDSHAKE_CALLS = 0.8;
    /** Cost of an endpoint in another zone in the choice of an endpoint, in calls in flight. */
    private static final double OTHER_ZONE_CALLS = 0.6;
    /** Chance that a message not sent now is delivered later, in a short queue; half of it in a long one. */
    private static final double LATER_DELIVERY_CHANCE = 0.9;
    /** Minimum time ahead in the comparison of values now and later: the time to the next call. */
    private static final long MIN_HORIZON_US = SECOND_US;
    /** Maximum time ahead in that comparison: the time in which values fall at most. */
    private static final long MAX_HORIZON_US = 10 * SECOND_US;
    /** Value share of a message over quota: a courier sees only a part of what the tenant sends. */
    private static final double OVER_QUOTA_VALUE_SHARE = 0.25;
    /** Messages of a tenant that may come in a burst by chance and still count as within its quota. */
    private static final double QUOTA_BURST_MESSAGES = 10;
    /** Share of the store kept free by refusing the least valuable: a full store rejects whatever comes. */
    private static final double STORE_RESERVE_SHARE = 0.05;
    /** A message is ended this long before its latest end: enough for two rounds with the host. */
    private static final long END_MARGIN_US = 12_000;
    /** Share of a key's dedup window that is not used, because clocks differ. */
    private static final double KEY_WINDOW_MARGIN_SHARE = 0.05;
    /** Growth per second of the idle time that connections are trusted to survive: threefold in a minute. */
    private static final double TRUSTED_IDLE_GROWTH = 1.02;
    /** Share of the idle timeout that is always trusted: so short an idle time kills no connection. */
    private static final double MIN_TRUSTED_IDLE_SHARE = 0.125;
    /** Couriers in a small fleet: each uses all destinations often, and all may keep idle connections. */
    private static final int SMALL_FLEET = 6;
    /** Longest time to the next use for which a large fleet keeps an idle connection. */
    private static final double MAX_REUSE_US = 5 * SECOND_US;
    /** The same where the endpoint had no room for a connection, in multiples of a call's expected time. */
    private static final double FULL_REUSE_CALLS = 2;
    /** First backoff before the list is requested again: soon, without overloading its source. */
    private static final long MIN_LIST_BACKOFF_US = SECOND_US / 2;
    /** Longest backoff before the list is requested again. */
    private static final long MAX_LIST_BACKOFF_US = 3 * SECOND_US;
    /** Interval at which a message that an endpoint or its key blocks is looked at again. */
    private static final long POLL_INTERVAL_US = 20_000;

    private static final long NEVER = RouteState.NEVER;
    private static final long UNKNOWN = Long.MIN_VALUE;

    private final Settings settings;
    private final Limits limits;
    private final RuleParameters rules;
    private final Actions actions;
    private final Random random;
    private final DestinationTable destinations;
    /** Routes that may have an endpoint without calls now. */
    private final Set<Route> impairedRoutes = new LinkedHashSet<>();
    /** Destinations with open messages; a decision looks at no others, however long the list is. */
    private final Map<Long, DestinationState> busy = new TreeMap<>();

    private final Map<String, Delivery> deliveries = new LinkedHashMap<>();
    private final Map<String, KeyQueue> keys = new LinkedHashMap<>();
    private final double[] classMeanUs;
    private final int[] classSamples;
    private final long[] quotaUsedUntilUs;
    private final TreeSet<Long> wakesUs = new TreeSet<>();
    private int inFlight, open;
    private double trustedIdleUs;
    private long nowUs, nextStepUs, stopUs = NEVER;
    private boolean subscribed;
    private long listRetryUs = NEVER, listBackoffUs = MIN_LIST_BACKOFF_US;

    /** A courier with an empty list of endpoints; {@code seed} is its only source of randomness. */
    public Control(final Settings settings, final long seed, final Actions actions) {
        this(settings, seed, actions, new EndpointMap(), Integer.MAX_VALUE);
    }

    /** As above, with the host's list; keeps the state of at most {@code maxIdle} idle destinations. */
    public Control(
            final Settings settings,
            final long seed,
            final Actions actions,
            final Directory directory,
            final int maxIdle) {
        this.settings = settings;
        this.destinations = new DestinationTable(
                settings, directory, maxIdle, this::newRoute, this::step, this::catchUp, this::mayForget);
        this.limits = settings.limits();
        this.rules = settings.ruleParameters();
        this.actions = actions;
        this.random = new Random(seed);
        this.classMeanUs = settings.classes().stream()
                .mapToDouble(messageClass -> INITIAL_TARGET_SHARE * messageClass.targetUs())
                .toArray();
        this.classSamples = new int[classMeanUs.length];
        this.trustedIdleUs = limits.idleTimeoutUs();
        this.quotaUsedUntilUs = new long[settings.tenants().size()];
    }

    @Override
    public void onMessage(final long now, final Message message) {
        nowUs = now;
        final Delivery delivery = new Delivery(message, settings.classes().get(message.messageClass()));
        deliveries.put(message.id(), delivery);
        open++;
        delivery.overQuota = overQuota(message.tenant());
        delivery.destination = destinations.activate(message.destination());
        delivery.destination.enqueue(delivery);
        delivery.destination.openMessages++;
        busy.put(message.destination(), delivery.destination);
        if (delivery.messageClass.ordered() && message.key() != null) {
            delivery.keyQueue = keys.computeIfAbsent(message.key(), key -> new KeyQueue());
            delivery.keyQueue.messageIds.add(message.id());
        }
    }

    @Override
    public void onNoticePending(final long now, final String messageId, final String key) {
        nowUs = now;
        final KeyQueue queue = keys.computeIfAbsent(key, unused -> new KeyQueue());
        queue.notices.add(messageId);
        if (!queue.messageIds.contains(messageId)) {
            queue.messageIds.add(messageId);
        }
    }

    @Override
    public void onNoticeAnswered(final long now, final String messageId, final String key) {
        nowUs = now;
        final KeyQueue queue = keys.get(key);
        if (queue != null && queue.notices.remove(messageId)) {
            queue.messageIds.remove(messageId);
        }
    }

    @Override
    public void onMessageResumed(final long now, final Message message, final AttemptHistory history) {
        onMessage(now, message);
        final Delivery delivery = deliveries.get(message.id());
        delivery.attempts = history.attempts();
        delivery.mayHaveTakenEffect = history.mayHaveTakenEffect();
        if (delivery.mayHaveTakenEffect) {
            delivery.firstEffectUs = history.firstEffectUs();
            delivery.effectZone = history.effectZone();
            if (delivery.keyQueue != null) {
                delivery.keyQueue.blockedUntilUs = nowUs + rules.orderingDelayUs();
            }
        }
        final EndpointState endpoint = history.inheritedCall() == null
                ? null
                : destinations.endpoint(history.inheritedCall().endpoint());
        if (endpoint != null) {
            restoreCall(delivery, endpoint, history.inheritedCall().sentUs());
        }
    }

    /** Restores a predecessor's call in flight, with its slot; messages sent at one time share a call. */
    private void restoreCall(final Delivery delivery, final EndpointState endpoint, final long sentUs) {
        final int maxMessages = endpoint.route.destinationKind.messagesPerCall();
        final Call call = endpoint.route.calls.stream()
                .filter(one -> one.endpoint == endpoint && one.sentUs == sentUs && one.messages < maxMessages)
                .findFirst()
                .orElseGet(Call::new);
        if (call.messages++ == 0) {
            call.endpoint = endpoint;
            call.sentUs = sentUs;
            inFlight++;
            endpoint.inFlight++;
            endpoint.route.calls.add(call);
        }
        call.add(delivery, (long) expectedUs(endpoint.route, delivery));
        delivery.destination.dequeue(delivery);
    }

    @Override
    public void onAttemptInterrupted(final long now, final String messageId) {
        nowUs = now;
        final Delivery delivery = deliveries.get(messageId);
        if (delivery != null && delivery.call != null) {
            finishAttempt(delivery, Result.CANCELLED);
            endOrEnqueue(delivery, false);
        }
    }

    @Override
    public List<Long> snapshotOrder(final long now) {
        nowUs = now;
        return destinations.snapshotOrder();
    }

    @Override
    public EndpointSnapshot snapshot(final long now, final long endpointId) {
        final EndpointState endpoint = destinations.existingEndpoint(endpointId);
        return SnapshotMapper.write(endpoint, classMeanUs, classSamples);
    }

    @Override
    public void onEndpointSnapshot(final long now, final long endpointId, final EndpointSnapshot snapshot) {
        nowUs = now;
        final EndpointState endpoint = snapshot.values().isEmpty() ? null : destinations.endpoint(endpointId);
        if (endpoint != null) {
            SnapshotMapper.read(snapshot, endpoint, classMeanUs, classSamples);
        }
    }

    @Override
    public void onStopping(final long now, final long atUs) {
        nowUs = now;
        stopUs = atUs;
    }

    @Override
    public void onOutcome(final long now, final Outcome outcome) {
        nowUs = now;
        final Delivery delivery = deliveries.get(outcome.messageId());
        if (delivery == null || delivery.call == null) {
            return;
        }
        final Call call = finishAttempt(delivery, outcome.result());
        applyOutcome(call.endpoint, call, delivery, outcome);
        endOrEnqueue(delivery, outcome.isFinal());
    }

    @Override
    public void onRetryAfter(final long now, final long id, final long waitUs) {
        nowUs = now;
        Optional.ofNullable(destinations.endpoint(id)).ifPresent(endpoint -> addWait(endpoint.route, waitUs));
    }

    private void addWait(final Route route, final long waitUs) {
        route.retryAfterUntilUs = Math.max(route.retryAfterUntilUs, nowUs + waitUs);
    }

    private void endOrEnqueue(final Delivery delivery, final boolean isFinal) {
        if (isFinal || delivery.ended) {
            end(delivery);
        } else {
            delivery.destination.enqueue(delivery);
        }
    }

    /** Notes whether an ended attempt may have taken effect, and frees its call slot. */
    private Call finishAttempt(final Delivery delivery, final Result result) {
        final Call call = delivery.call;
        final EndpointState endpoint = call.endpoint;
        delivery.call = null;
        if (!result.hadNoEffect()) {
            delivery.mayHaveTakenEffect = true;
            delivery.firstEffectUs = Math.min(delivery.firstEffectUs, call.sentUs);
            delivery.effectZone = endpoint.entry.zone();
            if (delivery.keyQueue != null && !result.isAnswered()) {
                delivery.keyQueue.blockedUntilUs = nowUs + rules.orderingDelayUs();
            }
        }
        if (--call.messages == 0) {
            inFlight--;
            endpoint.inFlight--;
            endpoint.route.calls.remove(call);
            endpoint.lastUseUs = nowUs;
            releaseConnections(endpoint, call);
        }
        return call;
    }

    @Override
    public void onExpired(final long now, final String messageId) {
        nowUs = now;
        Optional.ofNullable(deliveries.get(messageId)).ifPresent(this::end);
    }

    @Override
    public void decide(final long now) {
        nowUs = now;
        nextStepUs = nextStepUs == 0 ? nowUs + SECOND_US : nextStepUs;
        if (nowUs >= nextStepUs) {
            destinations.step();
            trustedIdleUs = Math.min(limits.idleTimeoutUs(), TRUSTED_IDLE_GROWTH * trustedIdleUs);
            keys.values().removeIf(queue -> queue.messageIds.isEmpty() && queue.blockedUntilUs <= nowUs);
            nextStepUs += SECOND_US * ((nowUs - nextStepUs) / SECOND_US + 1);
        }
        subscribeIfDue();
        checkTimes();
        dispatch();
        reclaimSlot();
        shedMessages();
        scheduleWake();
    }

    @Override
    public String describe(final long id) {
        final StringBuilder text = new StringBuilder("slots ").append(inFlight + "/" + limits.maxCalls());
        final DestinationState destination = destinations.get(id);
        if (destination != null) {
            text.append(", waiting ").append(destination.waiting.size());
            destination.routes.forEach(route -> text.append("; " + route.destinationKind.name() + " ")
                    .append(route.describe(route.calls.size() + "/" + maxInFlight(route), nowUs)));
        }
        return text.toString();
    }

    @Override
    public int avoidedEndpoints(final long now) {
        int count = 0;
        for (final Route route : List.copyOf(impairedRoutes)) {
            final long avoided = route.endpoints.stream()
                    .filter(endpoint -> endpoint.condition != Condition.GONE && isAvoided(endpoint, now))
                    .count();
            count += (int) avoided;
            if (avoided == 0) {
                impairedRoutes.remove(route);
            }
        }
        return count;
    }

    /** Number of destinations with state, and the work done since the start. */
    public Workload workload() {
        return destinations.workload();
    }

    private static boolean isAvoided(final EndpointState endpoint, final long now) {
        return endpoint.disabled
                || endpoint.route.phase == Phase.PROBE
                || Arrays.stream(endpoint.avoidUntilUs).allMatch(untilUs -> untilUs > now);
    }

    // ---------------------------------------------------------------- dispatch

    /** Sends the most urgent messages while slots are free; each send changes one destination's candidate. */
    private void dispatch() {
        final Map<DestinationState, Delivery> candidates = new LinkedHashMap<>();
        while (inFlight < limits.maxCalls()) {
            if (candidates.isEmpty()) {
                busy.values().forEach(each -> candidates.put(each, nextDelivery(each, true)));
            }
            Delivery best = null;
            for (final Delivery next : candidates.values()) {
                best = next != null && (best == null || next.sendPriority > best.sendPriority) ? next : best;
            }
            if (best == null) {
                return;
            }
            send(best, best.route);
            candidates.put(best.destination, nextDelivery(best.destination, true));
        }
    }

    /** A destination's most urgent message that may be sent, or null; without probes by HEALTHY routes. */
    private Delivery nextDelivery(final DestinationState destination, final boolean probes) {
        Delivery best = null;
        for (final Route route : destination.routes) {
            final boolean mayCall = nextCallUs(route) <= nowUs && (probes || route.phase == Phase.HEALTHY);
            destinations.countExaminedMessages(mayCall ? destination.waiting.size() : 0);
            final Delivery next = mayCall ? select(destination, route, null) : null;
            best = next != null && (best == null || next.sendPriority > best.sendPriority) ? next : best;
        }
        return best;
    }

    /** Earliest next call of a route by its waits, phase and exact limit; NEVER while its window is full. */
    private long nextCallUs(final Route route) {
        if (route.calls.size() >= maxInFlight(route)) {
            return NEVER;
        }
        final boolean exact =
                (settings.weightMeaning() == WeightMeaning.NOMINAL || route.exactRate) && route.rateLimit > 0;
        final double rate = exact ? Math.min(limitPart(route), route.sendsPerSecond) : route.sendsPerSecond;
        final double warmupShare = overloadShare(nowUs - route.warmupFromUs);
        final long phaseUs =
                switch (route.phase) {
                    case HEALTHY -> route.lastSendUs + (long) (SECOND_US / rate);
                    case PROBE -> route.calls.isEmpty() ? route.nextProbeUs : NEVER;
                    case WARMUP -> route.lastSendUs + (long) (route.warmupIntervalUs / warmupShare);
                };
        return Math.max(phaseUs, Math.max(route.retryAfterUntilUs, route.backoffUntilUs));
    }

    /** This courier's part of a limit: if used up, a bit under the even part, so that the limit recovers. */
    private double limitPart(final Route route) {
        // It grows with what remained at the last report, and with what may have been refilled since.
        // Refused calls use up the limit, too.
        final double refill = REFILL_PER_S / settings.fleetSize() * (nowUs - route.reportedUs) / SECOND_US;
        final double more =
                MORE_LIMIT_PARTS * Math.pow(Math.min(1, route.remainingShare + refill), LIMIT_PART_EXPONENT);
        return route.rateLimit * Math.min(1, (MIN_LIMIT_PARTS + more) / settings.fleetSize());
    }

    private int maxInFlight(final Route route) {
        final double share = route.phase == Phase.HEALTHY && !route.degraded ? HEALTHY_SHARE : DEGRADED_SHARE;
        return (int) Math.max(1, Math.floor(Math.min(route.window, share * limits.maxCalls())));
    }

    /** A route's most urgent message (for one endpoint if given); probes use what has least to lose first. */
    private Delivery select(final DestinationState destination, final Route route, final EndpointState only) {
        Delivery best = null;
        int bestRisk = 0;
        double bestUrgency = 0;
        final long queueUs = destination.queueUs();
        for (final Delivery delivery : destination.waiting) {
            if (!keyAllows(delivery)
                    || !endsBeforeStop(route, delivery)
                    || only == null && chooseEndpoint(route, delivery) == null
                    || only != null && !zoneAllows(delivery, only)) {
                continue;
            }
            final double urgency = urgency(route, delivery, queueUs);
            final int risk = route.phase != Phase.PROBE || delivery.mayHaveTakenEffect
                    ? 0
                    : 1 + delivery.messageClass.effect().ordinal();
            if (best == null || risk < bestRisk || risk == bestRisk && urgency > bestUrgency) {
                best = delivery;
                bestRisk = risk;
                bestUrgency = urgency;
                delivery.route = route;
                // With the store over half full, some will not be served: prefer value per time of a slot.
                delivery.sendPriority =
                        urgency / (2 * open > limits.maxOpenMessages() ? expectedUs(route, delivery) : 1);
            }
        }
        return best;
    }

    /** The value that a message loses by waiting for as long as its destination's queue takes. */
    private double urgency(final Route route, final Delivery delivery, final long queueUs) {
        final long horizonUs = (long) clamp(queueUs, MIN_HORIZON_US, MAX_HORIZON_US);
        final long doneUs = nowUs + (long) expectedUs(route, delivery);
        final double deliveryChance = LATER_DELIVERY_CHANCE / (1 + (double) horizonUs / MAX_HORIZON_US);
        return valueAt(delivery, doneUs) - deliveryChance * valueAt(delivery, doneUs + horizonUs);
    }

    /** The value of a message delivered at a given time; 0 after its deadline or its key's dedup window. */
    private double valueAt(final Delivery delivery, final long atUs) {
        final MessageClass messageClass = delivery.messageClass;
        if (atUs >= delivery.keyEndUs()) {
            return 0;
        }
        final double fullValue = messageClass.value() * (delivery.overQuota ? OVER_QUOTA_VALUE_SHARE : 1);
        final long lateUs = Math.max(0, atUs - delivery.targetUs);
        if (settings.valueDecay() == ValueDecay.HALVING) {
            final double halvings = (double) lateUs / Math.max(1, messageClass.targetUs());
            return fullValue * Math.max(messageClass.lateValue(), Math.pow(0.5, halvings));
        }
        final long fadeUs = Math.max(1, messageClass.deadlineUs() - messageClass.targetUs());
        return fullValue * (1 - (1 - messageClass.lateValue()) * lateUs / fadeUs);
    }

    /** The least loaded endpoint that may get a message, or null; in PROBE, the one called longest ago. */
    private EndpointState chooseEndpoint(final Route route, final Delivery delivery) {
        EndpointState best = null;
        double bestLoad = 0;
        final int index = delivery.message.messageClass();
        for (final EndpointState endpoint : route.endpoints) {
            if (endpoint.condition != Condition.LISTED
                    || endpoint.disabled
                    || coldUntilUs(endpoint) > nowUs
                    || !zoneAllows(delivery, endpoint)
                    || route.phase == Phase.HEALTHY && nowUs < endpoint.avoidUntilUs[index]) {
                continue;
            }
            final boolean connect = endpoint.inFlight >= endpoint.connections * limits.streamsPerConnection()
                    || endpoint.inFlight == 0 && nowUs - endpoint.lastUseUs >= limits.idleTimeoutUs();
            final boolean remote = !endpoint.entry.zone().equals(settings.zone());
            final double sum = endpoint.inFlight + endpoint.failures[index] + (connect ? HANDSHAKE_CALLS : 0);
            final double load =
                    route.phase == Phase.PROBE ? endpoint.lastSendUs : sum + (remote ? OTHER_ZONE_CALLS : 0);
            if (best == null || load < bestLoad) {
                best = endpoint;
                bestLoad = load;
            }
        }
        return best;
    }

    /** Earliest next call of an endpoint enabled again by operators: a cold one must not be overloaded. */
    private long coldUntilUs(final EndpointState endpoint) {
        final long sinceUs = nowUs - endpoint.enabledUs;
        if (endpoint.enabledUs == 0 || sinceUs > rules.warmupUs()) {
            return 0;
        }
        final double intervalUs = callIntervalUs(endpoint.route) * endpoint.route.endpoints.size();
        return endpoint.lastSendUs + (long) (intervalUs / overloadShare(sinceUs));
    }

    /** False if an earlier attempt may have taken effect and this endpoint would not recognize the repeat. */
    private static boolean zoneAllows(final Delivery delivery, final EndpointState endpoint) {
        return !delivery.mayHaveTakenEffect
                || !delivery.messageClass.dedupPerZone()
                || endpoint.entry.zone().equals(delivery.effectZone);
    }

    /** Only a key's first message is sent; after an unanswered attempt, the next waits the ordering delay. */
    private boolean keyAllows(final Delivery delivery) {
        final KeyQueue queue = delivery.keyQueue;
        return queue == null
                || queue.messageIds.get(0).equals(delivery.message.id())
                        && (delivery.mayHaveTakenEffect || queue.blockedUntilUs <= nowUs);
    }

    /** False for a call that the end of this process would likely interrupt: the successor may send it. */
    private boolean endsBeforeStop(final Route route, final Delivery delivery) {
        final double times = delivery.messageClass.effect() == Effect.UNSAFE ? OVERDUE_FACTOR : STOP_FACTOR;
        return stopUs == NEVER || nowUs + times * expectedUs(route, delivery) < stopUs;
    }

    /** Sends a message, with others that wait if its destination takes several per call. */
    private void send(final Delivery firstDelivery, final Route route) {
        final EndpointState endpoint = chooseEndpoint(route, firstDelivery);
        final Call call = new Call();
        call.endpoint = endpoint;
        call.sentUs = nowUs;
        inFlight++;
        route.calls.add(call);
        route.peakCalls = Math.max(route.peakCalls, route.calls.size());
        if (endpoint.inFlight++ == 0) {
            checkIdleConnection(call, endpoint, firstDelivery);
        }
        final int streams = limits.streamsPerConnection();
        endpoint.connections = Math.max(endpoint.connections, (endpoint.inFlight + streams - 1) / streams);
        endpoint.lastSendUs = route.lastSendUs = nowUs;
        if (route.phase == Phase.PROBE) {
            route.nextProbeUs = probeTimeUs(route);
        }
        Delivery delivery = firstDelivery;
        final boolean single = route.phase == Phase.PROBE;
        while (delivery != null) {
            call.messages++;
            call.add(delivery, (long) expectedUs(route, delivery));
            delivery.attempts++;
            delivery.destination.dequeue(delivery);
            actions.send(delivery.message.id(), endpoint.entry.id(), timeoutUs(route, delivery));
            final boolean isFull = single || call.messages >= route.destinationKind.messagesPerCall();
            delivery = isFull ? null : select(delivery.destination, route, endpoint);
        }
    }

    /**
     * An idle connection may be dead unnoticed, at any endpoint. After a call over one fails on a route that
     * had no failures, all idle for half as long (unsafe calls: a quarter) are closed before use for a while,
     * at the cost of handshakes.
     */
    private void checkIdleConnection(final Call call, final EndpointState endpoint, final Delivery delivery) {
        final long idleUs = nowUs - endpoint.lastUseUs;
        if (endpoint.connections > 0
                && idleUs >= trustedIdleUs / (delivery.messageClass.effect() == Effect.UNSAFE ? 2 : 1)) {
            endpoint.connections = 0;
            actions.closeIdleConnections(endpoint.entry.id());
        } else if (endpoint.connections > 0) {
            call.idleUs = idleUs;
        }
    }

    /**
     * An idle connection takes the place of another courier's. A large fleet closes it unless its next use is
     * seconds away, or sooner if the endpoint, though healthy, lately had no room for a connection. Avoids
     * refused connections at healthy endpoints, and a handshake for each call.
     */
    private void releaseConnections(final EndpointState endpoint, final Call call) {
        final double maxUs = nowUs < endpoint.fullUntilUs ? FULL_REUSE_CALLS * call.expectedUs : MAX_REUSE_US;
        final boolean largeFleet = settings.fleetSize() > SMALL_FLEET;
        if (largeFleet && endpoint.route.servedRate * maxUs / SECOND_US < endpoint.route.endpoints.size()) {
            endpoint.connections = 0;
            actions.closeIdleConnections(endpoint.entry.id());
        }
    }

    // ---------------------------------------------------------------- the fuzzy step

    /** True for a route without failures, waits, outage, warmup or override: its state may be dropped. */
    private boolean mayForget(final Route route) {
        final boolean warm = route.phase == Phase.WARMUP && nowUs - route.warmupFromUs > rules.warmupUs();
        return (warm || route.phase == Phase.HEALTHY)
                && route.failingSinceUs == NEVER
                && Math.max(route.retryAfterUntilUs, route.backoffUntilUs) <= nowUs
                && route.endpoints.stream().allMatch(one -> !isAvoided(one, nowUs) && coldUntilUs(one) == 0);
    }

    /** Moves a route's window by Table I, and its send rate; called once a second. */
    private void step(final Route route) {
        final int failed = route.failed + overdueCalls(route);
        final int outcomes = route.served + route.errors + failed;
        if (route.phase == Phase.HEALTHY) {
            route.servedRate += Math.max(MIN_WEIGHT, 1.0 / ++route.steps) * (route.served - route.servedRate);
        }
        if (outcomes > 0) {
            double latency = 0;
            if (route.served > 0) {
                final double mean = route.latencyRatioSum / route.served;
                final double sampleShare = route.served / (route.served + LATENCY_PRIOR_SAMPLES);
                latency = clamp(sampleShare * (mean / route.meanLatencyRatio - 1), 0, 1);
                route.meanLatencyRatio += MIN_WEIGHT * sampleShare * (mean - route.meanLatencyRatio);
            }
            double refusal = (double) failed / outcomes;
            if (route.reportedLimit != null && route.reportedLimit.callsPerSecond() > 0) {
                refusal = Math.max(refusal, 1 - route.reportedLimit.remainingShare());
            }
            final double change = Math.max(failed == 0 ? 0 : -1, tableOne(latency, clamp(refusal, 0, 1)));
            if (change < 0 || route.peakCalls >= GROWTH_USED_SHARE * Math.floor(route.window)) {
                route.window = clamp(
                        route.window * (1 + change),
                        MIN_WINDOW,
                        Math.max(1, Math.floor(HEALTHY_SHARE * limits.maxCalls())));
            }
            route.degraded = latency > DEGRADED_INPUT || refusal > DEGRADED_INPUT;
        }
        final double extra = EXTRA_SENDS_PER_S * Math.min(1, EXTRA_SENDS_COURIERS / settings.fleetSize());
        final double refusedRate = extra + SEND_RATE_FACTOR * Math.max(route.served, route.servedRate);
        route.sendsPerSecond = route.refused > 0 ? refusedRate : sendRateGrowth(route) * route.sendsPerSecond;
        route.peakCalls = route.calls.size();
        route.latencyRatioSum = route.refused = route.served = route.failed = route.errors = 0;
        route.reportedLimit = null;
    }

    private double sendRateGrowth(final Route route) {
        final boolean ampleLimit =
                settings.fleetSize() > SMALL_FLEET && route.exactRate && route.remainingShare > AMPLE_SHARE;
        return ampleLimit ? AMPLE_RATE_FACTOR : SEND_RATE_FACTOR;
    }

    /** Takes the steps of an idle time; once the weights are constant, the rest is computed as a power. */
    private void catchUp(final Route route, final long steps) {
        final long single = Math.min(steps, SINGLE_CATCH_UP_STEPS);
        for (long done = 0; done < single; done++) {
            step(route);
        }
        route.servedRate *= route.phase == Phase.HEALTHY ? Math.pow(1 - MIN_WEIGHT, steps - single) : 1;
        route.sendsPerSecond *= Math.pow(sendRateGrowth(route), steps - single);
    }

    /** Table I, rows by latency, columns by refusals, each Low, Medium, High: indexes of the outputs. */
    private static final double[] TABLE_ONE_OUTPUTS = {0.4, 0.2, 0, -0.2, -0.4, -0.6};

    private static final int[][] TABLE_ONE_RULES = {{0, 1, 3}, {1, 2, 4}, {3, 4, 5}};

    /** The paper's Mamdani controller: triangles, min for AND, max of an output's rules, mean of centres. */
    static double tableOne(final double latency, final double refusal) {
        final double[] union = new double[TABLE_ONE_OUTPUTS.length];
        for (int row = 0; row < TABLE_ONE_RULES.length; row++) {
            for (int column = 0; column < TABLE_ONE_RULES.length; column++) {
                final double strength = Math.min(membership(row, latency), membership(column, refusal));
                union[TABLE_ONE_RULES[row][column]] = Math.max(union[TABLE_ONE_RULES[row][column]], strength);
            }
        }
        double sum = 0;
        double weights = 0;
        for (int output = 0; output < TABLE_ONE_OUTPUTS.length; output++) {
            sum += TABLE_ONE_OUTPUTS[output] * union[output];
            weights += union[output];
        }
        return sum / weights;
    }

    /** Membership of an input in Low, Medium or High: triangles with peaks at 0, 0.5 and 1. */
    private static double membership(final int fuzzySet, final double input) {
        return Math.max(0, 1 - Math.abs(2 * input - fuzzySet));
    }

    // ---------------------------------------------------------------- route health

    private void applyOutcome(
            final EndpointState endpoint, final Call call, final Delivery delivery, final Outcome outcome) {
        final Route route = endpoint.route;
        if (outcome.reportedLimit() != null
                && isPlausible(route, outcome.reportedLimit().callsPerSecond())) {
            route.reportedLimit = outcome.reportedLimit();
            route.rateLimit = route.reportedLimit.callsPerSecond();
            route.reportedUs = nowUs;
            route.remainingShare = clamp(route.reportedLimit.remainingShare(), 0, 1);
            route.exactRate = true;
        }
        final int classIndex = delivery.message.messageClass();
        // The messages of one call mostly have the same result: it counts once for the route's health.
        final boolean firstOfCall = call.results.add(outcome.result());
        final boolean onset = route.failingSinceUs == NEVER;
        route.failingSinceUs = Math.min(route.failingSinceUs, nowUs);
        // Any answer may ask for a wait, also one that delivers some of a call's messages.
        addWait(route, outcome.retryAfterUs());
        switch (outcome.result()) {
            case DELIVERED -> succeed(endpoint, delivery, outcome.durationUs());
            case REFUSED -> {
                route.failed++;
                route.refused++;
                if (!firstOfCall) {
                    return;
                }
                final long fromUs = Math.max(nowUs, route.retryAfterUntilUs);
                final long delayUs = backoffUs(route, fromUs);
                final boolean askedToWait = outcome.retryAfterUs() > 0;
                route.backoffUntilUs =
                        fromUs + (askedToWait ? (long) (random.nextDouble() * delayUs) : jitter(delayUs));
                detectOutage(route, outcome.retryAfterUs() > MAX_LIMIT_WAIT_US ? OUTAGE_RUN : REFUSAL_WEIGHT);
            }
            case ERROR -> {
                route.errors++;
                if (!firstOfCall) {
                    return;
                }
                route.failureShare += FAILURE_SHARE_WEIGHT * (1 - route.failureShare);
                detectOutage(route, ERROR_WEIGHT);
            }
            case TIMED_OUT, RESET, NO_CONNECTION, CANCELLED -> {
                route.failed++;
                if (!firstOfCall) {
                    return;
                }
                if (outcome.result() == Result.TIMED_OUT || outcome.result() == Result.CANCELLED) {
                    route.timeoutFactor = TIMEOUT_STRETCH;
                }
                if (onset && call.idleUs > 0 && !call.cancelled && outcome.result() != Result.NO_CONNECTION) {
                    final double minTrustedUs = MIN_TRUSTED_IDLE_SHARE * limits.idleTimeoutUs();
                    trustedIdleUs = Math.min(trustedIdleUs, Math.max(minTrustedUs, call.idleUs / 2.0));
                }
                if (onset && outcome.result() == Result.NO_CONNECTION) {
                    endpoint.fullUntilUs = nowUs + limits.idleTimeoutUs();
                }
                endpoint.failures[classIndex]++;
                if (endpoint.lastServedUs < call.sentUs) {
                    Arrays.fill(endpoint.avoidUntilUs, nowUs + jitter(ENDPOINT_AVOID_US));
                }
                endpoint.avoidUntilUs[classIndex] = nowUs + jitter(ENDPOINT_AVOID_US);
                impairedRoutes.add(route);
                endpoint.connections = Math.max(0, endpoint.connections - 1);
                if (outcome.result() != Result.NO_CONNECTION || endpoint.lastServedUs <= call.sentUs) {
                    route.failureShare += FAILURE_SHARE_WEIGHT * (1 - route.failureShare);
                    detectOutage(route, settings.fleetSize() > SMALL_FLEET ? LARGE_FLEET_FAILURE_WEIGHT : 1);
                }
            }
            case NOT_SENT -> route.failingSinceUs = onset ? NEVER : route.failingSinceUs;
        }
    }

    private void succeed(final EndpointState endpoint, final Delivery delivery, final long durationUs) {
        final Route route = endpoint.route;
        final int classIndex = delivery.message.messageClass();
        addServiceTime(route, delivery, durationUs);
        route.served++;
        endpoint.lastServedUs = nowUs;
        endpoint.failures[classIndex] = 0;
        endpoint.avoidUntilUs[classIndex] = 0;
        route.failureRun = 0;
        route.timeoutFactor = Math.max(1, route.timeoutFactor - TIMEOUT_STRETCH * MIN_WEIGHT);
        route.failureShare -= FAILURE_SHARE_WEIGHT * route.failureShare;
        if (route.phase == Phase.PROBE) {
            route.phase = Phase.WARMUP;
            route.warmupFromUs = nowUs;
            route.warmupIntervalUs = backoffUs(route, nowUs);
            route.failureShare = 0;
        }
        route.failingSinceUs = NEVER;
    }

    /** False for a limit far below the list's (it would stop a route) or none after one (it would flood). */
    private static boolean isPlausible(final Route route, final double rate) {
        return rate > 0 ? rate >= LIMIT_FLOOR * route.listedLimit : !route.exactRate || route.rateLimit <= 0;
    }

    private void detectOutage(final Route route, final double weight) {
        route.failureRun += weight;
        final boolean outage =
                route.failureRun + overdueCalls(route) >= OUTAGE_RUN || route.failureShare > OUTAGE_SHARE;
        if (outage && route.phase != Phase.PROBE) {
            route.phase = Phase.PROBE;
            impairedRoutes.add(route);
            route.endpoints.forEach(endpoint -> endpoint.fullUntilUs = 0);
            route.window = MIN_WINDOW;
            route.failingSinceUs = Math.min(route.failingSinceUs, nowUs);
            route.nextProbeUs = probeTimeUs(route);
        }
    }

    /** Counts overdue calls whose endpoint has had no success since they were sent: it may be silent. */
    private int overdueCalls(final Route route) {
        int count = 0;
        for (final Call call : route.calls) {
            if (nowUs >= call.overdueUs() && call.endpoint.lastServedUs < call.sentUs) {
                Arrays.fill(call.endpoint.avoidUntilUs, nowUs + ENDPOINT_AVOID_US);
                impairedRoutes.add(route);
                count++;
            }
        }
        return count;
    }

    /** While all slots are taken and a HEALTHY route could use one, cancels the oldest overdue call. */
    private void reclaimSlot() {
        // Hung, stalled or very slow calls must not take all slots. The cost: it might still be answered.
        if (inFlight < limits.maxCalls() || !limits.canCancel()) {
            return;
        }
        final Call oldest = busy.values().stream()
                .flatMap(destination -> destination.routes.stream())
                .flatMap(route -> route.calls.stream())
                .filter(call -> !call.cancelled && nowUs >= call.overdueUs())
                .min(Comparator.comparingLong(call -> call.sentUs))
                .orElse(null);
        if (oldest != null && busy.values().stream().anyMatch(one -> nextDelivery(one, false) != null)) {
            oldest.cancelled = true;
            deliveries.values().stream()
                    .filter(delivery -> delivery.call == oldest)
                    .forEach(delivery -> actions.cancel(delivery.message.id(), delivery.attempts - 1));
        }
    }

    /**
     * A failing route backs off for as long as it has failed, at most for the interval between its messages
     * (or calls at this courier's even part of the limit): all couriers, however many, call no more often
     * than messages come. The cost: a message may wait for longer than the failure lasts.
     */
    private long backoffUs(final Route route, final long atUs) {
        return (long) Math.min(Math.max(MIN_BACKOFF_US, atUs - route.failingSinceUs), callIntervalUs(route));
    }

    /** Interval between this courier's messages for a route, or calls at its even part of the limit. */
    private double callIntervalUs(final Route route) {
        final double limit = route.rateLimit > 0 ? route.rateLimit : UNKNOWN_LIMIT_PER_S;
        return SECOND_US / Math.max(route.servedRate, limit / settings.fleetSize());
    }

    /** Time of the next probe: probes have a rate of overloadShare(0) divided by the age of the outage. */
    private long probeTimeUs(final Route route) {
        // So all couriers' probes, however many, stay near that share (it overloads a cold destination).
        final long fromUs = Math.max(nowUs, route.retryAfterUntilUs);
        final double ageUs = Math.max(MIN_BACKOFF_US, fromUs - route.failingSinceUs);
        final double gapUs = ageUs * (Math.pow(1 - random.nextDouble(), -1 / overloadShare(0)) - 1);
        return fromUs + (long) Math.min(gapUs, jitter((long) (callIntervalUs(route) / overloadShare(0))));
    }

    /** The load that overloads a destination after so much warmup, as a share of its full capacity. */
    private double overloadShare(final long warmingUs) {
        final double coldShare = rules.coldCapacityShare();
        final double warmShare = (double) warmingUs / Math.max(1, rules.warmupUs());
        return rules.overloadMultiple() * (coldShare + (1 - coldShare) * clamp(warmShare, 0, 1));
    }

    private void addServiceTime(final Route route, final Delivery delivery, final long durationUs) {
        final int classIndex = delivery.message.messageClass();
        final double ratio = durationUs / Math.max(1, classMeanUs[classIndex]);
        route.latencyRatioSum += ratio;
        final double weight = Math.max(MIN_WEIGHT, 1.0 / ++classSamples[classIndex]);
        classMeanUs[classIndex] +=
                weight * (durationUs / Math.max(MIN_SLOWDOWN, route.slowdown) - classMeanUs[classIndex]);
        route.slowdown += Math.max(MIN_WEIGHT, 1.0 / (1 + ++route.latencySamples)) * (ratio - route.slowdown);
    }

    private double expectedUs(final Route route, final Delivery delivery) {
        return classMeanUs[delivery.message.messageClass()] * Math.max(MIN_SLOWDOWN, route.slowdown);
    }

    private long jitter(final long us) {
        return (long) (us * (1 - JITTER_SHARE + 2 * JITTER_SHARE * random.nextDouble()));
    }

    private static double clamp(final double value, final double min, final double max) {
        return Math.max(min, Math.min(max, value));
    }

    private long timeoutUs(final Route route, final Delivery delivery) {
        final double expectedUs = expectedUs(route, delivery);
        final long remainingUs = delivery.message.latestEndUs() - nowUs;
        final double minUs = Math.min(MIN_TIMEOUT_US, MIN_TIMEOUT_SHARE * delivery.messageClass.deadlineUs());
        double timeoutUs = Math.max(minUs, TIMEOUT_FACTOR * route.timeoutFactor * expectedUs);
        if (delivery.messageClass.effect() == Effect.UNSAFE) {
            return remainingUs;
        }
        if (delivery.messageClass.effect() == Effect.KEYED && !delivery.mayHaveTakenEffect) {
            // Leaves time for a retry in the window; if that is too short for both, one call may use it.
            final double windowUs = (1 - KEY_WINDOW_MARGIN_SHARE) * delivery.messageClass.dedupWindowUs();
            final double firstUs = windowUs - Math.min(RETRY_RESERVE_US, windowUs / 2);
            timeoutUs = firstUs < STOP_FACTOR * expectedUs ? timeoutUs : Math.min(timeoutUs, firstUs);
        }
        return remainingUs - timeoutUs < expectedUs ? remainingUs : (long) timeoutUs;
    }

    /** Detects outages by overdue calls, ends warmups, and ends messages out of time or attempts. */
    private void checkTimes() {
        for (final DestinationState destination : List.copyOf(busy.values())) {
            for (final Route route : destination.routes) {
                detectOutage(route, 0);
                if (route.phase == Phase.WARMUP && nowUs - route.warmupFromUs > rules.warmupUs()) {
                    route.phase = Phase.HEALTHY;
                }
            }
            if (nowUs >= firstEndUs(destination)) {
                endExpired(destination);
            }
        }
    }

    private void endExpired(final DestinationState destination) {
        for (final Delivery delivery : List.copyOf(destination.waiting)) {
            if (nowUs >= endUs(delivery) || !maySend(delivery)) {
                // The client should not retry before the queue that waits now is served.
                endUndelivered(delivery, Math.max(MIN_BACKOFF_US, destination.queueUs()));
            }
        }
    }

    private long firstEndUs(final DestinationState destination) {
        if (destination.firstEndUs == UNKNOWN) {
            destinations.countExaminedMessages(destination.waiting.size());
            destination.firstEndUs = destination.waiting.stream()
                    .mapToLong(delivery -> maySend(delivery) ? endUs(delivery) : nowUs)
                    .min()
                    .orElse(NEVER);
        }
        return destination.firstEndUs;
    }

    private long endUs(final Delivery delivery) {
        return Math.min(delivery.message.latestEndUs() - END_MARGIN_US, delivery.keyEndUs());
    }

    private boolean maySend(final Delivery delivery) {
        final Effect effect = delivery.messageClass.effect();
        return DeliveryRules.mayRepeat(effect, delivery.mayHaveTakenEffect, nowUs < delivery.keyEndUs())
                && delivery.attempts < limits.maxAttempts();
    }

    private static boolean mayRefuse(final Delivery delivery) {
        return DeliveryRules.mayRefuse(delivery.messageClass, delivery.mayHaveTakenEffect);
    }

    private void endUndelivered(final Delivery delivery, final long retryAfterUs) {
        if (mayRefuse(delivery)) {
            actions.refuse(delivery.message.id(), Math.min(retryAfterUs, limits.maxRetryAfterUs()));
        } else {
            actions.fail(delivery.message.id());
        }
        end(delivery);
    }

    private void end(final Delivery delivery) {
        open -= delivery.ended ? 0 : 1;
        delivery.ended = true;
        delivery.destination.dequeue(delivery);
        if (delivery.call == null) {
            if (delivery.keyQueue != null && !delivery.keyQueue.notices.contains(delivery.message.id())) {
                delivery.keyQueue.messageIds.remove(delivery.message.id());
            }
            deliveries.remove(delivery.message.id());
            if (--delivery.destination.openMessages == 0) {
                busy.remove(delivery.message.destination());
            }
        }
    }

    /** Load shedding: refuses the least valuable messages before the store is full and rejects new ones. */
    private void shedMessages() {
        final int reserve = (int) Math.max(1, STORE_RESERVE_SHARE * limits.maxOpenMessages());
        while (open > limits.maxOpenMessages() - reserve) {
            final Delivery leastValuable = busy.values().stream()
                    .flatMap(destination -> destination.waiting.stream())
                    .filter(Control::mayRefuse)
                    .min(Comparator.comparingDouble(this::valueAfterQueue))
                    .orElse(null);
            if (leastValuable == null) {
                return;
            }
            endUndelivered(leastValuable, SECOND_US);
        }
    }

    private double valueAfterQueue(final Delivery delivery) {
        return valueAt(delivery, Math.min(nowUs + delivery.destination.queueUs(), delivery.keyEndUs() - 1));
    }

    /** Meters a tenant at this courier's even part of its quota; true for a message beyond it and a burst. */
    private boolean overQuota(final int tenant) {
        final double total = tenant < 0 ? 0 : settings.tenants().get(tenant).quotaPerSecond();
        final double quota = total / settings.fleetSize();
        if (quota <= 0 || quotaUsedUntilUs[tenant] > nowUs + QUOTA_BURST_MESSAGES * SECOND_US / quota) {
            return quota > 0;
        }
        quotaUsedUntilUs[tenant] = Math.max(quotaUsedUntilUs[tenant], nowUs) + (long) (SECOND_US / quota);
        return false;
    }

    private void scheduleWake() {
        long next = Math.min(nextStepUs, listRetryUs);
        for (final DestinationState destination : busy.values()) {
            for (final Route route : destination.routes) {
                for (final Call call : route.calls) {
                    next = Math.min(next, call.overdueUs() > nowUs ? call.overdueUs() : NEVER);
                }
                if (!destination.waiting.isEmpty()) {
                    next = Math.min(next, Math.max(nextCallUs(route), nowUs + POLL_INTERVAL_US));
                }
            }
            next = Math.min(next, firstEndUs(destination));
        }
        wakesUs.headSet(nowUs + 1).clear();
        if (wakesUs.isEmpty() || wakesUs.first() > next) {
            wakesUs.add(Math.max(nowUs + 1, next));
            actions.wakeAfter(wakesUs.first() - nowUs);
        }
    }

    @Override
    public void onListUpdate(final long now, final ListUpdate update, final List<Endpoint> entries) {
        nowUs = now;
        if (update == ListUpdate.UNAVAILABLE) {
            subscribed = false;
            listRetryUs = nowUs + jitter(listBackoffUs);
            listBackoffUs = Math.min(2 * listBackoffUs, MAX_LIST_BACKOFF_US);
            return;
        }
        listRetryUs = NEVER;
        listBackoffUs = MIN_LIST_BACKOFF_US;
        destinations.update(update, entries);
    }

    @Override
    public void onOverride(final long now, final long id, final boolean disabled, final long enabledUs) {
        nowUs = now;
        final EndpointState endpoint = destinations.endpoint(id);
        if (endpoint == null) {
            return;
        }
        impairedRoutes.add(endpoint.route);
        if (disabled && !endpoint.disabled) {
            // Operators restart it: its connections will be closed when it is back.
            endpoint.connections = 0;
            actions.closeIdleConnections(id);
        }
        endpoint.disabled = disabled;
        endpoint.enabledUs = disabled ? 0 : enabledUs;
    }

    private Route newRoute(final DestinationKind kind) {
        return new Route(kind, settings.fleetSize() <= SMALL_FLEET ? INITIAL_WINDOW : LARGE_FLEET_WINDOW);
    }

    /** Subscribes to the list where it must be requested: once at the start, and again after a loss. */
    private void subscribeIfDue() {
        if (settings.listOnRequest() && (listRetryUs == NEVER ? !subscribed : nowUs >= listRetryUs)) {
            subscribed = true;
            listRetryUs = nowUs + Math.min(MAX_LIST_BACKOFF_US, rules.listRequestDeadlineUs() / 2);
            actions.subscribeToList();
        }
    }

    /** A destination: the messages that wait for it, and its routes (one, unless its routes are separate). */
    static final class DestinationState {
        private final List<Delivery> waiting = new ArrayList<>();
        final List<Route> routes = new ArrayList<>();
        int openMessages;
        /** When the first waiting message ends; UNKNOWN if the queue has changed since it was computed. */
        private long firstEndUs = NEVER;

        long lastStep;

        private void enqueue(final Delivery delivery) {
            waiting.add(delivery);
            firstEndUs = UNKNOWN;
        }

        private void dequeue(final Delivery delivery) {
            if (waiting.remove(delivery)) {
                firstEndUs = UNKNOWN;
            }
        }

        /** Time that the queue takes at the rate at which its routes are served. */
        private long queueUs() {
            final double rate = Math.max(
                    MIN_QUEUE_RATE_PER_S,
                    routes.stream().mapToDouble(route -> route.servedRate).sum());
            return (long) (waiting.size() / rate * SECOND_US);
        }
    }

    /** A destination, or one of its separate routes, with its own window and calls. */
    static final class Route extends RouteState {
        final DestinationKind destinationKind;
        final List<EndpointState> endpoints = new ArrayList<>();
        private final List<Call> calls = new ArrayList<>();
        /** Counts of this step: most calls in flight at once, and outcomes. */
        private int peakCalls, refused, served, failed, errors;

        private double latencyRatioSum;
        private ReportedLimit reportedLimit;
        double listedLimit;
        /** The remaining share of the limit in its last report, and when that came. */
        private double remainingShare = 1;

        private long reportedUs;

        private Route(final DestinationKind destinationKind, final double window) {
            this.destinationKind = destinationKind;
            this.window = window;
        }
    }

    /** An endpoint that this courier has state for. */
    static final class EndpointState {
        final Endpoint entry;
        final Route route;
        Condition condition;
        /** Disabled by operators; and since when it is enabled again, 0 if it never was disabled. */
        private boolean disabled;

        private long enabledUs;
        int inFlight, connections;
        /** Failures in a row of each message class, and until when that class avoids this endpoint. */
        final int[] failures;

        final long[] avoidUntilUs;
        /** Until when it is assumed to have no room for idle connections. */
        private long fullUntilUs;

        private long lastUseUs, lastSendUs, lastServedUs;

        EndpointState(final Endpoint entry, final Route route, final int classes) {
            this.failures = new int[classes];
            this.avoidUntilUs = new long[classes];
            this.entry = entry;
            this.route = route;
        }
    }

    /** A call in flight, with one or more messages; it is not overdue before it is {@code graceUs} old. */
    private static final class Call {
        private EndpointState endpoint;
        private int messages;
        private long sentUs, expectedUs, idleUs, graceUs = MIN_OVERDUE_US;
        private boolean cancelled;
        private final Set<Result> results = EnumSet.noneOf(Result.class);

        private void add(final Delivery delivery, final long deliveryUs) {
            expectedUs = Math.max(expectedUs, deliveryUs);
            graceUs = (long) Math.min(graceUs, MIN_OVERDUE_SHARE * delivery.messageClass.deadlineUs());
            delivery.call = this;
        }

        private long overdueUs() {
            return sentUs + Math.max(graceUs, (long) (OVERDUE_FACTOR * expectedUs));
        }
    }

    /** An open message, or one that has ended but still has an attempt in flight. */
    private static final class Delivery {
        private final Message message;
        private final MessageClass messageClass;
        private final long targetUs;
        private DestinationState destination;
        private KeyQueue keyQueue;
        private Call call;
        /** The route it may use, and its priority, when last examined. */
        private Route route;

        private double sendPriority;
        private int attempts;
        private boolean overQuota, mayHaveTakenEffect, ended;
        private long firstEffectUs = NEVER;
        private String effectZone = "";

        private Delivery(final Message message, final MessageClass messageClass) {
            this.message = message;
            this.messageClass = messageClass;
            this.targetUs = message.validUntilUs() - messageClass.deadlineUs() + messageClass.targetUs();
        }

        /** Until when it may be sent: its deadline, or its dedup window's end if its key may be in use. */
        private long keyEndUs() {
            final long windowUs = (long) ((1 - KEY_WINDOW_MARGIN_SHARE) * messageClass.dedupWindowUs());
            return !mayHaveTakenEffect || messageClass.effect() != Effect.KEYED
                    ? message.validUntilUs()
                    : Math.min(message.validUntilUs(), firstEffectUs + windowUs);
        }
    }

    /** The messages of one key in the order accepted; {@code notices}: ended, with an unanswered notice. */
    private static final class KeyQueue {
        private final List<String> messageIds = new ArrayList<>();
        private final Set<String> notices = new HashSet<>();
        private long blockedUntilUs;
    }
}
