package railspar.scale.slope;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Processor time of the calling thread: on a shared machine it varies far less than elapsed time. */
public final class ProcessorTime {
    private static final int WARM_UP_CALLS = 20;
    private static final int LEAST_CALLS = 10;
    private static final long LEAST_NANOS = 200_000_000;
    private static final double NANOS_PER_MICRO = 1000;

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private ProcessorTime() {}

    /** Microseconds that one call takes on average, after some unmeasured ones, over at least 0.2 s of them. */
    public static double microsPerCall(final Runnable operation) {
        for (int call = 0; call < WARM_UP_CALLS; call++) {
            operation.run();
        }
        final long beginNanos = THREADS.getCurrentThreadCpuTime();
        long spentNanos = 0;
        int calls = 0;
        while (calls < LEAST_CALLS || spentNanos < LEAST_NANOS) {
            operation.run();
            calls++;
            spentNanos = THREADS.getCurrentThreadCpuTime() - beginNanos;
        }
        return spentNanos / NANOS_PER_MICRO / calls;
    }

    /** Microseconds that a single call takes; for what cannot be repeated on the same state. */
    public static double microsOnce(final Runnable operation) {
        final long beginNanos = THREADS.getCurrentThreadCpuTime();
        operation.run();
        return (THREADS.getCurrentThreadCpuTime() - beginNanos) / NANOS_PER_MICRO;
    }
}
