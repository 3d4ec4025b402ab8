package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Reads the configuration without its list of endpoints, and finds the list in the file. */
final class ConfigFileTest {
    private static final String LIST = "{\"seq\": 41, \"hosts\": [{\"host\":\"\u00e9\"}, {}]}";

    @TempDir
    private Path folder;

    private ConfigFile read(final String text) throws IOException {
        return ConfigFile.read(Files.writeString(folder.resolve("config.json"), text));
    }

    private static String text(final ConfiguredList list) throws IOException {
        try (InputStream in = list.source().open()) {
            return new String(in.readNBytes((int) list.length()), StandardCharsets.UTF_8);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"known\":%s,\"name\":\"\u00e9\",\"settings\":{\"a\":[1]}}",
                "{\"name\":\"\u00e9\",\"known\" :  %s ,\"settings\":{\"a\":[1]}}",
                "{\n\"name\":\"\u00e9\",\"settings\":{\"a\":[1]},\n\"known\":%s}\n"
            })
    void listIsFoundAnywhereInTheFileAndNotParsed(final String template) throws IOException {
        final ConfigFile file = read(template.formatted(LIST));
        assertFalse(file.root().has("known"), "the list is not part of the tree");
        assertEquals("\u00e9", file.root().path("name").asText());
        assertEquals(1, file.root().path("settings").path("a").path(0).asInt());
        assertEquals(LIST, text(file.configuredList()));
        assertEquals(41, file.configuredList().version());
    }

    @Test
    void configurationWithoutListAndListWithoutVersionAreRead() throws IOException {
        assertEquals(0, read("{\"name\":\"n0\"}").configuredList().length());
        assertEquals(Long.MIN_VALUE, read("{\"name\":\"n0\"}").configuredList().version());
        assertEquals(
                Long.MIN_VALUE,
                read("{\"known\":{\"hosts\":[{\"seq\":9}]}}").configuredList().version());
        assertEquals(
                9,
                read("{\"known\":{\"hosts\":[{\"seq\":8}],\"seq\":9}}")
                        .configuredList()
                        .version());
        assertFalse(read("[]").root().isObject());
    }

    @Test
    void truncatedFileIsRejected() {
        final String whole = "{\"name\":\"n0\",\"known\":" + LIST + ",\"settings\":{}}";
        for (int length = 1; length < whole.length(); length++) {
            final String truncated = whole.substring(0, length);
            assertThrows(IOException.class, () -> read(truncated), truncated);
        }
        assertTrue(whole.endsWith("}"));
    }
}
