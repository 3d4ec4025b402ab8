package railspar.node;

import railspar.Courier;
import java.util.EnumMap;
import java.util.Map;

/** What came and went since the last line of the log that told it. */
final class Counters {
    private final Map<Courier.Result, Integer> outcomes = new EnumMap<>(Courier.Result.class);
    private int taken;
    private int turnedAway;
    private int ended;
    private int shed;
    private int requestsInDoubt;
    private int answersInDoubt;

    /** A message was taken. */
    void taken() {
        taken++;
    }

    /** A message was turned away at the door: the store or the journal was full. */
    void turnedAway() {
        turnedAway++;
    }

    /** A client's connection made room for others. */
    void shed() {
        shed++;
    }

    /** A message was ended undelivered. */
    void ended() {
        ended++;
    }

    /** A call's request may have left although a write failed; the result is how many there were. */
    int requestInDoubt() {
        return ++requestsInDoubt;
    }

    /** A client may have read that its message is taken on although a write failed; likewise. */
    int answerInDoubt() {
        return ++answersInDoubt;
    }

    void outcome(final Courier.Result result) {
        outcomes.merge(result, 1, Integer::sum);
    }

    /** The counts as text; they begin anew. */
    String take() {
        final String text = "taken " + taken + ", turned away " + turnedAway + ", ended undelivered " + ended
                + ", shed " + shed + ", in doubt " + requestsInDoubt + " requests and " + answersInDoubt
                + " answers, attempts " + outcomes;
        taken = turnedAway = ended = shed = requestsInDoubt = answersInDoubt = 0;
        outcomes.clear();
        return text;
    }
}
