package railspar.node;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Locale;

/**
 * The courier's log, on standard error. It has a line for each event that an operator should know of, and none for
 * individual messages.
 *
 * <p>Each line begins with the wall clock in UTC and, in brackets, the monotonic clock in seconds. The monotonic clock
 * is the same for all processes of a machine and shows the order of lines even if the wall clock is stepped.
 */
final class Log {
    private static final long MS_PER_SECOND = 1000;
    private static final long NS_PER_MS = 1_000_000;

    private Log() {}

    static void info(final String text) {
        System.err.println(linePrefix() + text);
    }

    /** Logs what failed and why, with the stack trace; for unexpected exceptions. */
    static void failure(final String what, final Throwable cause) {
        System.err.println(linePrefix() + what + ": " + cause);
        cause.printStackTrace();
    }

    private static String linePrefix() {
        final long monotonicMs = System.nanoTime() / NS_PER_MS;
        return Instant.now().truncatedTo(ChronoUnit.MILLIS) + " ["
                + monotonicMs / MS_PER_SECOND
                + String.format(Locale.ROOT, ".%03d] ", Math.abs(monotonicMs % MS_PER_SECOND));
    }
}
