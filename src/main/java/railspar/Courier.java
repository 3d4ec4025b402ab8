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

    /** How worth falls between the aim and the deadline. */
    enum Fade {
        LINEAR,
        HALVING
    }

    /** What an endpoint's weight tells of its destination's limit. */
    enum Weights {
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
        public boolean neverRan() {
            return this == REFUSED || this == NO_CONNECTION || this == NOT_SENT;
        }

        /** True if the destination answered, so that the attempt no longer runs. */
        public boolean ended() {
            return this == DELIVERED || this == ERROR;
        }
    }

    /** An endpoint's state in the list; the list knows nothing of health. */
    enum Condition {
        LISTED,
        DRAINING,
        GONE
    }

    /** What an update of the list holds: changed entries, all, the last list known, or no news at all. */
    enum Update {
        CHANGES,
        WHOLE,
        RESTORED,
        LOST
    }

    /** A class of message. {@code zoneKeyed}: only endpoints of one zone drop each other's repeats. */
    record MessageClass(
            String name,
            Effect effect,
            boolean zoneKeyed,
            boolean inTurn,
            double worth,
            double lateWorth,
            long aimUs,
            long deadlineUs,
            long keyWindowUs) {}

    /** A tenant and the messages a second, over all couriers, that are worth their full worth. */
    record Tenant(String name, double quotaPerSecond) {}

    /** A kind of destination. */
    record Kind(String name, boolean routesApart, int messagesPerCall) {}

    /** The figures of the rules. */
    record Guarantees(long mustAskUs, double coldFrom, long coldUs, double tipMultiple, long orderSettleUs) {}

    /** What this courier may use. */
    record Limits(
            int slots,
            int maxOpen,
            int mostAttempts,
            boolean mayCancel,
            long idleCloseUs,
            int multiplex,
            long maxRetryAfterUs) {}

    /** Everything a courier is handed at its start. */
    record Settings(
            int couriers,
            String zone,
            boolean listOnRequest,
            Weights weights,
            Fade fade,
            List<MessageClass> classes,
            List<Tenant> tenants,
            List<Kind> kinds,
            Guarantees guarantees,
            Limits limits) {
        /** Refuses settings that contradict themselves, so that a host learns of it at its start. */
        public Settings {
            require(couriers >= 1, "a fleet has at least one courier, not " + couriers);
            require(limits.slots() >= 1, "a courier needs at least one slot, not " + limits.slots());
            require(limits.maxOpen() >= 1, "a store holds at least one message, not " + limits.maxOpen());
            require(limits.mostAttempts() >= 1, "a message needs at least one attempt, not " + limits.mostAttempts());
            require(guarantees.tipMultiple() > 0, "a tipping multiple is above 0, not " + guarantees.tipMultiple());
            for (final MessageClass kind : classes) {
                require(kind.aimUs() <= kind.deadlineUs(), kind.name() + ": its aim is later than its deadline");
            }
        }

        private static void require(final boolean kept, final String problem) {
            if (!kept) {
                throw new IllegalArgumentException(problem);
            }
        }
    }

    /** An endpoint as the list names it; {@code kind} is an index into the settings, or -1. */
    record Endpoint(long id, Condition condition, String zone, double weight, int kind, long destination) {}

    /**
     * A message taken; {@code messageClass} and {@code tenant} index the settings, tenant -1 if none. {@code slackUs}:
     * it
     * may be so much older than its host can tell; its end must be in time all the same.
     */
    record Message(
            String id, int messageClass, int tenant, String key, long validUntilUs, long destination, long slackUs) {
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

        /** When it must have its end. */
        long endUs() {
            return validUntilUs - slackUs;
        }
    }

    /**
     * What became of a message before this process held it. {@code mayHaveRun}: an attempt may have had its effect,
     * the first one at {@code firstRunUs} (on the clock of the events, perhaps before its start), in {@code runZone}.
     */
    record Past(int attempts, boolean mayHaveRun, long firstRunUs, String runZone, Out out) {
        /** With no attempt out. */
        public Past(final int attempts, final boolean mayHaveRun, final long firstRunUs, final String runZone) {
            this(attempts, mayHaveRun, firstRunUs, runZone, null);
        }
    }

    /** A call of an earlier process that still goes on, to that endpoint; its outcome comes as any other's. */
    record Out(long endpoint, long sentUs) {}

    /** How an endpoint and its destination stand with a process that leaves, by name; times are the clock's. */
    record Standing(Map<String, Double> figures, Map<String, Long> timesUs) {}

    /** What a destination told of its limit: the share left, and calls a second (0: no limit). */
    record Allowance(double shareLeft, double callsPerSecond) {}

    /**
     * The outcome of an attempt. {@code over}: the message has its final answer. {@code waitUs}: the wait told
     * with the answer, or 0. {@code allowance}: null if nothing was told.
     */
    record Outcome(
            String messageId,
            Result result,
            boolean over,
            long endpoint,
            long durationUs,
            long waitUs,
            Allowance allowance) {}

    /**
     * The work of the decisions, apart from the machine that does it: destinations that state is held for, lanes that
     * the steps have visited, and waiting messages whose deadlines were read or that were weighed for a free slot,
     * since the start.
     */
    record Workload(int destinationsHeld, long lanesVisited, long messagesVisited) {}

    /**
     * The list of endpoints, as its host holds it. The decisions keep state only for destinations with messages, and
     * look the endpoints of a destination up when its first message comes.
     */
    interface Directory {
        /** The endpoints of a destination, those that drain too, in an order that stays; empty if none is listed. */
        List<Endpoint> endpointsOf(long destination);

        /** The listed endpoint of that id, or null. */
        Endpoint endpoint(long id);

        /** {@link Courier#onList} has been told of this; a host that keeps its list up to date itself need not care. */
        default void update(final Update update, final List<Endpoint> entries) {}
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
        void closeIdle(long endpoint);

        /** Asks for changes of the list from now on. */
        void follow();

        /** Asks for {@link Courier#decide} to be called again after a delay, if nothing calls it earlier. */
        void wake(long delayUs);
    }

    /**
     * The list changed, or could not be had. Its {@link Directory} says so already; {@code entries} are what changed,
     * and need not hold the whole of a whole list where the host keeps the directory.
     */
    void onList(long nowUs, Update update, List<Endpoint> entries);

    /** A message was taken. */
    void onMessage(long nowUs, Message message);

    /** A message that an earlier process of this courier took is held again; in the order taken. */
    void onResumed(long nowUs, Message message, Past past);

    /** How a listed endpoint stands, for a process that takes over from this one; it changes nothing. */
    Standing standing(long nowUs, long endpoint);

    /** How a listed endpoint stood with the process that this one takes over from: waits and guards go on. */
    void onStanding(long nowUs, long endpoint, Standing standing);

    /** An attempt that was out in an earlier process was cut off with it: it may have run. */
    void onCutOff(long nowUs, String messageId);

    /**
     * Operators have taken an endpoint out, or put it back at that time: it comes back cold. It holds whatever the list
     * says, and is told again when the list names the endpoint anew.
     */
    void onHand(long nowUs, long endpoint, boolean out, long backUs);

    /** This process ends at {@code stopUs}: what it still holds then goes on in the next one. */
    void onStopping(long nowUs, long stopUs);

    /** An attempt ended. */
    void onOutcome(long nowUs, Outcome outcome);

    /** An endpoint told to wait in an answer that came behind its attempt's end, or for none that is still held. */
    void onWait(long nowUs, long endpoint, long waitUs);

    /**
     * A message of that key has ended, or had when this process began, by a notice that is not answered yet: until
     * {@link #onNoticeAnswered} it is not over for those behind it. A host whose ends are over at once never calls it.
     */
    void onNoticeOwed(long nowUs, String messageId, String key);

    /** The notice that was owed is answered. */
    void onNoticeAnswered(long nowUs, String messageId, String key);

    /** Nobody wants this message any more; it is owed no answer. */
    void onExpired(long nowUs, String messageId);

    /** All that happened by now has been told, or a wake-up fell due: act on it. */
    void decide(long nowUs);

    /** Listed endpoints that get nothing now, by hand or by judgement; it changes nothing. */
    int avoided(long nowUs);

    /** How a destination stands with this courier, in a few words for the log; it changes nothing. */
    String describe(long destination);
}
