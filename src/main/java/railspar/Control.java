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
 * Every decision of one courier; its interface is {@code Courier.java}. How it decides, from the top:
 * <ol>
 * <li>A message waits here until its destination lets it go; one attempt at a time, ended once and in time.
 * <li>Each destination (each route, where routes are apart) is a {@link Route}: a window on calls in flight.
 * <li>Once a second the paper's Table I moves the window from latency and refusals ({@link #step}).
 * <li>Of the messages that may go, the one that loses most by waiting goes first ({@link #urgency}), to the
 * endpoint with least of ours in flight, recent trouble, handshakes and zones to cross ({@link #choose}).
 * <li>A told wait is heeded by the whole lane; a refusal without one makes the lane pause by itself.
 * <li>A lane that returns nothing but trouble is OUT: single trials, as many as a cold one bears; after the
 * first success it is on a RAMP, paced under the tipping rate until it is surely warm.
 * <li>What can be in time no more, or gains least when the store is full, is refused where that is harmless.
 * <li>The list is followed; nothing new goes to an endpoint that drains or is gone.
 * </ol>
 */
public final class Control implements Courier {

    private static final long SECOND_US = 1_000_000;

    // The window (DESIGN; the paper's section V).
    /** Floor of a window, calls: a lane must always be able to learn. */
    private static final double WINDOW_FLOOR = 1;
    /** A new lane's window, calls: one slow answer may not block it; in a large fleet clumps come first. */
    private static final double WINDOW_START = 2;

    private static final double WINDOW_RARE = 4;
    /** Shares of the slots that one lane may hold, healthy and sick: the design's. */
    private static final double HEALTHY_SHARE = 0.75;

    private static final double SICK_SHARE = 0.5;
    /** A share, nearer High than Medium: an input above it makes a lane sick for a step. */
    private static final double SLOW_INPUT = 0.75;
    /** Samples at the average, mixed into a step's mean latency: two or three answers say little. */
    private static final double LATENCY_PRIOR = 2;
    /** Share of a window that must be used for it to grow: unused room has proved nothing. */
    private static final double USED_SHARE = 0.5;

    // Service times.
    /** Least weight of a new sample, or of a step, in a slow average: about ten of memory. */
    private static final double SAMPLE_WEIGHT = 0.1;
    /** Steps after which that weight holds, and a little more. */
    private static final long STEPS_AVERAGED = 12;
    /** Service time of a class before any was seen, as a share of its aim: the aim was set to be met. */
    private static final double UNSEEN_SHARE = 0.25;
    /** Least pace of a lane, times the usual: no answer is so quick that the next must be quicker still. */
    private static final double PACE_LEAST = 0.1;
    /** A call is overdue after so many times what is expected (one in 150, by chance), and so long, us. */
    private static final double OVERDUE_TIMES = 5;

    private static final long OVERDUE_LEAST_US = SECOND_US;
    /** A call begun before a stop has so many times what is expected left (chance cuts off one in seven). */
    private static final double STOP_TIMES = 2;
    /** A time-out, in times what is expected, and at least so long, us: wide enough for a long tail. */
    private static final double TIMEOUT_TIMES = 8;

    private static final long TIMEOUT_LEAST_US = 2 * SECOND_US;
    /** Share of a class's deadline that this takes at most, and an overdue call's least: room for tries. */
    private static final double TIMEOUT_SHARE = 0.4;

    private static final double OVERDUE_SHARE = 0.2;
    /** What a repeat is left of its key's window, us, where that is long enough for both. */
    private static final long AGAIN_US = SECOND_US / 2;
    /** After a time-out, the next ones are so many times as wide: it may have been slowness, not silence. */
    private static final double STRETCH = 3;

    // Refusals and outages.
    /** Least pause of a lane after a refusal, us: limits are counted over spans of about a second. */
    private static final long PAUSE_US = SECOND_US / 2;
    /** After refusals, sends go at so many times the rate served and so many a second more: room may come. */
    private static final double SPACING = 1.2;

    private static final double SPACING_LEAST = 0.5;
    /** Of so many couriers each may add that much; more of them share what these may add together. */
    private static final double SPACING_COURIERS = 3;
    /** Even parts of a reported limit for one courier: with nothing left, and how many more with all left. */
    private static final double PART_LEAST = 0.85;

    private static final double PART_GROWTH = 6;
    /** How sharply: near the middle little, so that they do not swing with news that is a second old. */
    private static final double PART_POWER = 4;
    /** Growth of a reported rest, a second, for a single courier: of many, others use it meanwhile. */
    private static final double REFILL = 2;
    /** With more of a limit left, spacing gives way by so many times a second: one of few would swing it. */
    private static final double LEFT_HIGH = 0.8;

    private static final double SPACING_GONE = 2;
    /** Least share of the list's rough figure that a reported limit can be: lowered ones are about half. */
    private static final double LEAST_LIMIT = 0.02;
    /** A told wait above this, us, is no limit's, whose spans are a second or two: it is shut. */
    private static final long LIMIT_WAIT_US = 5 * SECOND_US / 2;
    /** Weights in the run of bad outcomes, where a failure weighs 1: crowding refuses too, errors mix. */
    private static final double REFUSED_WEIGHT = 0.5;

    private static final double ERROR_WEIGHT = 0.4;
    /** A run of this weight without success is an outage; so is this share of failures: most, and chance. */
    private static final double OUT_WEIGHT = 3;

    private static final double OUT_SHARE = 0.6;
    /** Weight of a call in that share: about eight calls of memory. */
    private static final double FAIL_WEIGHT = 0.12;
    /** Messages a second: a limit where none is told (a default); least rate at which a line is reckoned. */
    private static final double UNTOLD_LIMIT = 1;

    private static final double LEAST_RATE = 0.25;
    /** An endpoint that failed is left alone so long, us; after that its failures in a row count as calls. */
    private static final long AVOID_US = SECOND_US;
    /** A failure's weight in a large fleet: what each sends before it is sure of an outage comes times it. */
    private static final double FLEET_FAILURE_WEIGHT = 1.5;
    /** Share by which gaps are drawn longer or shorter, so that couriers do not keep step. */
    private static final double JITTER = 0.2;

    // Choice.
    /** What a handshake and a crossing of zones weigh in the choice of an endpoint, in calls in flight. */
    private static final double HANDSHAKE_LOAD = 0.8;

    private static final double CROSS_LOAD = 0.6;
    /** Chance that a message put off is served after all, in a short line; half of it in a long one. */
    private static final double KEPT = 0.9;
    /** How far ahead a line is looked along, us: the next call at least, and what fades at most. */
    private static final long HORIZON_LEAST_US = SECOND_US;

    private static final long HORIZON_MOST_US = 10 * SECOND_US;
    /** Share of worth beyond a quota, of which we see a part; messages in a burst that chance may bring. */
    private static final double OVER_QUOTA = 0.25;

    private static final double QUOTA_BURST = 10;
    /** Share of the store that is kept free by refusing what has least to gain: the door refuses blindly. */
    private static final double STORE_RESERVE = 0.05;
    /** A message ends so long before its time, us: two rounds; share of a key's window not used: clocks. */
    private static final long END_MARGIN_US = 12_000;

    private static final double KEY_MARGIN = 0.05;
    /** Growth a second of the idle time that connections are trusted to bear: a minute trebles it. */
    private static final double TRUST_GROWTH = 1.02;
    /** Share of the idle close that is trusted whatever fails: so short an idleness kills no connection. */
    private static final double TRUST_LEAST = 0.125;
    /** Couriers that each meet all destinations often, and may all keep idle connections. A default. */
    private static final int FEW_COURIERS = 6;
    /** How long a connection may wait for its next use, us; and where there is no room, in calls' time. */
    private static final double REUSE_US = 5 * SECOND_US;

    private static final double REUSE_CALLS = 2;
    /** First and longest back-off of asking for the list again, us: soon, but without burdening it. */
    private static final long ASK_LEAST_US = SECOND_US / 2;

    private static final long ASK_MOST_US = 3 * SECOND_US;
    /** How soon a message that an endpoint or a key holds back is looked at again, us. */
    private static final long POLL_US = 20_000;

    private static final long NEVER = RouteState.NEVER;
    private static final long UNKNOWN = Long.MIN_VALUE;

    private final Settings settings;
    private final Limits limits;
    private final RuleParameters guarantees;
    private final Actions actions;
    private final Random random;
    private final DestinationTable destinations;
    /** Lanes of which some endpoint may get nothing now. */
    private final Set<Route> troubled = new LinkedHashSet<>();
    /** Destinations with messages: all that a decision looks at, however long the list is. */
    private final Map<Long, DestinationState> busy = new TreeMap<>();

    private final Map<String, Delivery> jobs = new LinkedHashMap<>();
    private final Map<String, KeyQueue> keys = new LinkedHashMap<>();
    private final double[] classMeanUs;
    private final int[] classSamples;
    private final long[] quotaUs;
    private final TreeSet<Long> wakes = new TreeSet<>();
    private int callsOut, open;
    private double trustUs;
    private long nowUs, nextStepUs, stopUs = NEVER;
    private boolean subscribed;
    private long askAgainUs = NEVER, askBackOffUs = ASK_LEAST_US;

    /** A courier that knows nothing yet but its settings; {@code seed} is its only source of chance. */
    public Control(final Settings settings, final long seed, final Actions actions) {
        this(settings, seed, actions, new EndpointMap(), Integer.MAX_VALUE);
    }

    /** As above, with the host's list, and what is learned of at most so many destinations at rest. */
    public Control(
            final Settings settings,
            final long seed,
            final Actions actions,
            final Directory directory,
            final int mostResting) {
        this.settings = settings;
        this.destinations = new DestinationTable(
                settings, directory, mostResting, this::newLane, this::step, this::rest, this::isSettled);
        this.limits = settings.limits();
        this.guarantees = settings.ruleParameters();
        this.actions = actions;
        this.random = new Random(seed);
        this.classMeanUs = settings.classes().stream()
                .mapToDouble(k -> UNSEEN_SHARE * k.targetUs())
                .toArray();
        this.classSamples = new int[classMeanUs.length];
        this.trustUs = limits.idleTimeoutUs();
        this.quotaUs = new long[settings.tenants().size()];
    }

    // ---------------------------------------------------------------- events

    @Override
    public void onMessage(final long now, final Message message) {
        nowUs = now;
        final Delivery job = new Delivery(message, settings.classes().get(message.messageClass()));
        jobs.put(message.id(), job);
        open++;
        job.overQuota = overQuota(message.tenant());
        job.destination = destinations.activate(message.destination());
        job.destination.enqueue(job);
        job.destination.openMessages++;
        busy.put(message.destination(), job.destination);
        if (job.kind.ordered() && message.key() != null) {
            job.line = keys.computeIfAbsent(message.key(), key -> new KeyQueue());
            job.line.ids.add(message.id());
        }
    }

    @Override
    public void onNoticePending(final long now, final String messageId, final String key) {
        nowUs = now;
        final KeyQueue line = keys.computeIfAbsent(key, unused -> new KeyQueue());
        line.owed.add(messageId);
        if (!line.ids.contains(messageId)) {
            line.ids.add(messageId);
        }
    }

    @Override
    public void onNoticeAnswered(final long now, final String messageId, final String key) {
        nowUs = now;
        final KeyQueue line = keys.get(key);
        if (line != null && line.owed.remove(messageId)) {
            line.ids.remove(messageId);
        }
    }

    @Override
    public void onMessageResumed(final long now, final Message message, final AttemptHistory past) {
        onMessage(now, message);
        final Delivery job = jobs.get(message.id());
        job.attempts = past.attempts();
        job.mayHaveRun = past.mayHaveTakenEffect();
        if (job.mayHaveRun) {
            job.firstRunUs = past.firstEffectUs();
            job.runZone = past.effectZone();
            if (job.line != null) {
                job.line.restUntilUs = nowUs + guarantees.orderingDelayUs();
            }
        }
        final EndpointState node = past.inheritedCall() == null
                ? null
                : destinations.endpoint(past.inheritedCall().endpoint());
        if (node != null) {
            goesOn(job, node, past.inheritedCall().sentUs());
        }
    }

    /** A call of the process before this one holds slot and place; messages sent at once share one. */
    private void goesOn(final Delivery job, final EndpointState node, final long sentUs) {
        final int most = node.route.destinationKind.messagesPerCall();
        final Call call = node.route.calls.stream()
                .filter(one -> one.node == node && one.sentUs == sentUs && one.messages < most)
                .findFirst()
                .orElseGet(Call::new);
        if (call.messages++ == 0) {
            call.node = node;
            call.sentUs = sentUs;
            callsOut++;
            node.callsInFlight++;
            node.route.calls.add(call);
        }
        call.carry(job, (long) expectedUs(node.route, job));
        job.destination.dequeue(job);
    }

    @Override
    public void onAttemptInterrupted(final long now, final String messageId) {
        nowUs = now;
        final Delivery job = jobs.get(messageId);
        if (job != null && job.call != null) {
            settle(job, Result.CANCELLED);
            goOn(job, false);
        }
    }

    @Override
    public EndpointSnapshot snapshot(final long now, final long endpoint) {
        final Map<String, Double> figures = new TreeMap<>();
        final Map<String, Long> times = new TreeMap<>();
        final EndpointState node = destinations.knownEndpoint(endpoint);
        if (node != null) {
            final Route lane = node.route;
            lane.writeTo(figures, times);
            for (int kind = 0; kind < classMeanUs.length; kind++) {
                figures.put("mean." + kind, classMeanUs[kind]);
                figures.put("samples." + kind, (double) classSamples[kind]);
                figures.put("bad." + kind, (double) node.badRun[kind]);
                times.put("avoid." + kind, node.avoidUntilUs[kind]);
            }
            times.values().removeIf(us -> us == 0);
        }
        return new EndpointSnapshot(figures, times);
    }

    @Override
    public void onEndpointSnapshot(final long now, final long endpoint, final EndpointSnapshot standing) {
        nowUs = now;
        final EndpointState node = standing.values().isEmpty() ? null : destinations.endpoint(endpoint);
        if (node == null) {
            return;
        }
        final Map<String, Long> times = standing.timesUs();
        final Route lane = node.route;
        lane.readFrom(standing.values(), times);
        for (int kind = 0; kind < classMeanUs.length; kind++) {
            classMeanUs[kind] = standing.values().getOrDefault("mean." + kind, classMeanUs[kind]);
            classSamples[kind] =
                    standing.values().getOrDefault("samples." + kind, 0.0).intValue();
            node.badRun[kind] =
                    standing.values().getOrDefault("bad." + kind, 0.0).intValue();
            node.avoidUntilUs[kind] = times.getOrDefault("avoid." + kind, 0L);
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
        final Delivery job = jobs.get(outcome.messageId());
        if (job == null || job.call == null) {
            return;
        }
        final Call call = settle(job, outcome.result());
        judge(call.node, call, job, outcome);
        goOn(job, outcome.isFinal());
    }

    @Override
    public void onRetryAfter(final long now, final long endpoint, final long waitUs) {
        nowUs = now;
        Optional.ofNullable(destinations.endpoint(endpoint)).ifPresent(node -> wait(node.route, waitUs));
    }

    private void wait(final Route lane, final long waitUs) {
        lane.retryAfterUntilUs = Math.max(lane.retryAfterUntilUs, nowUs + waitUs);
    }

    /** With no attempt out: a message that is over ends, another waits for its next turn. */
    private void goOn(final Delivery job, final boolean over) {
        if (over || job.over) {
            end(job);
        } else {
            job.destination.enqueue(job);
        }
    }

    /** An attempt is out no more: what that says of the message, and what it frees. */
    private Call settle(final Delivery job, final Result result) {
        final Call call = job.call;
        final EndpointState node = call.node;
        job.call = null;
        if (!result.hadNoEffect()) {
            job.mayHaveRun = true;
            job.firstRunUs = Math.min(job.firstRunUs, call.sentUs);
            job.runZone = node.entry.zone();
            if (job.line != null && !result.isAnswered()) {
                job.line.restUntilUs = nowUs + guarantees.orderingDelayUs();
            }
        }
        if (--call.messages == 0) {
            callsOut--;
            node.callsInFlight--;
            node.route.calls.remove(call);
            node.lastUseUs = nowUs;
            shareConnections(node, call);
        }
        return call;
    }

    @Override
    public void onExpired(final long now, final String messageId) {
        nowUs = now;
        Optional.ofNullable(jobs.get(messageId)).ifPresent(this::end);
    }

    @Override
    public void decide(final long now) {
        nowUs = now;
        nextStepUs = nextStepUs == 0 ? nowUs + SECOND_US : nextStepUs;
        if (nowUs >= nextStepUs) {
            destinations.step();
            trustUs = Math.min(limits.idleTimeoutUs(), TRUST_GROWTH * trustUs);
            keys.values().removeIf(line -> line.ids.isEmpty() && line.restUntilUs <= nowUs);
            nextStepUs += SECOND_US * ((nowUs - nextStepUs) / SECOND_US + 1);
        }
        keepList();
        watch();
        dispatch();
        reclaimSlot();
        makeRoom();
        sleep();
    }

    @Override
    public String describe(final long id) {
        final StringBuilder text = new StringBuilder("slots ").append(callsOut + "/" + limits.maxCalls());
        final DestinationState destination = destinations.get(id);
        if (destination != null) {
            text.append(", waiting ").append(destination.waiting.size());
            destination.routes.forEach(lane -> text.append("; " + lane.destinationKind.name() + " ")
                    .append(lane.describe(lane.calls.size() + "/" + cap(lane), nowUs)));
        }
        return text.toString();
    }

    @Override
    public int avoidedEndpoints(final long now) {
        int count = 0;
        for (final Route lane : List.copyOf(troubled)) {
            final long avoided = lane.endpoints.stream()
                    .filter(node -> node.condition != Condition.GONE && isAvoided(node, now))
                    .count();
            count += (int) avoided;
            if (avoided == 0) {
                troubled.remove(lane);
            }
        }
        return count;
    }

    /** What is held and how much was visited so far. */
    public Workload workload() {
        return destinations.workload();
    }

    private static boolean isAvoided(final EndpointState node, final long now) {
        return node.out
                || node.route.phase == Phase.PROBE
                || Arrays.stream(node.avoidUntilUs).allMatch(untilUs -> untilUs > now);
    }

    // ---------------------------------------------------------------- dispatch

    /** Sends, best first, until no slot is free or no message may go; a send changes its destination only. */
    private void dispatch() {
        final Map<DestinationState, Delivery> candidates = new LinkedHashMap<>();
        while (callsOut < limits.maxCalls()) {
            if (candidates.isEmpty()) {
                busy.values().forEach(destination -> candidates.put(destination, best(destination, true)));
            }
            Delivery best = null;
            for (final Delivery job : candidates.values()) {
                best = job != null && (best == null || job.urgency > best.urgency) ? job : best;
            }
            if (best == null) {
                return;
            }
            send(best, best.lane);
            candidates.put(best.destination, best(best.destination, true));
        }
    }

    /** The most urgent of a destination's messages that may go (with trials or without), or null. */
    private Delivery best(final DestinationState destination, final boolean trials) {
        Delivery best = null;
        for (final Route lane : destination.routes) {
            final boolean open = openAtUs(lane) <= nowUs && (trials || lane.phase == Phase.HEALTHY);
            destinations.countExaminedMessages(open ? destination.waiting.size() : 0);
            final Delivery job = open ? pick(destination, lane, null) : null;
            best = job != null && (best == null || job.urgency > best.urgency) ? job : best;
        }
        return best;
    }

    /** When a lane's waits, guards and exact limit let a call go; never, while its window is full. */
    private long openAtUs(final Route lane) {
        if (lane.calls.size() >= cap(lane)) {
            return NEVER;
        }
        final boolean exact =
                (settings.weightMeaning() == WeightMeaning.NOMINAL || lane.exactLimit) && lane.rateLimit > 0;
        final double rate = exact ? Math.min(part(lane), lane.sendsPerSecond) : lane.sendsPerSecond;
        final double rampShare = tippingShare(nowUs - lane.warmupFromUs);
        final long guardUs =
                switch (lane.phase) {
                    case HEALTHY -> lane.lastSendUs + (long) (SECOND_US / rate);
                    case PROBE -> lane.calls.isEmpty() ? lane.nextProbeUs : NEVER;
                    case WARMUP -> lane.lastSendUs + (long) (lane.warmupIntervalUs / rampShare);
                };
        return Math.max(guardUs, Math.max(lane.retryAfterUntilUs, lane.backoffUntilUs));
    }

    /**
     * This courier's part of a told limit, a second: its even part, less a little, so that a limit that
     * refused calls use up as well recovers; and more, the more of it was left or may be again by now.
     */
    private double part(final Route lane) {
        final double refilled = REFILL / settings.fleetSize() * (nowUs - lane.leftAtUs) / SECOND_US;
        final double more = PART_GROWTH * Math.pow(Math.min(1, lane.left + refilled), PART_POWER);
        return lane.rateLimit * Math.min(1, (PART_LEAST + more) / settings.fleetSize());
    }

    /** Calls that a lane may have in flight now: its window, within its share of the slots. */
    private int cap(final Route lane) {
        final double share = lane.phase == Phase.HEALTHY && !lane.degraded ? HEALTHY_SHARE : SICK_SHARE;
        return (int) Math.max(1, Math.floor(Math.min(lane.window, share * limits.maxCalls())));
    }

    /** The most urgent message for a lane (a node, if given); trials risk first what is lost anyway. */
    private Delivery pick(final DestinationState destination, final Route lane, final EndpointState node) {
        Delivery best = null;
        int bestRisk = 0;
        double bestUrgency = 0;
        final long lineUs = destination.lineUs();
        for (final Delivery job : destination.waiting) {
            if (!inTurn(job)
                    || !endsInTime(lane, job)
                    || node == null && choose(lane, job) == null
                    || node != null && !zoneAllows(job, node)) {
                continue;
            }
            final double urgency = urgency(lane, job, lineUs);
            final int risk = lane.phase != Phase.PROBE || job.mayHaveRun
                    ? 0
                    : 1 + job.kind.effect().ordinal();
            if (best == null || risk < bestRisk || risk == bestRisk && urgency > bestUrgency) {
                best = job;
                bestRisk = risk;
                bestUrgency = urgency;
                job.lane = lane;
                // With the store over half full some will not be served: slots go where they serve most.
                job.urgency = urgency / (2 * open > limits.maxOpenMessages() ? expectedUs(lane, job) : 1);
            }
        }
        return best;
    }

    /** What a message loses by waiting for as long as its destination's line takes. */
    private double urgency(final Route lane, final Delivery job, final long lineUs) {
        final long horizonUs = (long) clamp(lineUs, HORIZON_LEAST_US, HORIZON_MOST_US);
        final long doneUs = nowUs + (long) expectedUs(lane, job);
        final double kept = KEPT / (1 + (double) horizonUs / HORIZON_MOST_US);
        return worth(job, doneUs) - kept * worth(job, doneUs + horizonUs);
    }

    /** The worth of a message delivered at a given time; a key's window ends it like the deadline does. */
    private double worth(final Delivery job, final long atUs) {
        final MessageClass kind = job.kind;
        if (atUs >= job.keyEndUs()) {
            return 0;
        }
        final double full = kind.value() * (job.overQuota ? OVER_QUOTA : 1);
        final long lateUs = Math.max(0, atUs - job.aimUs);
        if (settings.valueDecay() == ValueDecay.HALVING) {
            final double halvings = (double) lateUs / Math.max(1, kind.targetUs());
            return full * Math.max(kind.lateValue(), Math.pow(0.5, halvings));
        }
        final long fadeUs = Math.max(1, kind.deadlineUs() - kind.targetUs());
        return full * (1 - (1 - kind.lateValue()) * lateUs / fadeUs);
    }

    /** The best endpoint of a lane for a message now, or null. */
    private EndpointState choose(final Route lane, final Delivery job) {
        EndpointState best = null;
        double bestLoad = 0;
        final int kind = job.message.messageClass();
        for (final EndpointState node : lane.endpoints) {
            if (node.condition != Condition.LISTED
                    || node.out
                    || coldUntilUs(node) > nowUs
                    || !zoneAllows(job, node)
                    || lane.phase == Phase.HEALTHY && nowUs < node.avoidUntilUs[kind]) {
                continue;
            }
            final boolean handshake = node.callsInFlight >= node.connections * limits.streamsPerConnection()
                    || node.callsInFlight == 0 && nowUs - node.lastUseUs >= limits.idleTimeoutUs();
            final boolean cross = !node.entry.zone().equals(settings.zone());
            final double near = node.callsInFlight + node.badRun[kind] + (handshake ? HANDSHAKE_LOAD : 0);
            final double load = lane.phase == Phase.PROBE ? node.lastSendUs : near + (cross ? CROSS_LOAD : 0);
            if (best == null || load < bestLoad) {
                best = node;
                bestLoad = load;
            }
        }
        return best;
    }

    /** Until when an endpoint that was put back gets nothing more: it is cold, and may not be tipped. */
    private long coldUntilUs(final EndpointState node) {
        final long sinceUs = nowUs - node.backUs;
        if (node.backUs == 0 || sinceUs > guarantees.warmupUs()) {
            return 0;
        }
        final double apartUs = apartUs(node.route) * node.route.endpoints.size();
        return node.lastSendUs + (long) (apartUs / tippingShare(sinceUs));
    }

    /** False where an earlier attempt may have run and this endpoint would not know the repeat. */
    private static boolean zoneAllows(final Delivery job, final EndpointState node) {
        return !job.mayHaveRun || !job.kind.dedupPerZone() || node.entry.zone().equals(job.runZone);
    }

    /** Rule on order: the first of its key goes, and only after the rest that an open attempt asks for. */
    private boolean inTurn(final Delivery job) {
        final KeyQueue line = job.line;
        return line == null
                || line.ids.get(0).equals(job.message.id()) && (job.mayHaveRun || line.restUntilUs <= nowUs);
    }

    /** False for a call that the end of this process would likely cut off: the next one may send it. */
    private boolean endsInTime(final Route lane, final Delivery job) {
        final double times = job.kind.effect() == Effect.UNSAFE ? OVERDUE_TIMES : STOP_TIMES;
        return stopUs == NEVER || nowUs + times * expectedUs(lane, job) < stopUs;
    }

    /** Sends a message and, where calls are shared, those that wait with it. */
    private void send(final Delivery first, final Route lane) {
        final EndpointState node = choose(lane, first);
        final Call call = new Call();
        call.node = node;
        call.sentUs = nowUs;
        callsOut++;
        lane.calls.add(call);
        lane.peak = Math.max(lane.peak, lane.calls.size());
        if (node.callsInFlight++ == 0) {
            checkIdle(call, node, first);
        }
        final int streams = limits.streamsPerConnection();
        node.connections = Math.max(node.connections, (node.callsInFlight + streams - 1) / streams);
        node.lastSendUs = lane.lastSendUs = nowUs;
        if (lane.phase == Phase.PROBE) {
            lane.nextProbeUs = trialUs(lane);
        }
        Delivery job = first;
        final boolean alone = lane.phase == Phase.PROBE;
        while (job != null) {
            call.messages++;
            call.carry(job, (long) expectedUs(lane, job));
            job.attempts++;
            job.destination.dequeue(job);
            actions.send(job.message.id(), node.entry.id(), timeoutUs(lane, job));
            final boolean full = alone || call.messages >= lane.destinationKind.messagesPerCall();
            job = full ? null : pick(job.destination, lane, node);
        }
    }

    /**
     * An idle connection may be dead without a sign, wherever it died: when a call over one fails where all
     * was well, none idle half as long is used for a while (a quarter, for unsafe ones). Costs handshakes.
     */
    private void checkIdle(final Call call, final EndpointState node, final Delivery job) {
        final long idleUs = nowUs - node.lastUseUs;
        if (node.connections > 0 && idleUs >= trustUs / (job.kind.effect() == Effect.UNSAFE ? 2 : 1)) {
            node.connections = 0;
            actions.closeIdleConnections(node.entry.id());
        } else if (node.connections > 0) {
            call.idleUs = idleUs;
        }
    }

    /**
     * An idle connection takes the place of another courier's: where they are many, it is closed unless its
     * next use is some seconds away at most; and where a well endpoint had no room for one of ours, unless it
     * is near. Guards against refused connections at well endpoints, and against a handshake a call.
     */
    private void shareConnections(final EndpointState node, final Call call) {
        final double reachUs = nowUs < node.fullUntilUs ? REUSE_CALLS * call.expectedUs : REUSE_US;
        final boolean many = settings.fleetSize() > FEW_COURIERS;
        if (many && node.route.servedRate * reachUs / SECOND_US < node.route.endpoints.size()) {
            node.connections = 0;
            actions.closeIdleConnections(node.entry.id());
        }
    }

    // ---------------------------------------------------------------- the fuzzy step

    /** True for a lane without trouble, wait, guard or operator's mark: it may begin anew. */
    private boolean isSettled(final Route lane) {
        final boolean warm = lane.phase == Phase.WARMUP && nowUs - lane.warmupFromUs > guarantees.warmupUs();
        return (warm || lane.phase == Phase.HEALTHY)
                && lane.failingSinceUs == NEVER
                && Math.max(lane.retryAfterUntilUs, lane.backoffUntilUs) <= nowUs
                && lane.endpoints.stream().allMatch(one -> !isAvoided(one, nowUs) && coldUntilUs(one) == 0);
    }

    /** Moves a lane's window by Table I. */
    private void step(final Route lane) {
        final int bad = lane.bad + overdue(lane);
        final int read = lane.served + lane.errors + bad;
        if (lane.phase == Phase.HEALTHY) {
            lane.servedRate += Math.max(SAMPLE_WEIGHT, 1.0 / ++lane.steps) * (lane.served - lane.servedRate);
        }
        if (read > 0) {
            double latency = 0;
            if (lane.served > 0) {
                final double mean = lane.ratioSum / lane.served;
                final double trust = lane.served / (lane.served + LATENCY_PRIOR);
                latency = clamp(trust * (mean / lane.meanLatencyRatio - 1), 0, 1);
                lane.meanLatencyRatio += SAMPLE_WEIGHT * trust * (mean - lane.meanLatencyRatio);
            }
            double refusal = (double) bad / read;
            if (lane.allowance != null && lane.allowance.callsPerSecond() > 0) {
                refusal = Math.max(refusal, 1 - lane.allowance.remainingShare());
            }
            final double change = Math.max(bad == 0 ? 0 : -1, tableOne(latency, clamp(refusal, 0, 1)));
            if (change < 0 || lane.peak >= USED_SHARE * Math.floor(lane.window)) {
                lane.window = clamp(
                        lane.window * (1 + change),
                        WINDOW_FLOOR,
                        Math.max(1, Math.floor(HEALTHY_SHARE * limits.maxCalls())));
            }
            lane.degraded = latency > SLOW_INPUT || refusal > SLOW_INPUT;
        }
        final double least = SPACING_LEAST * Math.min(1, SPACING_COURIERS / settings.fleetSize());
        final double refusing = least + SPACING * Math.max(lane.served, lane.servedRate);
        lane.sendsPerSecond = lane.refused > 0 ? refusing : spacingGrowth(lane) * lane.sendsPerSecond;
        lane.peak = lane.calls.size();
        lane.ratioSum = lane.refused = lane.served = lane.bad = lane.errors = 0;
        lane.allowance = null;
    }

    /** How much sooner each step without refusals lets the next call go. */
    private double spacingGrowth(final Route lane) {
        final boolean room = settings.fleetSize() > FEW_COURIERS && lane.exactLimit && lane.left > LEFT_HIGH;
        return room ? SPACING_GONE : SPACING;
    }

    /** As many steps at rest: once the average of few steps is past, they come to a power. */
    private void rest(final Route lane, final long steps) {
        final long single = Math.min(steps, STEPS_AVERAGED);
        for (long done = 0; done < single; done++) {
            step(lane);
        }
        lane.servedRate *= lane.phase == Phase.HEALTHY ? Math.pow(1 - SAMPLE_WEIGHT, steps - single) : 1;
        lane.sendsPerSecond *= Math.pow(spacingGrowth(lane), steps - single);
    }

    /** Table I, rows by latency, columns by refusals, each Low, Medium, High: places in the outputs. */
    private static final double[] OUTPUTS = {0.4, 0.2, 0, -0.2, -0.4, -0.6};

    private static final int[][] TABLE_ONE = {{0, 1, 3}, {1, 2, 4}, {3, 4, 5}};

    /** The paper's Mamdani controller: triangles, min for AND, max for an output's rules, central average. */
    static double tableOne(final double latency, final double refusal) {
        final double[] union = new double[OUTPUTS.length];
        for (int row = 0; row < TABLE_ONE.length; row++) {
            for (int column = 0; column < TABLE_ONE.length; column++) {
                final double both = Math.min(member(row, latency), member(column, refusal));
                union[TABLE_ONE[row][column]] = Math.max(union[TABLE_ONE[row][column]], both);
            }
        }
        double sum = 0;
        double weights = 0;
        for (int output = 0; output < OUTPUTS.length; output++) {
            sum += OUTPUTS[output] * union[output];
            weights += union[output];
        }
        return sum / weights;
    }

    /** Triangles with their peaks at 0, 0.5 and 1: how Low, Medium or High an input is. */
    private static double member(final int set, final double input) {
        return Math.max(0, 1 - Math.abs(2 * input - set));
    }

    // ---------------------------------------------------------------- health and return from outage

    /** Reads one outcome: service times, the step's inputs, waits, health of the endpoint and the lane. */
    private void judge(final EndpointState node, final Call call, final Delivery job, final Outcome outcome) {
        final Route lane = node.route;
        if (outcome.reportedLimit() != null
                && plausible(lane, outcome.reportedLimit().callsPerSecond())) {
            lane.allowance = outcome.reportedLimit();
            lane.rateLimit = lane.allowance.callsPerSecond();
            lane.leftAtUs = nowUs;
            lane.left = clamp(lane.allowance.remainingShare(), 0, 1);
            lane.exactLimit = true;
        }
        final int kind = job.message.messageClass();
        // The messages of a shared call mostly fare alike: what they tell of the lane's health is told once.
        final boolean news = call.seen.add(outcome.result());
        final boolean first = lane.failingSinceUs == NEVER;
        lane.failingSinceUs = Math.min(lane.failingSinceUs, nowUs);
        // A wait may stand in any answer, also one that delivers some of a call's messages.
        wait(lane, outcome.retryAfterUs());
        switch (outcome.result()) {
            case DELIVERED -> succeed(node, job, outcome.durationUs());
            case REFUSED -> {
                lane.bad++;
                lane.refused++;
                if (!news) {
                    return;
                }
                final long fromUs = Math.max(nowUs, lane.retryAfterUntilUs);
                final long gapUs = patienceUs(lane, fromUs);
                final boolean told = outcome.retryAfterUs() > 0;
                lane.backoffUntilUs = fromUs + (told ? (long) (random.nextDouble() * gapUs) : jitter(gapUs));
                suspect(lane, outcome.retryAfterUs() > LIMIT_WAIT_US ? OUT_WEIGHT : REFUSED_WEIGHT);
            }
            case ERROR -> {
                lane.errors++;
                if (!news) {
                    return;
                }
                lane.failureShare += FAIL_WEIGHT * (1 - lane.failureShare);
                suspect(lane, ERROR_WEIGHT);
            }
            case TIMED_OUT, RESET, NO_CONNECTION, CANCELLED -> {
                lane.bad++;
                if (!news) {
                    return;
                }
                if (outcome.result() == Result.TIMED_OUT || outcome.result() == Result.CANCELLED) {
                    lane.timeoutFactor = STRETCH;
                }
                if (first && call.idleUs > 0 && !call.calledOff && outcome.result() != Result.NO_CONNECTION) {
                    final double leastUs = TRUST_LEAST * limits.idleTimeoutUs();
                    trustUs = Math.min(trustUs, Math.max(leastUs, call.idleUs / 2.0));
                }
                if (first && outcome.result() == Result.NO_CONNECTION) {
                    node.fullUntilUs = nowUs + limits.idleTimeoutUs();
                }
                node.badRun[kind]++;
                if (node.lastServedUs < call.sentUs) {
                    Arrays.fill(node.avoidUntilUs, nowUs + jitter(AVOID_US));
                }
                node.avoidUntilUs[kind] = nowUs + jitter(AVOID_US);
                troubled.add(lane);
                node.connections = Math.max(0, node.connections - 1);
                if (outcome.result() != Result.NO_CONNECTION || node.lastServedUs <= call.sentUs) {
                    lane.failureShare += FAIL_WEIGHT * (1 - lane.failureShare);
                    suspect(lane, settings.fleetSize() > FEW_COURIERS ? FLEET_FAILURE_WEIGHT : 1);
                }
            }
            case NOT_SENT -> lane.failingSinceUs = first ? NEVER : lane.failingSinceUs;
        }
    }

    /** A message was delivered: trouble at its destination is over, and an outage turns into a ramp. */
    private void succeed(final EndpointState node, final Delivery job, final long durationUs) {
        final Route lane = node.route;
        final int kind = job.message.messageClass();
        learn(lane, job, durationUs);
        lane.served++;
        node.lastServedUs = nowUs;
        node.badRun[kind] = 0;
        node.avoidUntilUs[kind] = 0;
        lane.failureRun = 0;
        lane.timeoutFactor = Math.max(1, lane.timeoutFactor - STRETCH * SAMPLE_WEIGHT);
        lane.failureShare -= FAIL_WEIGHT * lane.failureShare;
        if (lane.phase == Phase.PROBE) {
            lane.phase = Phase.WARMUP;
            lane.warmupFromUs = nowUs;
            lane.warmupIntervalUs = patienceUs(lane, nowUs);
            lane.failureShare = 0;
        }
        lane.failingSinceUs = NEVER;
    }

    /** False for a limit far under the list's, or none where there was one: it would end or flood a lane. */
    private static boolean plausible(final Route lane, final double limit) {
        return limit > 0 ? limit >= LEAST_LIMIT * lane.listedLimit : !lane.exactLimit || lane.rateLimit <= 0;
    }

    /** Adds to a lane's run of bad outcomes; a long run, or a high share of failures, is an outage. */
    private void suspect(final Route lane, final double weight) {
        lane.failureRun += weight;
        final boolean out = lane.failureRun + overdue(lane) >= OUT_WEIGHT || lane.failureShare > OUT_SHARE;
        if (out && lane.phase != Phase.PROBE) {
            lane.phase = Phase.PROBE;
            troubled.add(lane);
            lane.endpoints.forEach(node -> node.fullUntilUs = 0);
            lane.window = WINDOW_FLOOR;
            lane.failingSinceUs = Math.min(lane.failingSinceUs, nowUs);
            lane.nextProbeUs = trialUs(lane);
        }
    }

    /** Attempts out far longer than expected with no success on their endpoint since: silence. */
    private int overdue(final Route lane) {
        int count = 0;
        for (final Call call : lane.calls) {
            if (nowUs >= call.overdueUs() && call.node.lastServedUs < call.sentUs) {
                Arrays.fill(call.node.avoidUntilUs, nowUs + AVOID_US);
                troubled.add(lane);
                count++;
            }
        }
        return count;
    }

    /**
     * Silence may not eat the slots: while all are taken and a message could go elsewhere, the call longest
     * overdue is called off. Covers hung, stalled and very slow ones; hurts where one would have answered.
     */
    private void reclaimSlot() {
        if (callsOut < limits.maxCalls() || !limits.canCancel()) {
            return;
        }
        final Call worst = busy.values().stream()
                .flatMap(destination -> destination.routes.stream())
                .flatMap(lane -> lane.calls.stream())
                .filter(call -> !call.calledOff && nowUs >= call.overdueUs())
                .min(Comparator.comparingLong(call -> call.sentUs))
                .orElse(null);
        if (worst != null && busy.values().stream().anyMatch(one -> best(one, false) != null)) {
            worst.calledOff = true;
            jobs.values().stream()
                    .filter(job -> job.call == worst)
                    .forEach(job -> actions.cancel(job.message.id(), job.attempts - 1));
        }
    }

    /**
     * A lane in trouble looks again after as long as its trouble has lasted, but no longer than its messages
     * (or this courier's even part of the limit) are apart. So all couriers, however many, come no more often
     * than messages do; it hurts a message whose wait outlasts the trouble.
     */
    private long patienceUs(final Route lane, final long atUs) {
        return (long) Math.min(Math.max(PAUSE_US, atUs - lane.failingSinceUs), apartUs(lane));
    }

    /** How far apart this courier's messages for a lane are, or calls at its even part of the limit. */
    private double apartUs(final Route lane) {
        final double limit = lane.rateLimit > 0 ? lane.rateLimit : UNTOLD_LIMIT;
        return SECOND_US / Math.max(lane.servedRate, limit / settings.fleetSize());
    }

    /**
     * When a lane that is out is tried again: at any moment as likely as the share that tips a cold one, over
     * the outage's age. So the trials of all couriers stay near that share of the messages, however many.
     */
    private long trialUs(final Route lane) {
        final long fromUs = Math.max(nowUs, lane.retryAfterUntilUs);
        final double ageUs = Math.max(PAUSE_US, fromUs - lane.failingSinceUs);
        final double gapUs = ageUs * (Math.pow(1 - random.nextDouble(), -1 / tippingShare(0)) - 1);
        return fromUs + (long) Math.min(gapUs, jitter((long) (apartUs(lane) / tippingShare(0))));
    }

    /** What tips a destination so far on its way to being warm, as a share of its whole capacity. */
    private double tippingShare(final long warmingUs) {
        final double coldFrom = guarantees.coldCapacityShare();
        final double warm = (double) warmingUs / Math.max(1, guarantees.warmupUs());
        return guarantees.overloadMultiple() * (coldFrom + (1 - coldFrom) * clamp(warm, 0, 1));
    }

    private void learn(final Route lane, final Delivery job, final long durationUs) {
        final int kind = job.message.messageClass();
        final double ratio = durationUs / Math.max(1, classMeanUs[kind]);
        lane.ratioSum += ratio;
        final double weight = Math.max(SAMPLE_WEIGHT, 1.0 / ++classSamples[kind]);
        classMeanUs[kind] += weight * (durationUs / Math.max(PACE_LEAST, lane.slowdown) - classMeanUs[kind]);
        lane.slowdown += Math.max(SAMPLE_WEIGHT, 1.0 / (1 + ++lane.latencySamples)) * (ratio - lane.slowdown);
    }

    private double expectedUs(final Route lane, final Delivery job) {
        return classMeanUs[job.message.messageClass()] * Math.max(PACE_LEAST, lane.slowdown);
    }

    private long jitter(final long us) {
        return (long) (us * (1 - JITTER + 2 * JITTER * random.nextDouble()));
    }

    private static double clamp(final double value, final double least, final double most) {
        return Math.max(least, Math.min(most, value));
    }

    // ---------------------------------------------------------------- deadlines and further attempts

    /** How long an attempt may take. */
    private long timeoutUs(final Route lane, final Delivery job) {
        final double expectedUs = expectedUs(lane, job);
        final long leftUs = job.message.latestEndUs() - nowUs;
        final double leastUs = Math.min(TIMEOUT_LEAST_US, TIMEOUT_SHARE * job.kind.deadlineUs());
        double timeoutUs = Math.max(leastUs, TIMEOUT_TIMES * lane.timeoutFactor * expectedUs);
        if (job.kind.effect() == Effect.UNSAFE) {
            return leftUs;
        }
        if (job.kind.effect() == Effect.KEYED && !job.mayHaveRun) {
            // Leaves room for a repeat inside the window; where there is none for both, one call has it.
            final double windowUs = (1 - KEY_MARGIN) * job.kind.dedupWindowUs();
            final double againUs = windowUs - Math.min(AGAIN_US, windowUs / 2);
            timeoutUs = againUs < STOP_TIMES * expectedUs ? timeoutUs : Math.min(timeoutUs, againUs);
        }
        return leftUs - timeoutUs < expectedUs ? leftUs : (long) timeoutUs;
    }

    /** Looks for silence and ramps that are over; ends what may not be sent again, or has no time left. */
    private void watch() {
        for (final DestinationState destination : List.copyOf(busy.values())) {
            for (final Route lane : destination.routes) {
                suspect(lane, 0);
                if (lane.phase == Phase.WARMUP && nowUs - lane.warmupFromUs > guarantees.warmupUs()) {
                    lane.phase = Phase.HEALTHY;
                }
            }
            if (nowUs >= firstEndUs(destination)) {
                endDue(destination);
            }
        }
    }

    private void endDue(final DestinationState destination) {
        for (final Delivery job : List.copyOf(destination.waiting)) {
            if (nowUs >= endUs(job) || !maySend(job)) {
                // Given up: come again when the line that stands there now has gone, and no sooner.
                finish(job, Math.max(PAUSE_US, destination.lineUs()));
            }
        }
    }

    /** When the first of a destination's waiting messages is ended; read anew after one has come or gone. */
    private long firstEndUs(final DestinationState destination) {
        if (destination.firstEndUs == UNKNOWN) {
            destinations.countExaminedMessages(destination.waiting.size());
            destination.firstEndUs = destination.waiting.stream()
                    .mapToLong(job -> maySend(job) ? endUs(job) : nowUs)
                    .min()
                    .orElse(NEVER);
        }
        return destination.firstEndUs;
    }

    /** When a message that waits is ended: its time or its key's window is up. */
    private long endUs(final Delivery job) {
        return Math.min(job.message.latestEndUs() - END_MARGIN_US, job.keyEndUs());
    }

    /** Rule on effects, and the most attempts. */
    private boolean maySend(final Delivery job) {
        final Effect effect = job.kind.effect();
        return DeliveryRules.mayRepeat(effect, job.mayHaveRun, nowUs < job.keyEndUs())
                && job.attempts < limits.maxAttempts();
    }

    private static boolean mayRefuse(final Delivery job) {
        return DeliveryRules.mayRefuse(job.kind, job.mayHaveRun);
    }

    /** Gives the final answer: a refusal where that is harmless, or a failure. */
    private void finish(final Delivery job, final long retryAfterUs) {
        if (mayRefuse(job)) {
            actions.refuse(job.message.id(), Math.min(retryAfterUs, limits.maxRetryAfterUs()));
        } else {
            actions.fail(job.message.id());
        }
        end(job);
    }

    private void end(final Delivery job) {
        open -= job.over ? 0 : 1;
        job.over = true;
        job.destination.dequeue(job);
        if (job.call == null) {
            if (job.line != null && !job.line.owed.contains(job.message.id())) {
                job.line.ids.remove(job.message.id());
            }
            jobs.remove(job.message.id());
            if (--job.destination.openMessages == 0) {
                busy.remove(job.message.destination());
            }
        }
    }

    /** Refuses what has least to gain before the store is full: nothing is turned away at the door. */
    private void makeRoom() {
        final int reserve = (int) Math.max(1, STORE_RESERVE * limits.maxOpenMessages());
        while (open > limits.maxOpenMessages() - reserve) {
            final Delivery least = busy.values().stream()
                    .flatMap(destination -> destination.waiting.stream())
                    .filter(Control::mayRefuse)
                    .min(Comparator.comparingDouble(this::worthInLine))
                    .orElse(null);
            if (least == null) {
                return;
            }
            finish(least, SECOND_US);
        }
    }

    /** The worth of a message that is delivered when the line of its destination has gone. */
    private double worthInLine(final Delivery job) {
        return worth(job, Math.min(nowUs + job.destination.lineUs(), job.keyEndUs() - 1));
    }

    /** Meters a tenant at this courier's even part of its quota; true for a message beyond it. */
    private boolean overQuota(final int tenant) {
        final double whole = tenant < 0 ? 0 : settings.tenants().get(tenant).quotaPerSecond();
        final double quota = whole / settings.fleetSize();
        if (quota <= 0 || quotaUs[tenant] > nowUs + QUOTA_BURST * SECOND_US / quota) {
            return quota > 0;
        }
        quotaUs[tenant] = Math.max(quotaUs[tenant], nowUs) + (long) (SECOND_US / quota);
        return false;
    }

    /** Asks to be woken when something can change by time alone: a guard, a deadline, a silence, a step. */
    private void sleep() {
        long next = Math.min(nextStepUs, askAgainUs);
        for (final DestinationState destination : busy.values()) {
            for (final Route lane : destination.routes) {
                for (final Call call : lane.calls) {
                    next = Math.min(next, call.overdueUs() > nowUs ? call.overdueUs() : NEVER);
                }
                if (!destination.waiting.isEmpty()) {
                    next = Math.min(next, Math.max(openAtUs(lane), nowUs + POLL_US));
                }
            }
            next = Math.min(next, firstEndUs(destination));
        }
        wakes.headSet(nowUs + 1).clear();
        if (wakes.isEmpty() || wakes.first() > next) {
            wakes.add(Math.max(nowUs + 1, next));
            actions.wakeAfter(wakes.first() - nowUs);
        }
    }

    // ---------------------------------------------------------------- membership

    @Override
    public void onListUpdate(final long now, final ListUpdate update, final List<Endpoint> entries) {
        nowUs = now;
        if (update == ListUpdate.UNAVAILABLE) {
            subscribed = false;
            askAgainUs = nowUs + jitter(askBackOffUs);
            askBackOffUs = Math.min(2 * askBackOffUs, ASK_MOST_US);
            return;
        }
        askAgainUs = NEVER;
        askBackOffUs = ASK_LEAST_US;
        destinations.update(update, entries);
    }

    @Override
    public void onOverride(final long now, final long endpoint, final boolean out, final long backUs) {
        nowUs = now;
        final EndpointState node = destinations.endpoint(endpoint);
        if (node == null) {
            return;
        }
        troubled.add(node.route);
        if (out && !node.out) {
            // They restart it: what is open there now will not be when it is back.
            node.connections = 0;
            actions.closeIdleConnections(endpoint);
        }
        node.out = out;
        node.backUs = out ? 0 : backUs;
    }

    private Route newLane(final DestinationKind kind) {
        return new Route(kind, settings.fleetSize() <= FEW_COURIERS ? WINDOW_START : WINDOW_RARE);
    }

    /** Where the list must be asked for: once at the start, and again after a loss. */
    private void keepList() {
        if (settings.listOnRequest() && (askAgainUs == NEVER ? !subscribed : nowUs >= askAgainUs)) {
            subscribed = true;
            askAgainUs = nowUs + Math.min(ASK_MOST_US, guarantees.listRequestDeadlineUs() / 2);
            actions.subscribeToList();
        }
    }

    // ---------------------------------------------------------------- state

    /** A destination: the messages waiting for it, and its routes (one, unless its routes are separate). */
    static final class DestinationState {
        private final List<Delivery> waiting = new ArrayList<>();
        final List<Route> routes = new ArrayList<>();
        /** Its messages, waiting or in an attempt. */
        int openMessages;
        /** When the first one that waits is ended. */
        private long firstEndUs = NEVER;
        /** The number of the last step that its routes took. */
        long lastStep;

        private void enqueue(final Delivery job) {
            waiting.add(job);
            firstEndUs = UNKNOWN;
        }

        private void dequeue(final Delivery job) {
            if (waiting.remove(job)) {
                firstEndUs = UNKNOWN;
            }
        }

        /** How long its line takes at the rate that it was served, us. */
        private long lineUs() {
            final double rate = Math.max(
                    LEAST_RATE,
                    routes.stream().mapToDouble(lane -> lane.servedRate).sum());
            return (long) (waiting.size() / rate * SECOND_US);
        }
    }

    /** What has a window of its own: a destination, or one of its separate routes. */
    static final class Route extends RouteState {
        final DestinationKind destinationKind;
        final List<EndpointState> endpoints = new ArrayList<>();
        private final List<Call> calls = new ArrayList<>();
        /** This step's counts and sum of latency ratios. */
        private int peak, refused, served, bad, errors;

        private double ratioSum;
        private ReportedLimit allowance;
        /** The limit that the list names. */
        double listedLimit;
        /** The share of that limit that was left when last reported, and when. */
        private double left = 1;

        private long leftAtUs;

        private Route(final DestinationKind kind, final double window) {
            this.destinationKind = kind;
            this.window = window;
        }
    }

    /** An endpoint. */
    static final class EndpointState {
        final Endpoint entry;
        final Route route;
        Condition condition;
        /** Taken out by hand; and since when it is back, 0 if it never was out. */
        private boolean out;

        private long backUs;
        int callsInFlight, connections;
        /** Failures in a row of each class, and until when that class goes elsewhere. */
        private final int[] badRun;

        private final long[] avoidUntilUs;
        /** Until when it is taken to have no room for idle connections. */
        private long fullUntilUs;

        private long lastUseUs, lastSendUs, lastServedUs;

        EndpointState(final Endpoint entry, final Route lane, final int classes) {
            this.badRun = new int[classes];
            this.avoidUntilUs = new long[classes];
            this.entry = entry;
            this.route = lane;
        }
    }

    /** A call in flight, with one or more messages. */
    private static final class Call {
        private EndpointState node;
        private int messages;
        private long sentUs, expectedUs, idleUs, overdueLeastUs = OVERDUE_LEAST_US;
        private boolean calledOff;
        private final Set<Result> seen = EnumSet.noneOf(Result.class);

        private void carry(final Delivery job, final long jobUs) {
            expectedUs = Math.max(expectedUs, jobUs);
            overdueLeastUs = (long) Math.min(overdueLeastUs, OVERDUE_SHARE * job.kind.deadlineUs());
            job.call = this;
        }

        private long overdueUs() {
            return sentUs + Math.max(overdueLeastUs, (long) (OVERDUE_TIMES * expectedUs));
        }
    }

    /** A message that has not ended, or still has an attempt in flight. */
    private static final class Delivery {
        private final Message message;
        private final MessageClass kind;
        private final long aimUs;
        private DestinationState destination;
        private KeyQueue line;
        private Call call;
        /** Where it may go, and how urgently, when last looked at. */
        private Route lane;

        private double urgency;
        private int attempts;
        private boolean overQuota, mayHaveRun, over;
        private long firstRunUs = NEVER;
        private String runZone = "";

        private Delivery(final Message message, final MessageClass kind) {
            this.message = message;
            this.kind = kind;
            this.aimUs = message.validUntilUs() - kind.deadlineUs() + kind.targetUs();
        }

        /** Until when it may be sent: a key that may be in use ends a message like its own deadline does. */
        private long keyEndUs() {
            final long windowUs = (long) ((1 - KEY_MARGIN) * kind.dedupWindowUs());
            return !mayHaveRun || kind.effect() != Effect.KEYED
                    ? message.validUntilUs()
                    : Math.min(message.validUntilUs(), firstRunUs + windowUs);
        }
    }

    /** The messages of one key, in the order accepted; some only await the answer to their notice. */
    private static final class KeyQueue {
        private final List<String> ids = new ArrayList<>();
        private final Set<String> owed = new HashSet<>();
        private long restUntilUs;
    }
}
