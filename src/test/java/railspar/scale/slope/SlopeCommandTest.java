package railspar.scale.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** Tests the arguments of the command and one small complete run. */
final class SlopeCommandTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(final String... args) {
        return new CommandLine(new SlopeCommand())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err))
                .execute(args);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "unheard-of",
                "state --rounds 0",
                "state --rounds many",
                "state --sizes 1,2,3",
                "state --sizes 1,2,3,3",
                "state --sizes 1,2,3,-4",
                "state --sizes 1,2,3,x",
                "state step",
                "state --unheard-of"
            })
    void invalidArgumentsGiveAnErrorAndExitCodeTwo(final String line) {
        assertEquals(2, run(line.isEmpty() ? new String[0] : line.split(" ")));
        assertTrue(!err.toString().isBlank(), "an error says what is wrong");
        assertTrue(out.toString().isEmpty(), "nothing is measured");
    }

    @Test
    void errorForAnUnknownNameListsTheKnownNames() {
        run("unheard-of");
        assertTrue(err.toString().contains("no slope is named 'unheard-of'"), err.toString());
        SlopeCatalog.all().keySet().forEach(name -> assertTrue(err.toString().contains(name), name));
    }

    @Test
    void acceptsSlopesOfTheCaller() {
        final Series doubled = new Series("doubled", "items", "units", List.of(1, 2, 3, 4), 10, size -> 2.0 * size);
        final CommandLine command =
                new CommandLine(new SlopeCommand(Map.of("own", List.of(doubled)))).setOut(new PrintWriter(out));
        assertEquals(0, command.execute("own", "--rounds", "1"));
        assertTrue(out.toString().contains("fit: 0.0 + 2.0000 per unit of size"), out.toString());
        assertEquals(2, command.setErr(new PrintWriter(err)).execute("state"), "only the given slopes are known");
    }

    @Test
    void smallRunWritesItsResultAsJson(@TempDir final Path folder) throws IOException {
        final Path file = folder.resolve("results/state.json");
        assertEquals(
                0,
                run("state", "--sizes", "40,10,30,20", "--rounds", "1", "--commit", "abc", "--json", "" + file),
                err.toString());
        final JsonNode report = new ObjectMapper().readTree(file.toFile());
        assertEquals("abc", report.path("commit").asText());
        assertEquals(2, report.path("series").size());
        for (final JsonNode series : report.path("series")) {
            assertEquals(4, series.path("points").size());
            assertEquals(10, series.path("points").get(0).path("size").asInt(), "sizes are sorted");
            assertEquals(4, series.path("fit").path("residuals").size());
        }
    }
}
