package railspar.scale.fleet;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import railspar.Courier;

/** The messages that one courier has taken and that have no end yet, as its journal holds them over a restart. */
final class OpenMessages {
    /** How late an end may come, as the platform allows. */
    private static final long LATE_US = 300 * Units.US_PER_MS;
    /** After a start no end is late for so long. */
    private static final long START_GRACE_US = 1_500 * Units.US_PER_MS;

    private final int courier;
    private final int destinations;
    private final List<Courier.MessageClass> classes;
    private final Random traffic;
    private final MessageCounts counts;
    private final Map<String, OpenMessage> open = new LinkedHashMap<>();
    private final BitSet contacted = new BitSet();
    private long made;

    /** What is drawn at random comes from {@code traffic}; ends are counted in {@code counts}. */
    OpenMessages(
            final int courier,
            final int destinations,
            final List<Courier.MessageClass> classes,
            final Random traffic,
            final MessageCounts counts) {
        this.courier = courier;
        this.destinations = destinations;
        this.classes = classes;
        this.traffic = traffic;
        this.counts = counts;
    }

    /** Takes a message of any class for any destination. */
    OpenMessage take(final long nowUs) {
        final int messageClass = traffic.nextInt(classes.size());
        final long destination = traffic.nextInt(destinations);
        final long endUs = nowUs + classes.get(messageClass).deadlineUs();
        final String id = "c" + courier + "-" + made++;
        final OpenMessage taken = new OpenMessage(new Courier.Message(id, messageClass, -1, null, endUs, destination));
        contacted.set((int) destination);
        open.put(id, taken);
        counts.taken++;
        return taken;
    }

    /** The message with this id, or null if it has ended. */
    OpenMessage find(final String id) {
        return open.get(id);
    }

    /** All of them, in the order in which they were taken. */
    List<OpenMessage> all() {
        return List.copyOf(open.values());
    }

    int size() {
        return open.size();
    }

    /** Destinations that there was a message for. */
    int destinationsContacted() {
        return contacted.cardinality();
    }

    /** Ends a message, and counts whether that is late at a courier that was ready at {@code readyAtUs}. */
    void end(final String id, final long nowUs, final long readyAtUs, final Runnable count) {
        final OpenMessage ended = open.remove(id);
        if (ended == null) {
            counts.endedTwice++;
            return;
        }
        count.run();
        final long dueUs = Math.max(ended.message.validUntilUs() + LATE_US, readyAtUs + START_GRACE_US);
        counts.late += nowUs > dueUs ? 1 : 0;
    }

    /** The process was killed: calls that are out may have had their effect. */
    void cutOffCalls() {
        for (final OpenMessage message : open.values()) {
            if (message.callOut) {
                message.callOut = false;
                message.mayHaveRunSince(message.callSentUs);
            }
        }
    }

    /** The folder was lost with all of them; the platform hands them to others. */
    void loseAll() {
        counts.lostWithFolder += open.size();
        open.clear();
    }

    /** Messages without an end whose time is over. */
    long overdue(final long nowUs) {
        return open.values().stream()
                .filter(message -> message.message.validUntilUs() + LATE_US < nowUs)
                .count();
    }
}
