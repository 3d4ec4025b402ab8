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
 * One event loop that rounds the wait for its next timer up to whole milliseconds. A selector cannot wait for a
 * fraction of a millisecond, and Netty by default busy-polls through the last half of one. That costs up to half a
 * millisecond of processor time per timer, and far more where the courier has a small share of a core. With the
 * rounding a timer is up to a millisecond late instead. An error in a task ends the process; see {@link FatalError}.
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

    /** Rounds up to whole milliseconds; the delay of a timer that is already due is unchanged. */
    static long roundUpToMs(final long ns) {
        return ns <= 0 || ns > Long.MAX_VALUE - NS_PER_MS ? ns : (ns + NS_PER_MS - 1) / NS_PER_MS * NS_PER_MS;
    }
}
