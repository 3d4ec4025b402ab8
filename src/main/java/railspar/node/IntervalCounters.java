package railspar.node;

import java.util.EnumMap;
import java.util.Map;
import railspar.Courier;

/** Counts events since the last report in the log. */
final class IntervalCounters {
    private final Map<Courier.Result, Integer> outcomes = new EnumMap<>(Courier.Result.class);
    private int messagesAccepted;
    private int messagesRejected;
    private int messagesEndedUndelivered;
    private int connectionsShed;
    private int requestsInDoubt;
    private int answersInDoubt;

    /** A message was accepted. */
    void messageAccepted() {
        messagesAccepted++;
    }

    /** A message was rejected before it was accepted: the store or the journal was full. */
    void messageRejected() {
        messagesRejected++;
    }

    /** A client's connection was closed to make room for others. */
    void connectionShed() {
        connectionsShed++;
    }

    /** A message was ended undelivered. */
    void messageEndedUndelivered() {
        messagesEndedUndelivered++;
    }

    /** A call's request may have left although a write failed; the result is how many there were. */
    int requestInDoubt() {
        return ++requestsInDoubt;
    }

    /** A client may have read that its message is taken on although a write failed; likewise. */
    int answerInDoubt() {
        return ++answersInDoubt;
    }

    void attemptEnded(final Courier.Result result) {
        outcomes.merge(result, 1, Integer::sum);
    }

    /** Returns the counts as text and resets them. */
    String summarizeAndReset() {
        final String text = "taken " + messagesAccepted + ", turned away " + messagesRejected + ", ended undelivered "
                + messagesEndedUndelivered
                + ", shed " + connectionsShed + ", in doubt " + requestsInDoubt + " requests and " + answersInDoubt
                + " answers, attempts " + outcomes;
        messagesAccepted =
                messagesRejected = messagesEndedUndelivered = connectionsShed = requestsInDoubt = answersInDoubt = 0;
        outcomes.clear();
        return text;
    }
}
