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

/** A fatal error on the event loop ends the process with a log line and an exit status, instead of hanging it. */
@Timeout(60)
final class FatalErrorTest {
    private static final long TIMEOUT_S = 30;
    private static final String THROWN = "thrown by the test";

    /** The fault that a child process causes. */
    enum Fault {
        FULL_HEAP {
            @Override
            void trigger(final EventLoop loop) {
                loop.execute(() -> {
                    final List<byte[]> blocks = new ArrayList<>();
                    while (!blocks.contains(null)) {
                        blocks.add(new byte[1 << 16]);
                    }
                });
            }
        },
        IN_A_TASK {
            @Override
            void trigger(final EventLoop loop) {
                loop.execute(Fault::fail);
            }
        },
        IN_A_TIMER {
            @Override
            void trigger(final EventLoop loop) {
                loop.schedule(Fault::fail, 1, TimeUnit.MILLISECONDS);
            }
        },
        IN_A_REPEATED_TIMER {
            @Override
            void trigger(final EventLoop loop) {
                loop.scheduleWithFixedDelay(Fault::fail, 1, 1, TimeUnit.MILLISECONDS);
            }
        },
        BEHIND_AN_EXCEPTION {
            @Override
            void trigger(final EventLoop loop) {
                FatalError.exitOn("a handler", new IllegalStateException(new OutOfMemoryError(THROWN)));
            }
        };

        abstract void trigger(EventLoop loop);

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
            Fault.valueOf(args[0]).trigger(group.next());
            new CountDownLatch(1).await();
        }
    }

    private record ProcessResult(int status, String output) {}

    private static ProcessResult run(final Fault fault) throws IOException, InterruptedException {
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
            child.onExit().orTimeout(TIMEOUT_S, TimeUnit.SECONDS).exceptionally(timeout -> child.destroyForcibly());
            final String output = new String(child.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(child.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "still alive; " + output);
            return new ProcessResult(child.exitValue(), output);
        } finally {
            child.destroyForcibly();
        }
    }

    @Test
    void outOfMemoryEndsTheProcessWithALogLine() throws Exception {
        final ProcessResult result = run(Fault.FULL_HEAP);
        assertEquals(FatalError.EXIT_STATUS, result.status(), result.output());
        assertTrue(result.output().contains("Terminating due to java.lang.OutOfMemoryError"), result.output());
    }

    @Test
    void errorInATaskOrTimerEndsTheProcessWithALogLine() throws Exception {
        for (final Fault fault : List.of(Fault.IN_A_TASK, Fault.IN_A_TIMER, Fault.IN_A_REPEATED_TIMER)) {
            final ProcessResult result = run(fault);
            assertEquals(FatalError.EXIT_STATUS, result.status(), fault + ": " + result.output());
            assertTrue(
                    result.output().contains("terminating: event loop: java.lang.OutOfMemoryError: " + THROWN),
                    fault + ": " + result.output());
        }
    }

    @Test
    void errorThatCausedAnExceptionEndsTheProcessWithALogLine() throws Exception {
        final ProcessResult result = run(Fault.BEHIND_AN_EXCEPTION);
        assertEquals(FatalError.EXIT_STATUS, result.status(), result.output());
        assertTrue(result.output().contains("terminating: a handler: java.lang.OutOfMemoryError: " + THROWN));
    }

    @Test
    void classThatCannotBeLoadedWithoutAFreeDescriptorDoesNotEndTheProcess() {
        final NoClassDefFoundError loadError = new NoClassDefFoundError("railspar/Later");
        FatalError.exitOn("a handler", loadError);
        final Runnable task = FatalError.guarded(() -> {
            throw loadError;
        });
        assertSame(loadError, assertThrows(NoClassDefFoundError.class, task::run));
    }

    @Test
    void otherExceptionsDoNotEndTheProcess() {
        FatalError.exitOn("a handler", new IllegalStateException(new IOException("reset")));
        final boolean[] ran = new boolean[1];
        FatalError.guarded(() -> ran[0] = true).run();
        assertTrue(ran[0]);
        assertFalse(Thread.currentThread().isInterrupted());
    }
}
