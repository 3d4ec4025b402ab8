package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs a real courier under seeded random faults and checks the rules of the protocol. Only a few seeds run by
 * default; {@code -Dsoak.first=1 -Dsoak.count=50} selects others. A run that breaks a rule writes a report to
 * {@code target/soak}.
 */
@Timeout(180)
final class SoakTest {
    private static final long FIRST_SEED = Long.getLong("soak.first", 1);
    private static final int SEED_COUNT = Integer.getInteger("soak.count", 4);

    @TempDir
    private Path folder;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEED_COUNT);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRuleIsBroken(final long seed) throws IOException, InterruptedException {
        runSoak(seed, SoakRun.Range.BASIC);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRuleIsBrokenWhileCallsOnSocketsFailAfterTheirEffect(final long seed)
            throws IOException, InterruptedException {
        runSoak(seed, SoakRun.Range.WIDE);
    }

    private void runSoak(final long seed, final SoakRun.Range range) throws IOException, InterruptedException {
        try (SoakRun soakRun = new SoakRun(seed, range, folder)) {
            final List<String> violations = soakRun.run();
            System.out.println(
                    "soak " + range + " " + seed + ": " + soakRun.record.summary() + "; " + soakRun.schedule());
            if (!violations.isEmpty()) {
                final Path report =
                        Files.createDirectories(Path.of("target", "soak")).resolve(range + "-" + seed + ".txt");
                Files.writeString(
                        report,
                        String.join("\n", soakRun.schedule()) + "\n\n" + String.join("\n", violations) + "\n\n"
                                + String.join("\n", soakRun.log()));
            }
            assertEquals(List.of(), violations, () -> "seed " + seed + ": " + soakRun.schedule());
        }
    }
}
