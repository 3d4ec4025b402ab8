package railspar.node;

import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Repeats steps of the start until they succeed. Faults of the state folder and of sockets are temporary, while a
 * process that ends counts as crashed, so the start waits for what it needs.
 */
final class StartRetry {
    private static final long RETRY_MS = 50;

    /** One step. An exception that it throws is a temporary fault; the whole step is run again. */
    interface Step<T> {
        T run() throws IOException;
    }

    private StartRetry() {}

    /** Runs a step on this thread until it succeeds. */
    static <T> T blocking(final String stepName, final Step<T> step) {
        for (long failures = 0; ; failures++) {
            try {
                final T result = step.run();
                succeeded(stepName, failures);
                return result;
            } catch (final IOException e) {
                failed(stepName, e, failures);
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RETRY_MS));
            }
        }
    }

    /** Runs a step now, on the executor's thread, and again on that executor until it succeeds. */
    static void onExecutor(final ScheduledExecutorService executor, final String stepName, final Step<?> step) {
        onExecutor(executor, stepName, step, 0);
    }

    private static void onExecutor(
            final ScheduledExecutorService executor, final String stepName, final Step<?> step, final long failures) {
        try {
            step.run();
            succeeded(stepName, failures);
        } catch (final IOException e) {
            failed(stepName, e, failures);
            scheduleRetry(executor, () -> onExecutor(executor, stepName, step, failures + 1));
        }
    }

    /** Runs a task after the delay between two tries. */
    static void scheduleRetry(final ScheduledExecutorService executor, final Runnable task) {
        executor.schedule(task, RETRY_MS, TimeUnit.MILLISECONDS);
    }

    /** Logs the first failure of a step; later failures are not logged. */
    static void failed(final String stepName, final Throwable cause, final long failuresBefore) {
        if (failuresBefore == 0) {
            Log.info("start: cannot " + stepName + ", retrying until it succeeds: " + cause);
        }
    }

    /** Logs the success of a step that had failed before. */
    static void succeeded(final String stepName, final long failuresBefore) {
        if (failuresBefore > 0) {
            Log.info("start: could " + stepName + " after " + failuresBefore + " failures");
        }
    }
}
