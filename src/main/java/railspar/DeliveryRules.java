package railspar;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import railspar.Courier.Effect;
import railspar.Courier.MessageClass;
import railspar.Courier.Result;

/**
 * The rules on which messages may be sent, repeated, refused or withdrawn, given what is known of earlier
 * operations. A failed operation took effect, did not, or is in doubt. An unsafe message is repeated only if it
 * certainly had no effect, and an acceptance is withdrawn only if the client certainly did not receive it.
 *
 * <p>A host checks the rules once more right before it acts. A violation at that point shows an earlier fault: the
 * host then does not act, and counts the {@link Violation}. Not thread-safe.
 */
public final class DeliveryRules {
    private final Map<Violation, Long> counts = new EnumMap<>(Violation.class);

    /** What is known about the transmission of a request or an answer whose bytes were given to a socket. */
    public enum Transmission {
        /** The peer cannot have all of it: no completing write was tried, or none failed and a part is left. */
        NOT_SENT,
        /** A write failed, but may have reached the peer, or may still reach it. */
        IN_DOUBT,
        /** The socket took all of it. */
        SENT
    }

    /** A rule that an action would have broken. */
    public enum Violation {
        /** A decision by a process that does not hold the lock of its state folder. */
        DECISION_WITHOUT_LOCK,
        /** A call whose attempt is not recorded in the journal. */
        CALL_NOT_RECORDED,
        /** A call of a message that is in another call at the same time. */
        SECOND_CALL_AT_ONCE,
        /** A call to an endpoint that is draining, gone or disabled by operators. */
        CALL_TO_UNAVAILABLE_ENDPOINT,
        /** A repeat of an unsafe message that may have taken effect. */
        REPEAT_OF_UNSAFE,
        /** A repeat of a keyed message after its dedup window, when its key may have been forgotten. */
        REPEAT_AFTER_KEY_WINDOW,
        /** A repeat of a keyed message in a zone that does not know its key. */
        REPEAT_IN_OTHER_ZONE,
        /** A refusal of a message whose repeat is not harmless, as a refusal promises. */
        REFUSAL_AFTER_RUN
    }

    /**
     * An attempt whose first byte is about to be written. {@code recorded}: it is in the journal. {@code current}:
     * the message is in no other call. {@code available}: the endpoint may get new calls. {@code history}: the
     * earlier attempts. {@code zone}: the zone of the endpoint.
     */
    public record Attempt(
            MessageClass messageClass,
            boolean recorded,
            boolean current,
            boolean available,
            Courier.AttemptHistory history,
            String zone) {}

    /** True if another delivery is harmless. {@code keyRemembered}: the destination still recognizes its key. */
    static boolean mayRepeat(final Effect effect, final boolean mayHaveTakenEffect, final boolean keyRemembered) {
        return !mayHaveTakenEffect || effect == Effect.SAFE || effect == Effect.KEYED && keyRemembered;
    }

    /** True if a client may be told that submitting its message again, to any courier, is harmless. */
    public static boolean mayRefuse(final MessageClass messageClass, final boolean mayHaveTakenEffect) {
        return !mayHaveTakenEffect
                || messageClass.effect() == Effect.SAFE
                || messageClass.effect() == Effect.KEYED && !messageClass.dedupPerZone();
    }

    /** True if a message may be dropped because its client cannot have received the answer that accepts it. */
    public static boolean mayWithdraw(final Transmission acceptance) {
        return acceptance == Transmission.NOT_SENT;
    }

    /**
     * The result of an attempt that ended without an answer. {@code reason}: why it was given up, or
     * {@link Result#NO_CONNECTION} if its connection broke.
     */
    public static Result resultOf(final Transmission request, final Result reason) {
        if (request == Transmission.NOT_SENT) {
            return reason == Result.CANCELLED || reason == Result.NOT_SENT ? Result.NOT_SENT : Result.NO_CONNECTION;
        }
        return reason.hadNoEffect() ? Result.RESET : reason;
    }

    /** The rule that sending an attempt now would break, if any. */
    public static Optional<Violation> violationOf(final Attempt attempt, final long nowUs) {
        if (!attempt.recorded()) {
            return Optional.of(Violation.CALL_NOT_RECORDED);
        }
        if (!attempt.current()) {
            return Optional.of(Violation.SECOND_CALL_AT_ONCE);
        }
        if (!attempt.available()) {
            return Optional.of(Violation.CALL_TO_UNAVAILABLE_ENDPOINT);
        }
        return repeatViolation(attempt, nowUs);
    }

    private static Optional<Violation> repeatViolation(final Attempt attempt, final long nowUs) {
        final MessageClass messageClass = attempt.messageClass();
        final Courier.AttemptHistory history = attempt.history();
        final boolean keyRemembered = nowUs < history.firstEffectUs() + messageClass.dedupWindowUs();
        if (!mayRepeat(messageClass.effect(), history.mayHaveTakenEffect(), keyRemembered)) {
            return Optional.of(
                    messageClass.effect() == Effect.UNSAFE
                            ? Violation.REPEAT_OF_UNSAFE
                            : Violation.REPEAT_AFTER_KEY_WINDOW);
        }
        if (history.mayHaveTakenEffect()
                && messageClass.dedupPerZone()
                && !attempt.zone().equals(history.effectZone())) {
            return Optional.of(Violation.REPEAT_IN_OTHER_ZONE);
        }
        return Optional.empty();
    }

    /** Counts an action that was not taken because it would have broken a rule. */
    public void count(final Violation violation) {
        counts.merge(violation, 1L, Long::sum);
    }

    /** Number of actions that were not taken, by rule. */
    public Map<Violation, Long> counts() {
        return Map.copyOf(counts);
    }

    /** Number of actions that were not taken. */
    public long total() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
