package railspar.scale.fleet;

import railspar.Courier;

/** A message that a courier has accepted and not ended yet, with the state that its journal would contain. */
final class OpenMessage {
    final Courier.Message message;
    /** Attempts made so far; the last one is in flight while {@link #callInFlight} is true. */
    int attempts;

    boolean callInFlight;
    long callSentUs;
    boolean mayHaveTakenEffect;
    long firstEffectUs;

    OpenMessage(final Courier.Message message) {
        this.message = message;
    }

    /** Records that an attempt sent at this time may have taken effect. */
    void recordPossibleEffect(final long sentUs) {
        firstEffectUs = mayHaveTakenEffect ? Math.min(firstEffectUs, sentUs) : sentUs;
        mayHaveTakenEffect = true;
    }

    /** The earlier attempts, as a restarted process gets them from its journal. */
    Courier.AttemptHistory history() {
        return new Courier.AttemptHistory(attempts, mayHaveTakenEffect, firstEffectUs, "");
    }
}
