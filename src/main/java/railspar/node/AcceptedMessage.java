package railspar.node;

import railspar.Courier;

/**
 * An accepted message as the journal keeps it (times in microseconds of persistent time): what its client handed in,
 * and its attempts so far. Once it has ended by a notice, only the answer to the notice is still awaited.
 */
final class AcceptedMessage {
    static final long NEVER = Long.MAX_VALUE;

    final String id;
    final String className;
    final String idempotencyKey;
    /** Messages of one such key go one at a time, in the order taken; null where the class keeps no order. */
    final String orderKey;

    final long destination;
    final long validUntilPersistentUs;
    final byte[] body;
    private int attempts;
    private long firstEffectPersistentUs = NEVER;
    private String effectZone = "";
    /** When the attempt in flight was begun; never, while none is. */
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

    /** The attempt in flight has its outcome. */
    void endAttempt(final boolean neverRan) {
        if (!neverRan && attemptStartPersistentUs != NEVER) {
            firstEffectPersistentUs = Math.min(firstEffectPersistentUs, attemptStartPersistentUs);
            effectZone = attemptZone;
        }
        attemptStartPersistentUs = NEVER;
    }

    void restoreAttempts(final int attemptsUsed, final long firstRun, final String zone) {
        attempts = attemptsUsed;
        firstEffectPersistentUs = firstRun;
        effectZone = zone;
    }

    void setNotice(final Notice owed) {
        notice = owed;
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

    /** As {@link #historyAfterInterruption}, where the call in flight continues in a process that still runs. */
    Courier.AttemptHistory historyWithInheritedCall(final Clock clock, final long endpoint) {
        final Courier.AttemptHistory settled = historyBeforeCurrentAttempt(clock);
        return new Courier.AttemptHistory(
                settled.attempts(),
                settled.mayHaveTakenEffect(),
                settled.firstEffectUs(),
                settled.effectZone(),
                new Courier.InheritedCall(endpoint, clock.fromPersistentUs(attemptStartPersistentUs)));
    }

    /** True if an attempt may have had its effect, or is in flight. */
    boolean mayHaveTakenEffect() {
        return firstEffectPersistentUs != NEVER || hasAttemptInFlight();
    }

    /** The attempts before the one in flight. */
    Courier.AttemptHistory historyBeforeCurrentAttempt(final Clock clock) {
        final boolean ran = firstEffectPersistentUs != NEVER;
        return new Courier.AttemptHistory(
                attempts, ran, ran ? clock.fromPersistentUs(firstEffectPersistentUs) : 0, effectZone);
    }

    /**
     * What a process that did not see the attempts may rely on. A call that was in flight may have had its effect.
     */
    Courier.AttemptHistory historyAfterInterruption(final Clock clock) {
        final long firstPersistentUs = Math.min(firstEffectPersistentUs, attemptStartPersistentUs);
        final boolean ran = firstPersistentUs != NEVER;
        return new Courier.AttemptHistory(
                attempts,
                ran,
                ran ? clock.fromPersistentUs(firstPersistentUs) : 0,
                hasAttemptInFlight() ? attemptZone : effectZone);
    }
}
