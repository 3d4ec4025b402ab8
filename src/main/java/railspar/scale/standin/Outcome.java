package railspar.scale.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The end of a message that was accepted and not delivered, as a courier reports it to the platform in a notice.
 *
 * @param id the message id
 * @param status how it ended
 * @param retryAfterMs delay in milliseconds after which the client may submit it again, or 0
 */
public record Outcome(String id, Status status, long retryAfterMs) {
    /** How a message ended. */
    public enum Status {
        /** It failed. */
        UNDELIVERABLE,
        /** It was rejected and may be submitted again. */
        DEFERRED
    }

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Parses a body with one outcome per line. */
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
            throw new IOException("the outcome has no id: " + line);
        }
        final Status status =
                switch (node.path("status").asText()) {
                    case "undeliverable" -> Status.UNDELIVERABLE;
                    case "deferred" -> Status.DEFERRED;
                    default ->
                        throw new IOException(
                                "the outcome has an unknown status, expected undeliverable or deferred: " + line);
                };
        return new Outcome(id, status, node.path("again_ms").asLong(0));
    }
}
