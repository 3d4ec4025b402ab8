package railspar;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import railspar.Courier.Effect;
import railspar.Courier.MessageClass;
import railspar.Courier.Result;

/**
 * Decides what may be sent, repeated, refused, withdrawn or decided at all, given what is known of the operations
 * before it. An operation that failed took effect, did not, or is in doubt: only what surely did not run is repeated
 * where a repeat does harm, and only what surely was not heard is withdrawn.
 *
 * <p>A host asks again right before it acts. A no at that point means that an earlier step went wrong: the host does
 * not act then, and counts the {@link Violation}. Used on one thread.
 */
public final class DeliveryRules {
    private final Map<Violation, Long> counts = new EnumMap<>(Violation.class);

    /** What is known of a request or an answer whose bytes were given to a socket. */
    public enum Transmission {
        /** The peer cannot have got it whole: no write that could have completed it was made, or none failed. */
        NOT_SENT,
        /** A write failed that may have taken effect, or may still. */
        IN_DOUBT,
        /** The socket took all of it. */
        SENT
    }

    /** A rule that an action would have broken. */
    public enum Violation {
        /** A process decides that does not hold the lock of its state folder. */
        DECISION_WITHOUT_LOCK,
        /** A call whose attempt the journal does not hold. */
        CALL_NOT_RECORDED,
        /** A call of a message whose attempt is another call. */
        SECOND_CALL_AT_ONCE,
        /** A call to an endpoint that drains, is gone or was taken out. */
        CALL_TO_UNAVAILABLE_ENDPOINT,
        /** A repeat of an unsafe message that may have run. */
        REPEAT_OF_UNSAFE,
        /** A repeat of a keyed message after its key may have been forgotten. */
        REPEAT_AFTER_KEY_WINDOW,
        /** A repeat of a keyed message in a zone that does not know its key. */
        REPEAT_IN_OTHER_ZONE,
        /** A refusal, which promises that a repeat is harmless, of a message for which it is not. */
        REFUSAL_AFTER_RUN
    }

    /**
     * An attempt whose first byte is about to be written. {@code recorded}: the journal holds it. {@code current}:
     * the message is in no other call. {@code available}: the endpoint may get new calls. {@code history}: what
     * earlier attempts may have done. {@code zone}: the endpoint's.
     */
    public record Attempt(
            MessageClass messageClass,
            boolean recorded,
            boolean current,
            boolean available,
            Courier.AttemptHistory history,
            String zone) {}

    /** True where sending a message once more does no harm. {@code remembered}: endpoints still know its key. */
    static boolean mayRepeat(final Effect effect, final boolean mayHaveRun, final boolean remembered) {
        return !mayHaveRun || effect == Effect.SAFE || effect == Effect.KEYED && remembered;
    }

    /** True where a client may be told that handing its message in again, to any courier, is harmless. */
    public static boolean mayRefuse(final MessageClass kind, final boolean mayHaveRun) {
        return !mayHaveRun || kind.effect() == Effect.SAFE || kind.effect() == Effect.KEYED && !kind.dedupPerZone();
    }

    /** True where a message may be dropped because its client was not told that it is taken on. */
    public static boolean mayWithdraw(final Transmission acceptance) {
        return acceptance == Transmission.NOT_SENT;
    }

    /**
     * The result of an attempt that no answer has ended. {@code reason}: why it was given up, or
     * {@link Result#NO_CONNECTION} where its connection broke.
     */
    public static Result resultOf(final Transmission request, final Result reason) {
        if (request == Transmission.NOT_SENT) {
            return reason == Result.CANCELLED || reason == Result.NOT_SENT ? Result.NOT_SENT : Result.NO_CONNECTION;
        }
        return reason.hadNoEffect() ? Result.RESET : reason;
    }

    /** The rule that writing an attempt now would break, if any. */
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
        final MessageClass kind = attempt.messageClass();
        final Courier.AttemptHistory past = attempt.history();
        final boolean remembered = nowUs < past.firstEffectUs() + kind.dedupWindowUs();
        if (!mayRepeat(kind.effect(), past.mayHaveTakenEffect(), remembered)) {
            return Optional.of(
                    kind.effect() == Effect.UNSAFE ? Violation.REPEAT_OF_UNSAFE : Violation.REPEAT_AFTER_KEY_WINDOW);
        }
        if (past.mayHaveTakenEffect() && kind.dedupPerZone() && !attempt.zone().equals(past.effectZone())) {
            return Optional.of(Violation.REPEAT_IN_OTHER_ZONE);
        }
        return Optional.empty();
    }

    /** An action was not taken because it would have broken that rule. */
    public void count(final Violation violation) {
        counts.merge(violation, 1L, Long::sum);
    }

    /** Actions that were not taken, by rule. */
    public Map<Violation, Long> counts() {
        return Map.copyOf(counts);
    }

    /** Actions that were not taken. */
    public long total() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
