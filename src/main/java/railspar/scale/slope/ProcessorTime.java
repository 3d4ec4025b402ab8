package railspar.scale.slope;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Processor time of the calling thread, which varies far less than elapsed time on a shared machine. */
public final class ProcessorTime {
    private static final int WARM_UP_CALLS = 20;
    private static final int MIN_CALLS = 10;
    private static final long MIN_NANOS = 200_000_000;
    private static final double NANOS_PER_MICRO = 1000;

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private ProcessorTime() {}

    /** Average microseconds of one call, over at least 10 calls and 0.2 s, after 20 unmeasured warm-up calls. */
    public static double microsPerCall(final Runnable operation) {
        for (int call = 0; call < WARM_UP_CALLS; call++) {
            operation.run();
        }
        final long beginNanos = THREADS.getCurrentThreadCpuTime();
        long spentNanos = 0;
        int calls = 0;
        while (calls < MIN_CALLS || spentNanos < MIN_NANOS) {
            operation.run();
            calls++;
            spentNanos = THREADS.getCurrentThreadCpuTime() - beginNanos;
        }
        return spentNanos / NANOS_PER_MICRO / calls;
    }

    /** Microseconds of a single call, for an operation that cannot be repeated on the same state. */
    public static double microsOnce(final Runnable operation) {
        final long beginNanos = THREADS.getCurrentThreadCpuTime();
        operation.run();
        return (THREADS.getCurrentThreadCpuTime() - beginNanos) / NANOS_PER_MICRO;
    }
}
