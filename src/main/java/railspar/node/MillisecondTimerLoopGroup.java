package railspar.node;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * One event loop that waits whole milliseconds, rounded up, for its next timer. A selector cannot wait for less, and
 * Netty, left alone, asks it without end through the last half of one: up to half a millisecond of the processor for
 * each timer, and far more where a courier has a small share of a core. A timer is up to a millisecond late instead.
 * An error in a task ends the process, as {@link FatalError} tells.
 */
final class MillisecondTimerLoopGroup extends MultiThreadIoEventLoopGroup {
    private static final long NS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

    MillisecondTimerLoopGroup(final ThreadFactory threads, final IoHandlerFactory handlers) {
        super(1, threads, handlers);
    }

    @Override
    protected IoEventLoop newChild(final Executor executor, final IoHandlerFactory handlers, final Object... unused) {
        return new SingleThreadIoEventLoop(this, executor, handlers) {
            @Override
            protected long delayNanos(final long nowNs) {
                return roundUpToMs(super.delayNanos(nowNs));
            }

            @Override
            public void execute(final Runnable task) {
                super.execute(FatalError.guarded(task));
            }

            @Override
            public ScheduledFuture<?> schedule(final Runnable task, final long delay, final TimeUnit unit) {
                return super.schedule(FatalError.guarded(task), delay, unit);
            }

            @Override
            public ScheduledFuture<?> scheduleWithFixedDelay(
                    final Runnable task, final long initialDelay, final long delay, final TimeUnit unit) {
                return super.scheduleWithFixedDelay(FatalError.guarded(task), initialDelay, delay, unit);
            }
        };
    }

    /** Rounded up to whole milliseconds; what is due already stays so. */
    static long roundUpToMs(final long ns) {
        return ns <= 0 || ns > Long.MAX_VALUE - NS_PER_MS ? ns : (ns + NS_PER_MS - 1) / NS_PER_MS * NS_PER_MS;
    }
}
