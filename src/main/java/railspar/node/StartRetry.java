package railspar.node;

import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Repeats steps of the start until they succeed. Faults of the state folder and of sockets pass, while a process that
 * ends has crashed: what a start needs is waited for.
 */
final class StartRetry {
    private static final long RETRY_MS = 50;

    /** One step; what it throws is a fault that may pass. It is run again as a whole. */
    interface Step<T> {
        T run() throws IOException;
    }

    private StartRetry() {}

    /** Runs a step on this thread until it succeeds. */
    static <T> T blocking(final String what, final Step<T> step) {
        for (long failures = 0; ; failures++) {
            try {
                final T result = step.run();
                succeeded(what, failures);
                return result;
            } catch (final IOException e) {
                failed(what, e, failures);
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RETRY_MS));
            }
        }
    }

    /** Runs a step now and, until it succeeds, again on this executor, whose thread must be the calling one. */
    static void onExecutor(final ScheduledExecutorService executor, final String what, final Step<?> step) {
        onExecutor(executor, what, step, 0);
    }

    private static void onExecutor(
            final ScheduledExecutorService executor, final String what, final Step<?> step, final long failures) {
        try {
            step.run();
            succeeded(what, failures);
        } catch (final IOException e) {
            failed(what, e, failures);
            scheduleRetry(executor, () -> onExecutor(executor, what, step, failures + 1));
        }
    }

    /** Runs a task after the pause between two tries. */
    static void scheduleRetry(final ScheduledExecutorService executor, final Runnable task) {
        executor.schedule(task, RETRY_MS, TimeUnit.MILLISECONDS);
    }

    /** A step has failed; it is said once. */
    static void failed(final String what, final Throwable cause, final long failuresBefore) {
        if (failuresBefore == 0) {
            Log.info("start: cannot " + what + ", tried again until it succeeds: " + cause);
        }
    }

    /** A step has succeeded; that is said where its failure was. */
    static void succeeded(final String what, final long failuresBefore) {
        if (failuresBefore > 0) {
            Log.info("start: could " + what + " after " + failuresBefore + " failures");
        }
    }
}
