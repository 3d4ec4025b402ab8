package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards the format of the timestamps at the start of a log line. */
final class LogTest {
    @Test
    void eachLineStartsWithTheWallClockAndTheMonotonicClock() {
        final PrintStream originalErr = System.err;
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        System.setErr(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        try {
            Log.info("ready");
        } finally {
            System.setErr(originalErr);
        }
        final String line = bytes.toString(StandardCharsets.UTF_8);
        assertTrue(
                line.matches("\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d(\\.\\d{3})?Z \\[\\d+\\.\\d{3}] ready\\R"),
                line);
        assertEquals(1, line.lines().count());
    }
}
