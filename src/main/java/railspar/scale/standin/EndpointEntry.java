package railspar.scale.standin;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;

/**
 * One entry of the endpoint list, with the fields that discovery sends.
 *
 * @param host the name of the endpoint, the same for every courier
 * @param dial the address to connect to, as {@code host:port}
 * @param site the zone of the endpoint
 * @param kind the kind of machine, sent as {@code class}
 * @param block the number of the destination that the endpoint serves
 * @param health whether it takes new calls
 * @param share its share of the destination's traffic
 * @param bornMs when it last started, as Unix time in milliseconds; 0 for long ago
 */
public record EndpointEntry(
        String host, String dial, String site, String kind, long block, Health health, double share, long bornMs) {
    /** What discovery says of an endpoint's health. */
    public enum Health {
        /** It takes calls. */
        READY("Ready"),
        /** It finishes the calls that it has and takes no new ones. */
        TERMINATING("Terminating"),
        /** It has left the list; appears in changes only. */
        GONE("Gone");

        private final String wireName;

        Health(final String wireName) {
            this.wireName = wireName;
        }

        /** The word that stands for it in the list. */
        public String wireName() {
            return wireName;
        }
    }

    /** The same endpoint with another health. */
    public EndpointEntry withHealth(final Health changed) {
        return new EndpointEntry(host, dial, site, kind, block, changed, share, bornMs);
    }

    /** The same endpoint, dialled elsewhere. */
    public EndpointEntry withDial(final String changed) {
        return new EndpointEntry(host, changed, site, kind, block, health, share, bornMs);
    }

    /** Writes the entry as the protocol's JSON object. */
    public void writeTo(final JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField("host", host);
        json.writeStringField("dial", dial);
        json.writeStringField("site", site);
        json.writeStringField("class", kind);
        json.writeNumberField("block", block);
        json.writeStringField("health", health.wireName());
        json.writeNumberField("share", share);
        json.writeNumberField("born_ms", bornMs);
        json.writeEndObject();
    }
}
