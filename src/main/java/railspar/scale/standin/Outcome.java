package railspar.scale.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The end of a message that was taken on and not delivered, as a courier tells it to the platform.
 *
 * @param id the message
 * @param status how it ended
 * @param againMs after how many milliseconds its client may come again, or 0
 */
public record Outcome(String id, Status status, long againMs) {
    /** How a message ended. */
    public enum Status {
        /** It has failed. */
        UNDELIVERABLE,
        /** It is refused and may be handed in again. */
        DEFERRED
    }

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Reads a body with one outcome on each line. */
    static List<Outcome> parseLines(final String body) throws IOException {
        final List<Outcome> outcomes = new ArrayList<>();
        for (final String line : body.split("\n")) {
            if (!line.isBlank()) {
                outcomes.add(parse(line));
            }
        }
        return outcomes;
    }

    private static Outcome parse(final String line) throws IOException {
        final JsonNode node = JSON.readTree(line);
        final String id = node.path("id").asText();
        if (id.isEmpty()) {
            throw new IOException("an outcome without an id: " + line);
        }
        final Status status =
                switch (node.path("status").asText()) {
                    case "undeliverable" -> Status.UNDELIVERABLE;
                    case "deferred" -> Status.DEFERRED;
                    default -> throw new IOException("unknown status: " + line);
                };
        return new Outcome(id, status, node.path("again_ms").asLong(0));
    }
}
