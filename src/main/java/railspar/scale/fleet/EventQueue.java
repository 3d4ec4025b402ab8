package railspar.scale.fleet;

import java.util.PriorityQueue;

/** Events of a simulated clock, ordered by time; events at the same time run in the order they were added. */
final class EventQueue {
    private record Event(long atUs, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(final Event other) {
            final int byTime = Long.compare(atUs, other.atUs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long eventsAdded;
    private long nowUs;
    /** All events before this time have run. */
    private long completedUntilUs;

    EventQueue(final long nowUs) {
        this.nowUs = nowUs;
    }

    /** The time of the running event, or of the last one that ran. */
    long nowUs() {
        return nowUs;
    }

    /** Adds an event; its time must not precede the end of the last {@link #runUntil}. */
    void at(final long atUs, final Runnable action) {
        if (atUs < completedUntilUs) {
            throw new IllegalArgumentException(
                    "cannot add an event at " + atUs + " us: all events before " + completedUntilUs + " us have run");
        }
        events.add(new Event(Math.max(nowUs, atUs), eventsAdded++, action));
    }

    /** Adds an event at this time or, if that has passed, at the end of the last {@link #runUntil}. */
    void atOrNext(final long atUs, final Runnable action) {
        at(Math.max(atUs, completedUntilUs), action);
    }

    /** Adds an event that happens after a delay. */
    void after(final long delayUs, final Runnable action) {
        at(nowUs + delayUs, action);
    }

    /** Runs all events before this time. */
    void runUntil(final long untilUs) {
        while (!events.isEmpty() && events.peek().atUs() < untilUs) {
            final Event event = events.poll();
            nowUs = event.atUs();
            event.action().run();
        }
        completedUntilUs = Math.max(completedUntilUs, untilUs);
    }
}
