package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The event loop does not busy-poll through the last fraction of a millisecond before a timer. */
@Timeout(60)
final class MillisecondTimerLoopGroupTest {
    private static final int TIMERS = 100;
    /** Netty's own loop needs hundreds per timer; a wake-up, the timer and the wait need a few. */
    private static final int MAX_ROUNDS = 8 * TIMERS;

    private final AtomicInteger rounds = new AtomicInteger();

    /** Counts how often the loop polls its sockets. */
    private IoHandlerFactory countingHandlers() {
        final IoHandlerFactory nio = NioIoHandler.newFactory();
        return executor -> {
            final IoHandler handler = nio.newHandler(executor);
            return new IoHandler() {
                @Override
                public int run(final IoHandlerContext context) {
                    rounds.incrementAndGet();
                    return handler.run(context);
                }

                @Override
                public void initialize() {
                    handler.initialize();
                }

                @Override
                public void prepareToDestroy() {
                    handler.prepareToDestroy();
                }

                @Override
                public void destroy() {
                    handler.destroy();
                }

                @Override
                public IoRegistration register(final IoHandle handle) throws Exception {
                    return handler.register(handle);
                }

                @Override
                public void wakeup() {
                    handler.wakeup();
                }

                @Override
                public boolean isCompatible(final Class<? extends IoHandle> type) {
                    return handler.isCompatible(type);
                }
            };
        };
    }

    @Test
    void aTimerCostsFewRoundsOfTheLoop() throws InterruptedException {
        final EventLoopGroup group =
                new MillisecondTimerLoopGroup(new DefaultThreadFactory("patient"), countingHandlers());
        final EventLoop loop = group.next();
        final CountDownLatch done = new CountDownLatch(TIMERS);
        // Each timer starts the next one 1.4 ms later: a selector cannot wait for the 0.4 ms.
        final Runnable[] next = new Runnable[1];
        next[0] = () -> {
            done.countDown();
            if (done.getCount() > 0) {
                loop.schedule(next[0], 1400, TimeUnit.MICROSECONDS);
            }
        };
        loop.execute(next[0]);
        done.await();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        assertTrue(rounds.get() <= MAX_ROUNDS, rounds + " rounds for " + TIMERS + " timers");
    }

    @Test
    void delaysAreRoundedUpUnlessTheyAreDue() {
        assertEquals(0, MillisecondTimerLoopGroup.roundUpToMs(0));
        assertEquals(-5, MillisecondTimerLoopGroup.roundUpToMs(-5));
        assertEquals(1_000_000, MillisecondTimerLoopGroup.roundUpToMs(1));
        assertEquals(1_000_000, MillisecondTimerLoopGroup.roundUpToMs(1_000_000));
        assertEquals(2_000_000, MillisecondTimerLoopGroup.roundUpToMs(1_000_001));
        assertEquals(Long.MAX_VALUE, MillisecondTimerLoopGroup.roundUpToMs(Long.MAX_VALUE));
    }
}
