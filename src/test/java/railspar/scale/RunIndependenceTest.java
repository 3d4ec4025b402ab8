package railspar.scale;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Verifies that no class of the courier refers to the scale tools or to their libraries. */
final class RunIndependenceTest {
    private static final Path CLASSES = Path.of("target", "classes");
    private static final Path SCALE = CLASSES.resolve(Path.of("railspar", "scale"));
    /** Prefixes of class names as they appear in the constant pool of a class file. */
    private static final List<String> FORBIDDEN = List.of("railspar/scale/", "picocli/", "org/HdrHistogram/");

    private static boolean refersTo(final Path classFile, final String name) throws IOException {
        return new String(Files.readAllBytes(classFile), StandardCharsets.ISO_8859_1).contains(name);
    }

    private static List<Path> classFiles() throws IOException {
        try (Stream<Path> files = Files.walk(CLASSES)) {
            return files.filter(file -> file.toString().endsWith(".class")).toList();
        }
    }

    @Test
    void noClassOutsideTheScalePackagesRefersToThemOrTheirLibraries() throws IOException {
        int visited = 0;
        for (final Path file : classFiles()) {
            if (file.startsWith(SCALE)) {
                continue;
            }
            visited++;
            for (final String name : FORBIDDEN) {
                assertFalse(refersTo(file, name), file + " refers to " + name);
            }
        }
        assertTrue(visited > 20, "only " + visited + " class files were checked");
    }

    @Test
    void searchFindsAnExistingReference() throws IOException {
        assertTrue(
                refersTo(SCALE.resolve(Path.of("standin", "FleetPlan.class")), "railspar/scale/standin/EndpointEntry"));
    }
}
