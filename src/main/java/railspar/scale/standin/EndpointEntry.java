package railspar.scale.standin;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;

/**
 * An entry of the endpoint list, with the fields that discovery sends.
 *
 * @param host the endpoint's name, the same for all couriers
 * @param dial the address to connect to, as {@code host:port}
 * @param site the endpoint's zone
 * @param kind the type of machine, sent as {@code class}
 * @param block the number of the destination that the endpoint serves
 * @param health whether it accepts new calls
 * @param share its share of the destination's traffic
 * @param bornMs when it last started, as Unix time in milliseconds; 0 means long ago
 */
public record EndpointEntry(
        String host, String dial, String site, String kind, long block, Health health, double share, long bornMs) {
    /** An endpoint's health as discovery reports it. */
    public enum Health {
        /** It accepts calls. */
        READY("Ready"),
        /** It finishes its calls in progress and accepts no new ones. */
        TERMINATING("Terminating"),
        /** It was removed from the list; appears in changes only. */
        GONE("Gone");

        private final String wireName;

        Health(final String wireName) {
            this.wireName = wireName;
        }

        /** The value of the field in the list. */
        public String wireName() {
            return wireName;
        }
    }

    /** A copy with another health. */
    public EndpointEntry withHealth(final Health newHealth) {
        return new EndpointEntry(host, dial, site, kind, block, newHealth, share, bornMs);
    }

    /** A copy with another address. */
    public EndpointEntry withDial(final String newDial) {
        return new EndpointEntry(host, newDial, site, kind, block, health, share, bornMs);
    }

    /** Writes the entry as a JSON object of the discovery protocol. */
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
