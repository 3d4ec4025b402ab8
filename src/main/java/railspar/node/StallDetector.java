package railspar.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Tells that the event loop has stood still and has not read its sockets since: the process had no core or was
 * stopped. What peers have written meanwhile, as that an endpoint drains, holds already, so nothing new is sent
 * until the next pass over the sockets is done. Used on the event loop.
 */
final class StallDetector {
    private static final long TICK_MS = 50;
    /** A drain binds after 250 ms: a shorter pause cannot make a send come too late. */
    static final long STALL_US = 200_000;
    /** A task that is due so much later runs behind the next pass over the sockets. */
    private static final long AFTER_READING_MS = 2;

    private final LongSupplier nowUs;
    private final Scheduler later;
    private long tickedUs;
    private boolean stalled;

    /** Runs a task on the event loop after so many milliseconds. */
    interface Scheduler {
        void run(Runnable task, long delayMs);
    }

    StallDetector(final LongSupplier nowUs, final Scheduler later) {
        this.nowUs = nowUs;
        this.later = later;
        this.tickedUs = nowUs.getAsLong();
    }

    /** A detector for this loop that has begun to tick. */
    static StallDetector start(final EventLoop loop, final Clock clock) {
        final StallDetector detector =
                new StallDetector(clock::nowUs, (task, delayMs) -> loop.schedule(task, delayMs, TimeUnit.MILLISECONDS));
        loop.scheduleWithFixedDelay(detector::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        return detector;
    }

    private void tick() {
        look();
        tickedUs = nowUs.getAsLong();
    }

    /** True where the loop stood still and has not read its sockets since. */
    boolean isStalled() {
        look();
        return stalled;
    }

    private void look() {
        final long pausedUs = nowUs.getAsLong() - tickedUs;
        if (!stalled && pausedUs > STALL_US) {
            stalled = true;
            Log.info("the event loop stood still for " + pausedUs + " us");
            later.run(this::read, AFTER_READING_MS);
        }
    }

    private void read() {
        tickedUs = nowUs.getAsLong();
        stalled = false;
    }

    /** Runs a task once the sockets have been read; at once, unless the loop stood still. */
    void afterSocketReads(final Runnable task) {
        if (isStalled()) {
            later.run(task, AFTER_READING_MS);
        } else {
            task.run();
        }
    }
}
