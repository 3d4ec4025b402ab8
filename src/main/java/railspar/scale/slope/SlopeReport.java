package railspar.scale.slope;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The results of a slope command, with the code and the machine that were measured.
 *
 * @param commit the commit of the measured code, as given by the caller
 * @param javaVersion the version of the Java runtime
 * @param processors number of processors of the machine
 * @param rounds number of measurements of each size
 * @param series the results of each series
 */
public record SlopeReport(String commit, String javaVersion, int processors, int rounds, List<SeriesResult> series) {

    /** Writes the report as JSON and replaces an existing file. */
    void writeTo(final Path file) throws IOException {
        if (file.toAbsolutePath().getParent() != null) {
            Files.createDirectories(file.toAbsolutePath().getParent());
        }
        new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValue(file.toFile(), this);
    }
}
