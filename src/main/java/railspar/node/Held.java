package railspar.node;

import railspar.Courier;

/**
 * A message that this courier owes an end, as the journal keeps it (times in microseconds of persistent time): what its
 * client handed in, and what became of it so far. Once it has ended by a notice, only the notice is still owed.
 */
final class Held {
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
    private long firstRunPersistentUs = NEVER;
    private String runZone = "";
    /** When the attempt that is out was begun; never, while none is. */
    private long outPersistentUs = NEVER;

    private String outZone = "";
    private Notice notice;

    /** The end that the platform is told: a failure, or a refusal with the time after which to come again. */
    record Notice(boolean failed, long againMs) {}

    Held(
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

    void begin(final long persistentUs, final String zone) {
        attempts++;
        outPersistentUs = persistentUs;
        outZone = zone;
    }

    /** The attempt that was out has its outcome. */
    void settle(final boolean neverRan) {
        if (!neverRan && outPersistentUs != NEVER) {
            firstRunPersistentUs = Math.min(firstRunPersistentUs, outPersistentUs);
            runZone = outZone;
        }
        outPersistentUs = NEVER;
    }

    void restore(final int attemptsUsed, final long firstRun, final String zone) {
        attempts = attemptsUsed;
        firstRunPersistentUs = firstRun;
        runZone = zone;
    }

    void owe(final Notice owed) {
        notice = owed;
    }

    Notice notice() {
        return notice;
    }

    int attempts() {
        return attempts;
    }

    long firstRunPersistentUs() {
        return firstRunPersistentUs;
    }

    String runZone() {
        return runZone;
    }

    boolean isOut() {
        return outPersistentUs != NEVER;
    }

    long outPersistentUs() {
        return outPersistentUs;
    }

    String outZone() {
        return outZone;
    }

    /** As {@link #past}, where the call that is out goes on at a process that still lives. */
    Courier.AttemptHistory pastBut(final Clock clock, final long endpoint) {
        final Courier.AttemptHistory settled = settledPast(clock);
        return new Courier.AttemptHistory(
                settled.attempts(),
                settled.mayHaveTakenEffect(),
                settled.firstEffectUs(),
                settled.effectZone(),
                new Courier.InheritedCall(endpoint, clock.fromPersistentUs(outPersistentUs)));
    }

    /** True if an attempt may have run, or is out. */
    boolean mayHaveRun() {
        return firstRunPersistentUs != NEVER || isOut();
    }

    /** What the attempts before the one that is out may have done. */
    Courier.AttemptHistory settledPast(final Clock clock) {
        final boolean ran = firstRunPersistentUs != NEVER;
        return new Courier.AttemptHistory(attempts, ran, ran ? clock.fromPersistentUs(firstRunPersistentUs) : 0, runZone);
    }

    /** What a process that did not see the attempts may count on. A call that was out may have run. */
    Courier.AttemptHistory past(final Clock clock) {
        final long firstPersistentUs = Math.min(firstRunPersistentUs, outPersistentUs);
        final boolean ran = firstPersistentUs != NEVER;
        return new Courier.AttemptHistory(
                attempts, ran, ran ? clock.fromPersistentUs(firstPersistentUs) : 0, isOut() ? outZone : runZone);
    }
}
