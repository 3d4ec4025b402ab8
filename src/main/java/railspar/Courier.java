package railspar;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The interface of a courier's decisions: the events they receive and the actions they may request. A host (a courier
 * process, or the bench's adapter) calls the event methods in the order in which the events happened, then
 * {@link #decide} once, and carries out the {@link Actions} that were requested meanwhile. All times are microseconds
 * on one clock that only advances.
 */
public interface Courier {

    /**
     * What a repeated delivery of a message does: SAFE has no further effect, KEYED has none while the destination
     * remembers the message's key, UNSAFE takes effect again.
     */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** How the value of a message falls between its target time and its deadline. */
    enum ValueDecay {
        LINEAR,
        HALVING
    }

    /** What an endpoint's weight says about its destination's rate limit. */
    enum WeightMeaning {
        NONE,
        NOMINAL,
        ROUGH
    }

    /** How an attempt ended. */
    enum Result {
        DELIVERED,
        ERROR,
        REFUSED,
        TIMED_OUT,
        NO_CONNECTION,
        RESET,
        CANCELLED,
        NOT_SENT;

        /** True if the attempt certainly had no effect, so that another one is harmless. */
        public boolean hadNoEffect() {
            return this == REFUSED || this == NO_CONNECTION || this == NOT_SENT;
        }

        /** True if the destination answered, so that the attempt no longer runs. */
        public boolean isAnswered() {
            return this == DELIVERED || this == ERROR;
        }
    }

    /** An endpoint's state in the list, which does not say whether the endpoint is healthy. */
    enum Condition {
        LISTED,
        DRAINING,
        GONE
    }

    /**
     * What an update of the list holds: changed entries, all entries, the last known list, or nothing because the
     * list could not be read.
     */
    enum ListUpdate {
        INCREMENTAL,
        FULL,
        CACHED,
        UNAVAILABLE
    }

    /**
     * A class of messages. {@code ordered}: messages of one key are delivered in the order accepted. {@code
     * dedupPerZone}: only endpoints of one zone recognize each other's repeats. {@code lateValue}: the minimum
     * share of the value that a late message keeps.
     */
    record MessageClass(
            String name,
            Effect effect,
            boolean dedupPerZone,
            boolean ordered,
            double value,
            double lateValue,
            long targetUs,
            long deadlineUs,
            long dedupWindowUs) {}

    /** A tenant, and its messages per second, over all couriers, that count with their full value. */
    record Tenant(String name, double quotaPerSecond) {}

    /** A kind of destination. {@code separateRoutes}: each endpoint is a route with limits and waits of its own. */
    record DestinationKind(String name, boolean separateRoutes, int messagesPerCall) {}

    /**
     * The parameters of the rules that every courier keeps. {@code coldCapacityShare}: the share of its capacity that
     * a destination has when it returns, cold, from an outage. {@code warmupUs}: the time until it has all of it.
     * {@code overloadMultiple}: the load, in multiples of its present capacity, that makes it fail again. {@code
     * orderingDelayUs}: the delay of a key's next message after an attempt without answer.
     */
    record RuleParameters(
            long listRequestDeadlineUs,
            double coldCapacityShare,
            long warmupUs,
            double overloadMultiple,
            long orderingDelayUs) {}

    /** The resources that this courier may use. */
    record Limits(
            int maxCalls,
            int maxOpenMessages,
            int maxAttempts,
            boolean canCancel,
            long idleTimeoutUs,
            int streamsPerConnection,
            long maxRetryAfterUs) {}

    /** The settings of a courier, fixed at its start. */
    record Settings(
            int fleetSize,
            String zone,
            boolean listOnRequest,
            WeightMeaning weightMeaning,
            ValueDecay valueDecay,
            List<MessageClass> classes,
            List<Tenant> tenants,
            List<DestinationKind> destinationKinds,
            RuleParameters ruleParameters,
            Limits limits) {
        /**
         * Throws {@link IllegalArgumentException} for settings without meaning, so that a host fails at its start.
         */
        public Settings {
            require(fleetSize >= 1, "fleetSize: a fleet needs at least one courier, not " + fleetSize);
            require(
                    limits.maxCalls() >= 1,
                    "maxCalls: a courier needs at least one call slot, not " + limits.maxCalls());
            require(
                    limits.maxOpenMessages() >= 1,
                    "maxOpenMessages: the store needs room for at least one message, not " + limits.maxOpenMessages());
            require(
                    limits.maxAttempts() >= 1,
                    "maxAttempts: a message needs at least one attempt, not " + limits.maxAttempts());
            require(
                    ruleParameters.overloadMultiple() > 0,
                    "overloadMultiple: must be above 0, not " + ruleParameters.overloadMultiple());
            for (final MessageClass messageClass : classes) {
                require(
                        messageClass.targetUs() <= messageClass.deadlineUs(),
                        messageClass.name() + ": its target is later than its deadline");
            }
        }

        private static void require(final boolean condition, final String problem) {
            if (!condition) {
                throw new IllegalArgumentException(problem);
            }
        }
    }

    /** An endpoint of the list; {@code destinationKind} is an index into the settings, or -1 if unknown. */
    record Endpoint(long id, Condition condition, String zone, double weight, int destinationKind, long destination) {}

    /**
     * An accepted message; {@code messageClass} and {@code tenant} are indexes into the settings, tenant -1 if none.
     * {@code ageUncertaintyUs}: the message may be older than its host knows by this much, and must end in time even
     * so.
     */
    record Message(
            String id,
            int messageClass,
            int tenant,
            String key,
            long validUntilUs,
            long destination,
            long ageUncertaintyUs) {
        /** A message of known age. */
        public Message(
                final String id,
                final int messageClass,
                final int tenant,
                final String key,
                final long validUntilUs,
                final long destination) {
            this(id, messageClass, tenant, key, validUntilUs, destination, 0);
        }

        /** The latest time at which the message must have ended, whatever its true age. */
        long latestEndUs() {
            return validUntilUs - ageUncertaintyUs;
        }
    }

    /**
     * The attempts of a message in earlier processes. {@code mayHaveTakenEffect}: an attempt may have taken effect,
     * the first one at {@code firstEffectUs} (on the clock of the events; it may lie before the start of that
     * clock), in {@code effectZone}. {@code inheritedCall}: the attempt that is still in flight, or null.
     */
    record AttemptHistory(
            int attempts,
            boolean mayHaveTakenEffect,
            long firstEffectUs,
            String effectZone,
            InheritedCall inheritedCall) {
        /** A history without an attempt in flight. */
        public AttemptHistory(
                final int attempts,
                final boolean mayHaveTakenEffect,
                final long firstEffectUs,
                final String effectZone) {
            this(attempts, mayHaveTakenEffect, firstEffectUs, effectZone, null);
        }
    }

    /** A call of an earlier process that is still in flight; its outcome comes like that of any other call. */
    record InheritedCall(long endpoint, long sentUs) {}

    /** The state of an endpoint and its destination, by name, for the handover; times are those of the clock. */
    record EndpointSnapshot(Map<String, Double> values, Map<String, Long> timesUs) {
        /** Prefixes of the values of a message class, which are the same in the snapshot of each endpoint. */
        static final String CLASS_MEAN = "mean.";

        static final String CLASS_SAMPLES = "samples.";

        /** This snapshot without the values of the message classes, which another one holds too. */
        public EndpointSnapshot withoutClassValues() {
            final Map<String, Double> remaining = new TreeMap<>(values);
            remaining.keySet().removeIf(name -> name.startsWith(CLASS_MEAN) || name.startsWith(CLASS_SAMPLES));
            return new EndpointSnapshot(remaining, timesUs);
        }
    }

    /** A rate limit that a destination reported: the share that is left, and the calls per second (0: no limit). */
    record ReportedLimit(double remainingShare, double callsPerSecond) {}

    /**
     * The outcome of an attempt. {@code isFinal}: the message has its final answer. {@code retryAfterUs}: the wait
     * that the answer asks for, or 0. {@code reportedLimit}: null if the answer reports none.
     */
    record Outcome(
            String messageId,
            Result result,
            boolean isFinal,
            long endpoint,
            long durationUs,
            long retryAfterUs,
            ReportedLimit reportedLimit) {}

    /**
     * The work of the decisions, counted independently of the machine's speed: destinations with state now; and since
     * the start, routes visited by steps, and waiting messages whose deadlines were read or that were considered for
     * sending.
     */
    record Workload(int destinationsWithState, long routesVisited, long messagesExamined) {}

    /**
     * The list of endpoints, as the host keeps it. The decisions keep state only for destinations in use, and look up
     * a destination's endpoints when its first message comes.
     */
    interface Directory {
        /** A destination's endpoints, draining ones included, in a stable order; empty if none is listed. */
        List<Endpoint> endpointsOf(long destination);

        /** The listed endpoint with that id, or null. */
        Endpoint endpoint(long id);

        /**
         * Called for each {@link Courier#onListUpdate}; a host that keeps its list up to date itself does not need
         * it.
         */
        default void update(final ListUpdate update, final List<Endpoint> entries) {}
    }

    /** The actions that a courier may request from its host. */
    interface Actions {
        /** Sends a message to an endpoint. */
        void send(String messageId, long endpoint, long timeoutUs);

        /** Ends a message undelivered; its client may safely submit it again. */
        void refuse(String messageId, long retryAfterUs);

        /** Ends a message as failed, without a statement on whether it took effect. */
        void fail(String messageId);

        /** Cancels an attempt in flight; its outcome follows as an event. */
        void cancel(String messageId, int attempt);

        /** Closes this courier's idle connections to an endpoint, before the actions requested after this one. */
        void closeIdleConnections(long endpoint);

        /** Subscribes to changes of the list. */
        void subscribeToList();

        /** Requests a call of {@link Courier#decide} after a delay, if no event causes one earlier. */
        void wakeAfter(long delayUs);
    }

    /**
     * The list changed, or could not be read. The host's {@link Directory}, if it keeps one, has the change already;
     * {@code entries} are the changed entries. For a full list they may be left out if the host keeps the directory.
     */
    void onListUpdate(long nowUs, ListUpdate update, List<Endpoint> entries);

    /** A message was accepted. */
    void onMessage(long nowUs, Message message);

    /** Takes over a message that an earlier process of this courier accepted; called in the order accepted. */
    void onMessageResumed(long nowUs, Message message, AttemptHistory history);

    /**
     * The endpoints whose snapshots together hold all that was learned of destinations, the most important ones first:
     * where something is wrong, then those used last. For most destinations that is one of their endpoints.
     */
    List<Long> snapshotOrder(long nowUs);

    /** The state of a listed endpoint, for the successor process; changes nothing. */
    EndpointSnapshot snapshot(long nowUs, long endpointId);

    /** The state of a listed endpoint in the predecessor process: its waits, backoffs and outages continue here. */
    void onEndpointSnapshot(long nowUs, long endpointId, EndpointSnapshot snapshot);

    /**
     * An attempt in flight in an earlier process was interrupted by the end of that process; it may have taken
     * effect.
     */
    void onAttemptInterrupted(long nowUs, String messageId);

    /**
     * Operators have disabled an endpoint, or enabled it again at {@code enabledUs}, when it is cold. This overrides
     * the list. The host calls it again when the list names the endpoint anew.
     */
    void onOverride(long nowUs, long endpointId, boolean disabled, long enabledUs);

    /** This process stops at {@code stopUs}; its successor continues with the messages that are open then. */
    void onStopping(long nowUs, long stopUs);

    /** An attempt ended. */
    void onOutcome(long nowUs, Outcome outcome);

    /**
     * An endpoint asked for a wait in an answer that came after its attempt had ended, or whose message is no longer
     * open.
     */
    void onRetryAfter(long nowUs, long endpointId, long waitUs);

    /**
     * A message of that key has ended, perhaps before this process started, and the notice of its end is not answered
     * yet. It blocks the next messages of its key until {@link #onNoticeAnswered}. A host without notices never calls
     * this.
     */
    void onNoticePending(long nowUs, String messageId, String key);

    /** The pending notice of that message was answered. */
    void onNoticeAnswered(long nowUs, String messageId, String key);

    /** A message is no longer wanted and needs no answer. */
    void onExpired(long nowUs, String messageId);

    /** Decides and requests actions, after the host has reported all events up to now, or at a wake-up. */
    void decide(long nowUs);

    /**
     * The number of listed endpoints that get no calls now, disabled by operators or avoided by this courier; changes
     * nothing.
     */
    int avoidedEndpoints(long nowUs);

    /** The state of a destination in a line for the log; changes nothing. */
    String describe(long destination);
}
