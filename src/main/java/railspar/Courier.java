package railspar;

import java.util.List;
import java.util.Map;

/**
 * What a courier's decisions are told and what they may ask for. A host (a courier process, or the bench's
 * adapter) calls the inbound events in the order in which they happened, then {@link #decide} once, and
 * carries out the {@link Actions} it was given meanwhile. All times are microseconds on one clock that only advances.
 */
public interface Courier {

    /** What a repeat of a message does: nothing new, nothing new while the key is remembered, or harm. */
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

        /** True if the message certainly had no effect, so that another attempt is harmless. */
        public boolean hadNoEffect() {
            return this == REFUSED || this == NO_CONNECTION || this == NOT_SENT;
        }

        /** True if the destination answered, so that the attempt no longer runs. */
        public boolean isAnswered() {
            return this == DELIVERED || this == ERROR;
        }
    }

    /** An endpoint's state in the list; the list knows nothing of health. */
    enum Condition {
        LISTED,
        DRAINING,
        GONE
    }

    /** What an update of the list holds: changed entries, all entries, the last known list, or nothing. */
    enum ListUpdate {
        INCREMENTAL,
        FULL,
        CACHED,
        UNAVAILABLE
    }

    /** A class of message. {@code dedupPerZone}: only endpoints of one zone drop each other's repeats. */
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

    /** A tenant and the messages a second, over all couriers, that count with their full value. */
    record Tenant(String name, double quotaPerSecond) {}

    /** A kind of destination. */
    record DestinationKind(String name, boolean separateRoutes, int messagesPerCall) {}

    /** The parameters of the rules that every courier keeps. */
    record RuleParameters(
            long listRequestDeadlineUs,
            double coldCapacityShare,
            long warmupUs,
            double overloadMultiple,
            long orderingDelayUs) {}

    /** What this courier may use. */
    record Limits(
            int maxCalls,
            int maxOpenMessages,
            int maxAttempts,
            boolean canCancel,
            long idleTimeoutUs,
            int streamsPerConnection,
            long maxRetryAfterUs) {}

    /** Everything a courier is handed at its start. */
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
        /** Refuses settings that contradict themselves, so that a host learns of it at its start. */
        public Settings {
            require(fleetSize >= 1, "a fleet has at least one courier, not " + fleetSize);
            require(limits.maxCalls() >= 1, "a courier needs at least one slot, not " + limits.maxCalls());
            require(
                    limits.maxOpenMessages() >= 1,
                    "a store holds at least one message, not " + limits.maxOpenMessages());
            require(limits.maxAttempts() >= 1, "a message needs at least one attempt, not " + limits.maxAttempts());
            require(
                    ruleParameters.overloadMultiple() > 0,
                    "a tipping multiple is above 0, not " + ruleParameters.overloadMultiple());
            for (final MessageClass kind : classes) {
                require(kind.targetUs() <= kind.deadlineUs(), kind.name() + ": its aim is later than its deadline");
            }
        }

        private static void require(final boolean kept, final String problem) {
            if (!kept) {
                throw new IllegalArgumentException(problem);
            }
        }
    }

    /** An endpoint as the list names it; {@code destinationKind} is an index into the settings, or -1. */
    record Endpoint(long id, Condition condition, String zone, double weight, int destinationKind, long destination) {}

    /**
     * An accepted message; {@code messageClass} and {@code tenant} index the settings, tenant -1 if none.
     * {@code ageUncertaintyUs}: it may be older than its host can tell by this much; it must end in time all the
     * same.
     */
    record Message(
            String id,
            int messageClass,
            int tenant,
            String key,
            long validUntilUs,
            long destination,
            long ageUncertaintyUs) {
        /** Of an age that is known. */
        public Message(
                final String id,
                final int messageClass,
                final int tenant,
                final String key,
                final long validUntilUs,
                final long destination) {
            this(id, messageClass, tenant, key, validUntilUs, destination, 0);
        }

        /** When the message must have ended at the latest. */
        long latestEndUs() {
            return validUntilUs - ageUncertaintyUs;
        }
    }

    /**
     * The attempts of a message before this process took it over. {@code mayHaveTakenEffect}: an attempt may have had
     * its effect, the first one at {@code firstEffectUs} (on the clock of the events, perhaps before its start), in
     * {@code effectZone}. {@code inheritedCall}: the attempt in flight, or null.
     */
    record AttemptHistory(
            int attempts,
            boolean mayHaveTakenEffect,
            long firstEffectUs,
            String effectZone,
            InheritedCall inheritedCall) {
        /** With no attempt in flight. */
        public AttemptHistory(
                final int attempts,
                final boolean mayHaveTakenEffect,
                final long firstEffectUs,
                final String effectZone) {
            this(attempts, mayHaveTakenEffect, firstEffectUs, effectZone, null);
        }
    }

    /** A call of an earlier process to an endpoint that is still in flight; its outcome comes as any other's. */
    record InheritedCall(long endpoint, long sentUs) {}

    /** The state of an endpoint and its destination in a process that hands over, by name; times are the clock's. */
    record EndpointSnapshot(Map<String, Double> values, Map<String, Long> timesUs) {}

    /** A rate limit that a destination reported: the share left, and calls a second (0: no limit). */
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
     * The work of the decisions, independent of the machine that does it: destinations with state, routes that the
     * steps have visited, and waiting messages whose deadlines were read or that were considered for sending, since
     * the start.
     */
    record Workload(int destinationsWithState, long routesVisited, long messagesExamined) {}

    /**
     * The list of endpoints, as its host holds it. The decisions keep state only for destinations with messages, and
     * look the endpoints of a destination up when its first message comes.
     */
    interface Directory {
        /** The endpoints of a destination, those that drain too, in an order that stays; empty if none is listed. */
        List<Endpoint> endpointsOf(long destination);

        /** The listed endpoint of that id, or null. */
        Endpoint endpoint(long id);

        /**
         * {@link Courier#onListUpdate} has been told of this; a host that keeps its list up to date itself need not
         * care.
         */
        default void update(final ListUpdate update, final List<Endpoint> entries) {}
    }

    /** What a courier may ask of its host. */
    interface Actions {
        /** Calls an endpoint with a message. */
        void send(String messageId, long endpoint, long timeoutUs);

        /** Ends a message undelivered; its client may safely hand it in again. */
        void refuse(String messageId, long retryAfterUs);

        /** Ends a message as failed; nothing is promised. */
        void fail(String messageId);

        /** Stops waiting for an attempt. */
        void cancel(String messageId, int attempt);

        /** Closes this courier's idle connections to an endpoint, before the actions that follow. */
        void closeIdleConnections(long endpoint);

        /** Asks for changes of the list from now on. */
        void subscribeToList();

        /** Asks for {@link Courier#decide} to be called again after a delay, if nothing calls it earlier. */
        void wakeAfter(long delayUs);
    }

    /**
     * The list changed, or could not be had. Its {@link Directory} says so already; {@code entries} are what changed,
     * and need not hold the whole of a whole list where the host keeps the directory.
     */
    void onListUpdate(long nowUs, ListUpdate update, List<Endpoint> entries);

    /** A message was taken. */
    void onMessage(long nowUs, Message message);

    /** A message that an earlier process of this courier accepted is taken over; in the order accepted. */
    void onMessageResumed(long nowUs, Message message, AttemptHistory past);

    /** The state of a listed endpoint, for a process that takes over from this one; it changes nothing. */
    EndpointSnapshot snapshot(long nowUs, long endpoint);

    /** The state of a listed endpoint in the process that this one takes over from: waits and guards go on. */
    void onEndpointSnapshot(long nowUs, long endpoint, EndpointSnapshot standing);

    /**
     * An attempt in flight in an earlier process was interrupted when that process ended: it may have had its
     * effect.
     */
    void onAttemptInterrupted(long nowUs, String messageId);

    /**
     * Operators have disabled an endpoint, or enabled it again at that time, after which it is cold. This holds
     * whatever the list says, and is repeated when the list names the endpoint anew.
     */
    void onOverride(long nowUs, long endpoint, boolean out, long backUs);

    /** This process ends at {@code stopUs}: what it still holds then goes on in the next one. */
    void onStopping(long nowUs, long stopUs);

    /** An attempt ended. */
    void onOutcome(long nowUs, Outcome outcome);

    /**
     * An endpoint asked for a wait in an answer that came after its attempt's end, or to no message that is still
     * open.
     */
    void onRetryAfter(long nowUs, long endpoint, long waitUs);

    /**
     * A message of that key has ended, or had when this process began, by a notice that is not answered yet: until
     * {@link #onNoticeAnswered} it still blocks the next ones of its key. A host without notices never calls it.
     */
    void onNoticePending(long nowUs, String messageId, String key);

    /** The pending notice is answered. */
    void onNoticeAnswered(long nowUs, String messageId, String key);

    /** Nobody wants this message any more; it is owed no answer. */
    void onExpired(long nowUs, String messageId);

    /** All that happened by now has been told, or a wake-up fell due: act on it. */
    void decide(long nowUs);

    /**
     * The number of listed endpoints that get nothing now, by an operator's or by this courier's decision; it
     * changes nothing.
     */
    int avoidedEndpoints(long nowUs);

    /** The state of a destination in a few words for the log; it changes nothing. */
    String describe(long destination);
}
