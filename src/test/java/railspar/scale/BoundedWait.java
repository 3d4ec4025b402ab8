package railspar.scale;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Assertions;

/** Waits for what another thread or process brings about; a test that waits in vain fails, it does not hang. */
public final class BoundedWait {
    private static final long MOST_S = 60;

    private BoundedWait() {}

    /** Returns once the condition holds; fails after a minute, or when the test is interrupted. */
    public static void until(final String what, final BooleanSupplier condition) {
        final long latestNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > latestNs || Thread.currentThread().isInterrupted()) {
                Assertions.fail("waited in vain for " + what);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }
}
