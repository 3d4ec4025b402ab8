package railspar.node;

import railspar.Courier;

/**
 * An accepted message as the journal stores it: what the client submitted, and the attempts so far. Times are in
 * microseconds of persistent time. Once a notice is set, the message has ended and only the platform's confirmation
 * of the notice is pending.
 */
final class AcceptedMessage {
    static final long NEVER = Long.MAX_VALUE;

    final String id;
    final String className;
    final String idempotencyKey;
    /** Messages with the same key are delivered one at a time in order of acceptance; null without ordering. */
    final String orderKey;

    final long destination;
    final long validUntilPersistentUs;
    final byte[] body;
    private int attempts;
    private long firstEffectPersistentUs = NEVER;
    private String effectZone = "";
    /** When the attempt in flight started; {@link #NEVER} if none is. */
    private long attemptStartPersistentUs = NEVER;

    private String attemptZone = "";
    private Notice notice;

    /** The outcome that is reported to the platform: a failure, or a refusal with the time after which to retry. */
    record Notice(boolean failed, long retryAfterMs) {}

    AcceptedMessage(
            final String id,
            final String className,
            final String idempotencyKey,
            final String orderKey,
            final long destination,
            final long validUntilPersistentUs,
            final byte[] body) {
        this.id = id;
        this.className = className;
        this.idempotencyKey = idempotencyKey;
        this.orderKey = orderKey;
        this.destination = destination;
        this.validUntilPersistentUs = validUntilPersistentUs;
        this.body = body;
    }

    void beginAttempt(final long persistentUs, final String zone) {
        attempts++;
        attemptStartPersistentUs = persistentUs;
        attemptZone = zone;
    }

    /** Ends the attempt in flight; {@code hadNoEffect} if it certainly had no effect at the endpoint. */
    void endAttempt(final boolean hadNoEffect) {
        if (!hadNoEffect && attemptStartPersistentUs != NEVER) {
            firstEffectPersistentUs = Math.min(firstEffectPersistentUs, attemptStartPersistentUs);
            effectZone = attemptZone;
        }
        attemptStartPersistentUs = NEVER;
    }

    void restoreAttempts(final int attemptCount, final long storedFirstEffectUs, final String zone) {
        attempts = attemptCount;
        firstEffectPersistentUs = storedFirstEffectUs;
        effectZone = zone;
    }

    void setNotice(final Notice pendingNotice) {
        notice = pendingNotice;
    }

    Notice notice() {
        return notice;
    }

    int attempts() {
        return attempts;
    }

    long firstEffectPersistentUs() {
        return firstEffectPersistentUs;
    }

    String effectZone() {
        return effectZone;
    }

    boolean hasAttemptInFlight() {
        return attemptStartPersistentUs != NEVER;
    }

    long attemptStartPersistentUs() {
        return attemptStartPersistentUs;
    }

    String attemptZone() {
        return attemptZone;
    }

    /** As {@link #historyAfterInterruption}, but the call in flight continues in a predecessor that still runs. */
    Courier.AttemptHistory historyWithInheritedCall(final Clock clock, final long endpoint) {
        final Courier.AttemptHistory previous = historyBeforeCurrentAttempt(clock);
        return new Courier.AttemptHistory(
                previous.attempts(),
                previous.mayHaveTakenEffect(),
                previous.firstEffectUs(),
                previous.effectZone(),
                new Courier.InheritedCall(endpoint, clock.fromPersistentUs(attemptStartPersistentUs)));
    }

    /** True if an attempt may have taken effect, or is in flight. */
    boolean mayHaveTakenEffect() {
        return firstEffectPersistentUs != NEVER || hasAttemptInFlight();
    }

    /** The effects of the attempts before the one in flight; the count includes that one. */
    Courier.AttemptHistory historyBeforeCurrentAttempt(final Clock clock) {
        final boolean mayHaveHadEffect = firstEffectPersistentUs != NEVER;
        return new Courier.AttemptHistory(
                attempts,
                mayHaveHadEffect,
                mayHaveHadEffect ? clock.fromPersistentUs(firstEffectPersistentUs) : 0,
                effectZone);
    }

    /**
     * The history for a process that did not make the attempts itself. A call that was in flight may have taken
     * effect.
     */
    Courier.AttemptHistory historyAfterInterruption(final Clock clock) {
        final long earliestEffectPersistentUs = Math.min(firstEffectPersistentUs, attemptStartPersistentUs);
        final boolean mayHaveHadEffect = earliestEffectPersistentUs != NEVER;
        return new Courier.AttemptHistory(
                attempts,
                mayHaveHadEffect,
                mayHaveHadEffect ? clock.fromPersistentUs(earliestEffectPersistentUs) : 0,
                hasAttemptInFlight() ? attemptZone : effectZone);
    }
}
