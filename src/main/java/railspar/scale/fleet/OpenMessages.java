package railspar.scale.fleet;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import railspar.Courier;

/** The open messages of one courier, which survive a restart of its process as those in a journal do. */
final class OpenMessages {
    /** How long after the deadline the platform accepts the end of a message. */
    private static final long LATE_TOLERANCE_US = 300 * Units.US_PER_MS;
    /** No message counts as late for this long after a process is ready. */
    private static final long START_GRACE_PERIOD_US = 1_500 * Units.US_PER_MS;

    private final int courier;
    private final int destinations;
    private final List<Courier.MessageClass> classes;
    private final Random random;
    private final MessageCounts counts;
    private final Map<String, OpenMessage> open = new LinkedHashMap<>();
    private final BitSet usedDestinations = new BitSet();
    private long created;

    /** Classes and destinations are drawn from {@code random}; outcomes are counted in {@code counts}. */
    OpenMessages(
            final int courier,
            final int destinations,
            final List<Courier.MessageClass> classes,
            final Random random,
            final MessageCounts counts) {
        this.courier = courier;
        this.destinations = destinations;
        this.classes = classes;
        this.random = random;
        this.counts = counts;
    }

    /** Accepts a message of a random class for a random destination. */
    OpenMessage accept(final long nowUs) {
        final int messageClass = random.nextInt(classes.size());
        final long destination = random.nextInt(destinations);
        final long deadlineUs = nowUs + classes.get(messageClass).deadlineUs();
        final String id = "c" + courier + "-" + created++;
        final OpenMessage accepted =
                new OpenMessage(new Courier.Message(id, messageClass, -1, null, deadlineUs, destination));
        usedDestinations.set((int) destination);
        open.put(id, accepted);
        counts.accepted++;
        return accepted;
    }

    /** The message with this id, or null if it has ended. */
    OpenMessage find(final String id) {
        return open.get(id);
    }

    /** All open messages, in the order in which they were accepted. */
    List<OpenMessage> all() {
        return List.copyOf(open.values());
    }

    int size() {
        return open.size();
    }

    /** Number of destinations that there was a message for. */
    int usedDestinations() {
        return usedDestinations.cardinality();
    }

    /** Ends a message and counts it as late if its deadline has passed, at a courier ready since {@code readyAtUs}. */
    void end(final String id, final long nowUs, final long readyAtUs, final Runnable count) {
        final OpenMessage ended = open.remove(id);
        if (ended == null) {
            counts.endedTwice++;
            return;
        }
        count.run();
        final long latestEndUs =
                Math.max(ended.message.validUntilUs() + LATE_TOLERANCE_US, readyAtUs + START_GRACE_PERIOD_US);
        counts.late += nowUs > latestEndUs ? 1 : 0;
    }

    /** Aborts the calls in flight of a killed process; they may have taken effect. */
    void abortCalls() {
        for (final OpenMessage message : open.values()) {
            if (message.callInFlight) {
                message.callInFlight = false;
                message.recordPossibleEffect(message.callSentUs);
            }
        }
    }

    /** Drops all messages because the folder was lost; the platform gives them to other couriers. */
    void discardAll() {
        counts.lostWithStateFolder += open.size();
        open.clear();
    }

    /** Open messages whose deadline and tolerance have passed. */
    long overdue(final long nowUs) {
        return open.values().stream()
                .filter(message -> message.message.validUntilUs() + LATE_TOLERANCE_US < nowUs)
                .count();
    }
}
