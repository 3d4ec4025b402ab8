package railspar.scale;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Assertions;

/** Waits for a condition that another thread or process fulfils; the test fails after a timeout instead of hanging. */
public final class BoundedWait {
    private static final long TIMEOUT_SECONDS = 60;

    private BoundedWait() {}

    /** Returns once the condition holds; fails after a minute, or when the test is interrupted. */
    public static void until(final String description, final BooleanSupplier condition) {
        final long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNs || Thread.currentThread().isInterrupted()) {
                Assertions.fail("timed out or interrupted while waiting for " + description);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }
}
