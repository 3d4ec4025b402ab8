package railspar.node;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Locale;

/**
 * Standard error is the courier's log. One line for each thing that an operator should know, none for a message.
 *
 * <p>Each line begins with the wall clock in UTC and, in brackets, the seconds of the monotonic clock, which is the
 * same for all processes of a machine and shows the order of lines across a step of the wall clock.
 */
final class Log {
    private static final long MS_PER_SECOND = 1000;
    private static final long NS_PER_MS = 1_000_000;

    private Log() {}

    static void info(final String text) {
        System.err.println(stamp() + text);
    }

    /** Says what failed and why, with the trace: an unexpected exception is worth its lines. */
    static void failure(final String what, final Throwable cause) {
        System.err.println(stamp() + what + ": " + cause);
        cause.printStackTrace();
    }

    private static String stamp() {
        final long monotonicMs = System.nanoTime() / NS_PER_MS;
        return Instant.now().truncatedTo(ChronoUnit.MILLIS) + " ["
                + monotonicMs / MS_PER_SECOND
                + String.format(Locale.ROOT, ".%03d] ", Math.abs(monotonicMs % MS_PER_SECOND));
    }
}
