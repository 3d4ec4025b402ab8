package railspar.scale.slope;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * What a slope command measured, and on what.
 *
 * @param commit the code that was measured, as the caller told
 * @param javaVersion the version of the Java runtime
 * @param processors processors of the machine
 * @param rounds how often each size was measured
 * @param series the results
 */
public record SlopeReport(String commit, String javaVersion, int processors, int rounds, List<SeriesResult> series) {

    /** Writes it as JSON, in place of what the file held. */
    void writeTo(final Path file) throws IOException {
        if (file.toAbsolutePath().getParent() != null) {
            Files.createDirectories(file.toAbsolutePath().getParent());
        }
        new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValue(file.toFile(), this);
    }
}
