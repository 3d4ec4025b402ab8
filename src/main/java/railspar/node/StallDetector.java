package railspar.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Detects that the event loop has stalled and has not read its sockets since, because the process had no core or was
 * stopped. What peers wrote meanwhile, for example that an endpoint drains, already applies. So nothing new is sent
 * until the sockets have been read. Used on the event loop.
 */
final class StallDetector {
    private static final long TICK_MS = 50;
    /** A drain must be obeyed after 250 ms: a pause shorter than this cannot make a send too late. */
    static final long STALL_US = 200_000;
    /** A task with this delay runs after the next read of the sockets. */
    private static final long SOCKET_READ_DELAY_MS = 2;

    private final LongSupplier nowUs;
    private final Scheduler scheduler;
    private long lastTickUs;
    private boolean stalled;

    /** Runs a task on the event loop after a delay. */
    interface Scheduler {
        void run(Runnable task, long delayMs);
    }

    StallDetector(final LongSupplier nowUs, final Scheduler scheduler) {
        this.nowUs = nowUs;
        this.scheduler = scheduler;
        this.lastTickUs = nowUs.getAsLong();
    }

    /** Creates a detector for an event loop and starts its ticks. */
    static StallDetector start(final EventLoop loop, final Clock clock) {
        final StallDetector detector =
                new StallDetector(clock::nowUs, (task, delayMs) -> loop.schedule(task, delayMs, TimeUnit.MILLISECONDS));
        loop.scheduleWithFixedDelay(detector::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        return detector;
    }

    private void tick() {
        checkForStall();
        lastTickUs = nowUs.getAsLong();
    }

    /** True if the loop stalled and has not read its sockets since. */
    boolean isStalled() {
        checkForStall();
        return stalled;
    }

    private void checkForStall() {
        final long sinceTickUs = nowUs.getAsLong() - lastTickUs;
        if (!stalled && sinceTickUs > STALL_US) {
            stalled = true;
            Log.info("the event loop stood still for " + sinceTickUs + " us");
            scheduler.run(this::onSocketsRead, SOCKET_READ_DELAY_MS);
        }
    }

    private void onSocketsRead() {
        lastTickUs = nowUs.getAsLong();
        stalled = false;
    }

    /** Runs a task once the sockets have been read: at once, unless the loop stalled. */
    void afterSocketReads(final Runnable task) {
        if (isStalled()) {
            scheduler.run(task, SOCKET_READ_DELAY_MS);
        } else {
            task.run();
        }
    }
}
