package railspar.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import railspar.scale.fleet.FleetFigures;
import railspar.scale.fleet.FleetParameters;

/** The result of a run, as written to a JSON file. */
record RunResult(
        FleetParameters parameters,
        int threads,
        String commit,
        Machine machine,
        List<FleetFigures.Figure> figures,
        List<FleetFigures.Check> checks) {
    private static final double BYTES_PER_MB = 1e6;
    private static final String UNKNOWN = "unknown";

    /** The machine of the run, as the Java process sees it. */
    record Machine(int cores, double mostHeapMb, String javaVersion) {}

    static RunResult of(final FleetParameters parameters, final int threads, final FleetFigures figures) {
        final Runtime runtime = Runtime.getRuntime();
        return new RunResult(
                parameters,
                threads,
                describeCommit(),
                new Machine(
                        runtime.availableProcessors(),
                        runtime.maxMemory() / BYTES_PER_MB,
                        System.getProperty("java.version")),
                figures.figures(),
                figures.checks());
    }

    /** Describes the Git commit of the working directory, or returns "unknown" if it is not in a clone. */
    private static String describeCommit() {
        try {
            final Process git = new ProcessBuilder("git", "describe", "--always", "--dirty", "--abbrev=12")
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            try (BufferedReader output =
                    new BufferedReader(new InputStreamReader(git.getInputStream(), StandardCharsets.UTF_8))) {
                final String line = output.readLine();
                return git.waitFor() == 0 && line != null ? line : UNKNOWN;
            }
        } catch (final IOException e) {
            return UNKNOWN;
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            return UNKNOWN;
        }
    }

    void writeTo(final Path file) throws IOException {
        new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValue(file.toFile(), this);
    }
}
