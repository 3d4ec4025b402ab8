package railspar.scale.fleet;

import java.util.PriorityQueue;

/** Events of a simulated clock, by time and, at one time, in the order in which they were added. */
final class EventQueue {
    private record Event(long atUs, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(final Event other) {
            final int byTime = Long.compare(atUs, other.atUs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long added;
    private long nowUs;
    /** All events before this have been run. */
    private long ranUntilUs;

    EventQueue(final long nowUs) {
        this.nowUs = nowUs;
    }

    /** The time of the event that runs, or of the last one. */
    long nowUs() {
        return nowUs;
    }

    /** Adds an event, which may not lie before what has been run. */
    void at(final long atUs, final Runnable action) {
        if (atUs < ranUntilUs) {
            throw new IllegalArgumentException(
                    "an event at " + atUs + " us, after all before " + ranUntilUs + " us ran");
        }
        events.add(new Event(Math.max(nowUs, atUs), added++, action));
    }

    /** Adds an event at this time or, where that has passed, at the end of what has been run. */
    void atOrNext(final long atUs, final Runnable action) {
        at(Math.max(atUs, ranUntilUs), action);
    }

    /** Adds an event that happens after a delay. */
    void after(final long delayUs, final Runnable action) {
        at(nowUs + delayUs, action);
    }

    /** Runs what happens before a time. */
    void runUntil(final long untilUs) {
        while (!events.isEmpty() && events.peek().atUs() < untilUs) {
            final Event event = events.poll();
            nowUs = event.atUs();
            event.action().run();
        }
        ranUntilUs = Math.max(ranUntilUs, untilUs);
    }
}
