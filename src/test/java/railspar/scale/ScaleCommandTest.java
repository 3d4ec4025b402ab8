package railspar.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the exit codes of the command line and the result file of a run. */
final class ScaleCommandTest {
    private static final int INVALID_ARGUMENTS = 2;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "fly",
                "run --couriers many",
                "run --couriers 0",
                "run --down 1.1",
                "run --scale 0",
                "run --seconds 0",
                "run --cut-zone 9",
                "run --cut-region 3",
                "run --cut-region 0 --region-cut 301",
                "run --control-machines 0",
                "run --control-line NaN",
                "run --settle -1",
                "run --silent-watches -0.1",
                "run --discovery-outage 700",
                "run --threads 0",
                "run --restarts -1",
                "run --real 5",
                "slope",
                "real-list --changes 0",
                "real-backlog --memory-mb 0",
                "real-changes --changes 0",
                "real-changes --seconds-between-changes 0",
                "real-changes --seconds-between-changes NaN",
                "run --destination-limit 0",
                "run --endpoints-per-destination NaN",
                "run --events-per-second NaN",
                "run --out /no/such/folder/result.json",
                "run --unknown"
            })
    void invalidArgumentsExitWithTwo(final String arguments) {
        assertEquals(
                INVALID_ARGUMENTS, ScaleCommand.execute(arguments.isEmpty() ? new String[0] : arguments.split(" ")));
    }

    @Test
    void helpExitsWithZero() {
        assertEquals(0, ScaleCommand.execute("run", "--help"));
    }

    @Test
    void runWritesItsParametersFiguresAndChecks(@TempDir final Path folder) throws IOException {
        final Path file = folder.resolve("result.json");
        final int exitCode = ScaleCommand.execute(
                "run",
                "--couriers=3",
                "--destinations=20",
                "--events-per-second=10",
                "--seconds=20",
                "--restarts=1",
                "--out=" + file);
        final JsonNode result = new ObjectMapper().readTree(file.toFile());
        assertEquals(0, exitCode);
        assertEquals(3, result.at("/parameters/plan/couriers").asInt());
        assertTrue(result.at("/machine/cores").asInt() > 0);
        assertTrue(result.path("commit").isTextual());
        assertTrue(result.path("figures").size() > 0);
        for (final JsonNode check : result.path("checks")) {
            assertTrue(check.path("holds").asBoolean(), check.toString());
        }
    }
}
