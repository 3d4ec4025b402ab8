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
 * Seeded plays with faults, under the protocol's rules. A few seeds by default;
 * {@code -Dsoak.first=1 -Dsoak.count=50} plays others, and leaves a file for each that breaks a rule in
 * {@code target/soak}.
 */
@Timeout(180)
final class SoakTest {
    private static final long FIRST = Long.getLong("soak.first", 1);
    private static final int COUNT = Integer.getInteger("soak.count", 4);

    @TempDir
    private Path folder;

    static LongStream seeds() {
        return LongStream.range(FIRST, FIRST + COUNT);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRuleIsBroken(final long seed) throws IOException, InterruptedException {
        play(seed, SoakRun.Range.BASIC);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRuleIsBrokenWhileCallsOnSocketsFailAfterTheirEffect(final long seed)
            throws IOException, InterruptedException {
        play(seed, SoakRun.Range.WIDE);
    }

    private void play(final long seed, final SoakRun.Range range) throws IOException, InterruptedException {
        try (SoakRun play = new SoakRun(seed, range, folder)) {
            final List<String> violations = play.run();
            System.out.println("soak " + range + " " + seed + ": " + play.record.summary() + "; " + play.schedule());
            if (!violations.isEmpty()) {
                final Path report =
                        Files.createDirectories(Path.of("target", "soak")).resolve(range + "-" + seed + ".txt");
                Files.writeString(
                        report,
                        String.join("\n", play.schedule()) + "\n\n" + String.join("\n", violations) + "\n\n"
                                + String.join("\n", play.log()));
            }
            assertEquals(List.of(), violations, () -> "seed " + seed + ": " + play.schedule());
        }
    }
}
