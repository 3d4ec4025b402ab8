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

    /** Counts an accepted message. */
    void messageAccepted() {
        messagesAccepted++;
    }

    /** Counts a message that was rejected at admission: the store or the journal was full. */
    void messageRejected() {
        messagesRejected++;
    }

    /** Counts a client connection that was closed to make room for others. */
    void connectionShed() {
        connectionsShed++;
    }

    /** Counts a message that ended undelivered. */
    void messageEndedUndelivered() {
        messagesEndedUndelivered++;
    }

    /** Counts a request that may have been sent although a write failed; returns the count. */
    int requestInDoubt() {
        return ++requestsInDoubt;
    }

    /** Counts an accepting answer that its client may have read although a write failed; returns the count. */
    int answerInDoubt() {
        return ++answersInDoubt;
    }

    /** Counts the result of an attempt. */
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
