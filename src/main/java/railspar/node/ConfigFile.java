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

/** The file of the configuration as a tree, but for its list of endpoints: of that only the place is noted. */
record ConfigFile(JsonNode root, ConfiguredList configuredList) {
    private static final String LIST = "known";

    /** Reads a file; one that is no JSON object has a root that is none either. */
    static ConfigFile read(final Path path) throws IOException {
        final ObjectMapper mapper = new ObjectMapper();
        try (InputStream in = new BufferedInputStream(Files.newInputStream(path));
                JsonParser tokens = mapper.getFactory().createParser(in)) {
            if (tokens.nextToken() != JsonToken.START_OBJECT) {
                return new ConfigFile(JsonNodeFactory.instance.missingNode(), ConfiguredList.none());
            }
            final ObjectNode root = JsonNodeFactory.instance.objectNode();
            ConfiguredList known = ConfiguredList.none();
            for (String name = tokens.nextFieldName(); name != null; name = tokens.nextFieldName()) {
                final JsonToken value = tokens.nextToken();
                if (name.equals(LIST) && value == JsonToken.START_OBJECT) {
                    final long from = tokens.currentTokenLocation().getByteOffset();
                    tokens.skipChildren();
                    known = ConfiguredList.inFile(
                            path, from, tokens.currentLocation().getByteOffset());
                } else {
                    root.set(name, mapper.readTree(tokens));
                }
            }
            return new ConfigFile(root, known);
        }
    }
}
