package railspar.scale.real;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the commands in {@code deploy/balancer.toml}. */
public final class DeployFile {
    private static final Path FILE = Path.of("deploy", "balancer.toml");
    private static final String RUN_KEY = "run = ";

    private DeployFile() {}

    /** The shell command that starts a real courier in the root folder of the project. */
    public static String runCommand(final Path projectRoot) throws IOException {
        for (final String line : Files.readAllLines(projectRoot.resolve(FILE))) {
            if (line.startsWith(RUN_KEY)) {
                // A TOML basic string uses the same escapes as a JSON string.
                return new ObjectMapper().readValue(line.substring(RUN_KEY.length()), String.class);
            }
        }
        throw new IOException(projectRoot.resolve(FILE) + " has no line that starts with '" + RUN_KEY + "'");
    }
}
