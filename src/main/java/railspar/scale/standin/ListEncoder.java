package railspar.scale.standin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;

/** Encodes the endpoint list and its changes as the lines that discovery sends. */
final class ListEncoder {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int APPROXIMATE_ENTRY_BYTES = 140;

    private ListEncoder() {}

    /** Encodes a whole list, or changes to it, as one line with a line feed. */
    static byte[] encode(final long version, final boolean whole, final Collection<EndpointEntry> entries) {
        return encode(version, whole, entries, false);
    }

    /** Encodes the same pretty-printed, over several lines. */
    static byte[] encodeIndented(final long version, final boolean whole, final Collection<EndpointEntry> entries) {
        return encode(version, whole, entries, true);
    }

    private static byte[] encode(
            final long version, final boolean whole, final Collection<EndpointEntry> entries, final boolean indented) {
        final ByteArrayOutputStream line = new ByteArrayOutputStream((entries.size() + 1) * APPROXIMATE_ENTRY_BYTES);
        try (JsonGenerator generator = JSON.createGenerator(line)) {
            if (indented) {
                generator.useDefaultPrettyPrinter();
            }
            generator.writeStartObject();
            generator.writeNumberField("seq", version);
            generator.writeBooleanField("whole", whole);
            generator.writeArrayFieldStart("hosts");
            for (final EndpointEntry entry : entries) {
                entry.writeTo(generator);
            }
            generator.writeEndArray();
            generator.writeEndObject();
            generator.writeRaw('\n');
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
        return line.toByteArray();
    }
}
