package railspar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The {@code run} line of the deploy file: with which arguments it starts the Java virtual machine. */
@Timeout(60)
final class RunLineTest {
    private static final long TIMEOUT_S = 20;
    private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
    private static final List<String> DEFAULTS = List.of("-Xms32m", "-Xmx64m");
    private static final List<String> OF_192_MB = List.of("-Xms32m", "-Xmx100m");
    private static final String LIST = ",\"known\":{\"seq\":1,\"hosts\":[{\"host\":\"s-1\",\"memory_mb\":7}]}";

    @TempDir
    private Path folder;

    private Path config;

    /** Installs a fake {@code java} that prints its arguments. */
    @BeforeEach
    void build() throws IOException {
        config = folder.resolve("config.json");
        final Path java = Files.writeString(folder.resolve("java"), "#!/bin/sh\nprintf '%s\\n' \"$@\"\n");
        Files.setPosixFilePermissions(java, PosixFilePermissions.fromString("rwx------"));
    }

    private static String runLine() throws IOException {
        final String line = Files.readAllLines(DEPLOY_FILE).stream()
                .filter(one -> one.startsWith("run = \""))
                .findFirst()
                .orElseThrow();
        final String run = line.substring("run = \"".length(), line.length() - 1);
        assertTrue(!run.contains("\\") && !run.contains("\""), "the line must need no unescaping");
        return run;
    }

    /** The arguments of the virtual machine, with only these variables in the environment. */
    private List<String> arguments(final Map<String, String> environment) throws IOException, InterruptedException {
        final Path output = folder.resolve("output");
        final ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile());
        builder.environment().clear();
        builder.environment().put("PATH", folder + ":" + System.getenv("PATH"));
        builder.environment().putAll(environment);
        final Process shell = builder.start();
        try {
            assertTrue(shell.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "the run line did not end in time");
            final String text = Files.readString(output, StandardCharsets.UTF_8);
            assertEquals(0, shell.exitValue(), text);
            return text.lines().toList();
        } finally {
            shell.destroyForcibly();
        }
    }

    private List<String> heap(final Map<String, String> environment) throws IOException, InterruptedException {
        return arguments(environment).stream()
                .filter(argument -> argument.startsWith("-Xms") || argument.startsWith("-Xmx"))
                .toList();
    }

    private List<String> heap(final String configuration) throws IOException, InterruptedException {
        Files.writeString(config, configuration);
        return heap(Map.of("PROXY_CONFIG", config.toString(), "PROXY_NAME", "n0"));
    }

    private List<String> heapOf(final String memory) throws IOException, InterruptedException {
        return heap("{\"name\":\"n0\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memory + ",\"sockets\":1024}" + LIST
                + "}");
    }

    @Test
    void heapSizeFollowsTheMemoryLimit() throws Exception {
        final Map<String, List<String>> expected = new HashMap<>();
        expected.put("32", List.of("-Xms24m", "-Xmx24m"));
        expected.put("96", List.of("-Xms27m", "-Xmx27m"));
        expected.put("128", List.of("-Xms32m", "-Xmx58m"));
        expected.put("140", DEFAULTS);
        expected.put("192", OF_192_MB);
        expected.put("256", List.of("-Xms32m", "-Xmx155m"));
        expected.put("2048", List.of("-Xms32m", "-Xmx1693m"));
        for (final Map.Entry<String, List<String>> one : expected.entrySet()) {
            assertEquals(one.getValue(), heapOf(one.getKey()), one.getKey());
        }
    }

    @Test
    void memoryLimitIsReadInEachValidForm() throws Exception {
        for (final String form : List.of("\"192\"", "192.0", " 192 ", "\t\"192\"\t", "192.75")) {
            assertEquals(OF_192_MB, heapOf(form), form);
        }
        assertEquals(OF_192_MB, heap("{\"limits\":{\"memory_mb\"  :  192}}"));
        assertEquals(OF_192_MB, heap("{\"limits\":{\"memory_mb\":192}}\n"));
        final String pretty = "{\n  \"name\": \"n0\",\n  \"limits\": {\n    \"memory_mb\": 192\n  }\n}\n";
        assertEquals(OF_192_MB, heap(pretty));
        assertEquals(OF_192_MB, heap(pretty.replace("\n", "\r\n")));
    }

    @Test
    void withoutAValidMemoryLimitHeapSizesAreTheDefaults() throws Exception {
        for (final String form : List.of("null", "\"x\"", "\"\"", "-5", "0", "1e3", "0192", "[]", "{}", "99999999")) {
            assertEquals(DEFAULTS, heapOf(form), form);
        }
        for (final String text : List.of("", "{", "{}", "{\"limits\":{}" + LIST + "}", "{\"memory_mb\"}", "\0\0")) {
            assertEquals(DEFAULTS, heap(text), text);
        }
        assertEquals(DEFAULTS, heap(Map.of()));
        assertEquals(
                DEFAULTS, heap(Map.of("PROXY_CONFIG", folder.resolve("none").toString())));
        assertEquals(DEFAULTS, heap(Map.of("PROXY_CONFIG", folder.toString())));
    }

    @Test
    void virtualMachineExitsWhenMemoryRunsOut() throws Exception {
        final List<String> arguments = arguments(Map.of());
        assertTrue(arguments.contains("-XX:+ExitOnOutOfMemoryError"), "" + arguments);
        assertTrue(arguments.contains("-Xmn10m"), "the size of the young generation must be fixed: " + arguments);
        assertEquals("railspar.node.Main", arguments.get(arguments.size() - 1));
    }
}
