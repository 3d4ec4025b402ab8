package railspar.scale.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** One destination's limits and state, without sockets and with the time told by the caller. Not thread-safe. */
final class Destination {
    private static final double NS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    /** Messages that may come at once without waiting for the limit, as a time's worth of it. */
    private static final double BURST_SECONDS = 0.1;
    /** A wait is never shorter: the limit is shared by many senders. */
    private static final long LEAST_WAIT_NS = TimeUnit.MILLISECONDS.toNanos(10);

    /** A call that waits for a slot. */
    interface Call {
        /** It has a slot now and runs. */
        void run();
    }

    /** How many of the messages of a call are taken, and how long the others are told to wait. */
    record Admission(int taken, long waitNs) {}

    private final DestinationSettings settings;
    private final Deque<Call> waiting = new ArrayDeque<>();
    private int running;
    private boolean hung;
    /** Messages that the limit lets through now. */
    private double allowance;

    private long allowanceAtNs = Long.MIN_VALUE;
    /** When the last outage ended; it is warm where there was none. */
    private long warmingFromNs = Long.MIN_VALUE;

    private long fallenUntilNs = Long.MIN_VALUE;
    private long secondBeganNs = Long.MIN_VALUE;
    private int messagesInSecond;

    private long calls;
    private long messages;
    private long accepted;
    private long turnedAway;
    private long falls;

    Destination(final DestinationSettings settings) {
        this.settings = settings;
    }

    /** From now on calls get no answer, or get them again. */
    void hang(final boolean hangs) {
        hung = hangs;
    }

    boolean isHung() {
        return hung;
    }

    /** An outage ends now: it is cold. */
    void recover(final long nowNs) {
        warmingFromNs = nowNs;
        allowance = 0;
        allowanceAtNs = nowNs;
    }

    /** The share of its limit that it bears at that time. */
    double warmth(final long nowNs) {
        final long warmingNs = settings.warming().toNanos();
        if (warmingFromNs == Long.MIN_VALUE || nowNs - warmingFromNs >= warmingNs) {
            return 1;
        }
        final double passed = (double) (nowNs - warmingFromNs) / warmingNs;
        return settings.coldShare() + (1 - settings.coldShare()) * passed;
    }

    /** A call with so many messages arrives. */
    Admission arrive(final long nowNs, final int count) {
        calls++;
        messages += count;
        countForFall(nowNs, count);
        if (nowNs < fallenUntilNs) {
            return turnAway(count, fallenUntilNs - nowNs);
        }
        if (running >= settings.slots() && waiting.size() >= settings.queue()) {
            return turnAway(count, 0);
        }
        if (settings.messagesPerSecond() == 0) {
            return new Admission(count, 0);
        }
        refill(nowNs);
        final int taken = (int) Math.min(count, Math.floor(allowance));
        allowance -= taken;
        if (taken == count) {
            return new Admission(count, 0);
        }
        final double missing = 1 - (allowance - Math.floor(allowance));
        final long waitNs = (long) (missing / (settings.messagesPerSecond() * warmth(nowNs)) * NS_PER_SECOND);
        turnedAway += count - taken;
        return new Admission(taken, Math.max(LEAST_WAIT_NS, waitNs));
    }

    private Admission turnAway(final int count, final long waitNs) {
        turnedAway += count;
        return new Admission(0, waitNs);
    }

    private void refill(final long nowNs) {
        final double rate = settings.messagesPerSecond() * warmth(nowNs);
        final double most = Math.max(1, rate * BURST_SECONDS);
        if (allowanceAtNs == Long.MIN_VALUE) {
            allowance = most;
        } else {
            allowance = Math.min(most, allowance + rate * (nowNs - allowanceAtNs) / NS_PER_SECOND);
        }
        allowanceAtNs = nowNs;
    }

    /** Sent far more within a second than it bears while it warms up, it falls, and is cold again afterwards. */
    private void countForFall(final long nowNs, final int count) {
        if (secondBeganNs == Long.MIN_VALUE || nowNs - secondBeganNs >= NS_PER_SECOND) {
            secondBeganNs = nowNs;
            messagesInSecond = 0;
        }
        messagesInSecond += count;
        final double warmth = warmth(nowNs);
        final double bears = settings.messagesPerSecond() * warmth;
        if (warmth < 1 && bears > 0 && nowNs >= fallenUntilNs && messagesInSecond > settings.tipMultiple() * bears) {
            falls++;
            fallenUntilNs = nowNs + settings.fall().toNanos();
            recover(fallenUntilNs);
        }
    }

    /** A call that was let in takes a slot, or waits for one. */
    void start(final Call call) {
        if (running < settings.slots()) {
            running++;
            call.run();
        } else {
            waiting.add(call);
        }
    }

    /** A call that had a slot is over, with so many messages accepted. */
    void finish(final int acceptedMessages) {
        accepted += acceptedMessages;
        running--;
        final Call next = waiting.poll();
        if (next != null) {
            running++;
            next.run();
        }
    }

    /** A call is given up while it waits for a slot; false if it waits no more. */
    boolean withdraw(final Call call) {
        return waiting.remove(call);
    }

    DestinationCounts counts() {
        return new DestinationCounts(calls, messages, accepted, turnedAway, falls, running, waiting.size());
    }
}
