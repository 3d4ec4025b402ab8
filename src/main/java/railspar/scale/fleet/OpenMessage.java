package railspar.scale.fleet;

import railspar.Courier;

/** A message that a courier has taken and that has no end yet, as its journal would hold it. */
final class OpenMessage {
    final Courier.Message message;
    /** Attempts made so far; the last one is out while {@link #callOut} is true. */
    int attempts;

    boolean callOut;
    long callSentUs;
    boolean mayHaveRun;
    long firstRunUs;

    OpenMessage(final Courier.Message message) {
        this.message = message;
    }

    /** An attempt may have had its effect. */
    void mayHaveRunSince(final long sentUs) {
        firstRunUs = mayHaveRun ? Math.min(firstRunUs, sentUs) : sentUs;
        mayHaveRun = true;
    }

    /** What a process that starts anew is told of it. */
    Courier.AttemptHistory past() {
        return new Courier.AttemptHistory(attempts, mayHaveRun, firstRunUs, "");
    }
}
