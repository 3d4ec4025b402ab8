package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An error on the event loop ends the process with a line and a status, instead of leaving it alive and deaf. */
@Timeout(60)
final class FatalErrorTest {
    private static final long PATIENCE_S = 30;
    private static final String THROWN = "thrown by the test";

    /** What a child process runs. */
    enum Fault {
        FULL_HEAP {
            @Override
            void arise(final EventLoop loop) {
                loop.execute(() -> {
                    final List<byte[]> held = new ArrayList<>();
                    while (!held.contains(null)) {
                        held.add(new byte[1 << 16]);
                    }
                });
            }
        },
        IN_A_TASK {
            @Override
            void arise(final EventLoop loop) {
                loop.execute(Fault::fail);
            }
        },
        IN_A_TIMER {
            @Override
            void arise(final EventLoop loop) {
                loop.schedule(Fault::fail, 1, TimeUnit.MILLISECONDS);
            }
        },
        IN_A_REPEATED_TIMER {
            @Override
            void arise(final EventLoop loop) {
                loop.scheduleWithFixedDelay(Fault::fail, 1, 1, TimeUnit.MILLISECONDS);
            }
        },
        BEHIND_AN_EXCEPTION {
            @Override
            void arise(final EventLoop loop) {
                FatalError.exitOn("a handler", new IllegalStateException(new OutOfMemoryError(THROWN)));
            }
        };

        abstract void arise(EventLoop loop);

        private static void fail() {
            throw new OutOfMemoryError(THROWN);
        }
    }

    /** The child process. */
    static final class Child {
        private Child() {}

        public static void main(final String[] args) throws InterruptedException {
            final EventLoopGroup group =
                    new MillisecondTimerLoopGroup(new DefaultThreadFactory("child"), NioIoHandler.newFactory());
            Fault.valueOf(args[0]).arise(group.next());
            new CountDownLatch(1).await();
        }
    }

    private record End(int status, String output) {}

    private static End run(final Fault fault) throws IOException, InterruptedException {
        final Process child = new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-Xmx16m",
                        "-XX:+UseSerialGC",
                        "-XX:+ExitOnOutOfMemoryError",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Child.class.getName(),
                        fault.name())
                .redirectErrorStream(true)
                .start();
        try {
            child.onExit().orTimeout(PATIENCE_S, TimeUnit.SECONDS).exceptionally(late -> child.destroyForcibly());
            final String output = new String(child.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(child.waitFor(PATIENCE_S, TimeUnit.SECONDS), "still alive; " + output);
            return new End(child.exitValue(), output);
        } finally {
            child.destroyForcibly();
        }
    }

    @Test
    void memoryThatRunsOutEndsTheProcessWithALine() throws Exception {
        final End end = run(Fault.FULL_HEAP);
        assertEquals(FatalError.EXIT_STATUS, end.status(), end.output());
        assertTrue(end.output().contains("Terminating due to java.lang.OutOfMemoryError"), end.output());
    }

    @Test
    void anErrorInATaskOrATimerEndsTheProcessWithALine() throws Exception {
        for (final Fault fault : List.of(Fault.IN_A_TASK, Fault.IN_A_TIMER, Fault.IN_A_REPEATED_TIMER)) {
            final End end = run(fault);
            assertEquals(FatalError.EXIT_STATUS, end.status(), fault + ": " + end.output());
            assertTrue(
                    end.output().contains("terminating: event loop: java.lang.OutOfMemoryError: " + THROWN),
                    fault + ": " + end.output());
        }
    }

    @Test
    void anErrorBehindAnExceptionEndsTheProcessWithALine() throws Exception {
        final End end = run(Fault.BEHIND_AN_EXCEPTION);
        assertEquals(FatalError.EXIT_STATUS, end.status(), end.output());
        assertTrue(end.output().contains("terminating: a handler: java.lang.OutOfMemoryError: " + THROWN));
    }

    @Test
    void aClassThatCannotBeReadForWantOfADescriptorEndsNothing() {
        final NoClassDefFoundError unread = new NoClassDefFoundError("railspar/Later");
        FatalError.exitOn("a handler", unread);
        final Runnable task = FatalError.guarded(() -> {
            throw unread;
        });
        assertSame(unread, assertThrows(NoClassDefFoundError.class, task::run));
    }

    @Test
    void anyOtherExceptionEndsNothing() {
        FatalError.exitOn("a handler", new IllegalStateException(new IOException("reset")));
        final boolean[] ran = new boolean[1];
        FatalError.guarded(() -> ran[0] = true).run();
        assertTrue(ran[0]);
        assertFalse(Thread.currentThread().isInterrupted());
    }
}
