package railspar.node;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** The configuration file as a tree, without its list of endpoints: of the list only the position is kept. */
record ConfigFile(JsonNode root, ConfiguredList configuredList) {
    private static final String LIST_KEY = "known";

    /** Reads a file. If it is not a JSON object, the root is a missing node. */
    static ConfigFile read(final Path path) throws IOException {
        final ObjectMapper mapper = new ObjectMapper();
        try (InputStream in = new BufferedInputStream(Files.newInputStream(path));
                JsonParser parser = mapper.getFactory().createParser(in)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return new ConfigFile(JsonNodeFactory.instance.missingNode(), ConfiguredList.none());
            }
            final ObjectNode root = JsonNodeFactory.instance.objectNode();
            ConfiguredList configuredList = ConfiguredList.none();
            for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
                final JsonToken value = parser.nextToken();
                if (name.equals(LIST_KEY) && value == JsonToken.START_OBJECT) {
                    final long startOffset = parser.currentTokenLocation().getByteOffset();
                    parser.skipChildren();
                    configuredList = ConfiguredList.inFile(
                            path, startOffset, parser.currentLocation().getByteOffset());
                } else {
                    root.set(name, mapper.readTree(parser));
                }
            }
            return new ConfigFile(root, configuredList);
        }
    }
}
