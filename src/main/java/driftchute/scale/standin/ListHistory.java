package driftchute.scale.standin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The endpoint list and its changes, by version, as one discovery service holds them. Lines are encoded once for all
 * that ask for the same one. Thread-safe.
 */
public final class ListHistory {
    /** Versions whose changes are kept; one who asks for older news gets the whole list. */
    public static final int DEFAULT_VERSIONS_KEPT = 10_000;

    private static final int APPROXIMATE_ENTRY_BYTES = 140;

    private final JsonFactory json = new JsonFactory();
    private final int versionsKept;
    private final Map<String, EndpointEntry> current = new LinkedHashMap<>();
    /** What changed with each version. */
    private final NavigableMap<Long, List<EndpointEntry>> changes = new TreeMap<>();
    /** The encoded changes after a version, until the next change. */
    private final Map<Long, byte[]> changeLines = new HashMap<>();

    private byte[] wholeLine;
    private long version = 1;

    /** A history that begins with this list as version 1. */
    public ListHistory(final List<EndpointEntry> first) {
        this(first, DEFAULT_VERSIONS_KEPT);
    }

    /** A history that begins with this list as version 1 and keeps the changes of so many versions. */
    public ListHistory(final List<EndpointEntry> first, final int versionsKept) {
        if (versionsKept < 1) {
            throw new IllegalArgumentException("at least one version is kept, not " + versionsKept);
        }
        this.versionsKept = versionsKept;
        first.forEach(entry -> current.put(entry.host(), entry));
    }

    /** The newest version. */
    public synchronized long version() {
        return version;
    }

    /** Endpoints in the newest list. */
    public synchronized int size() {
        return current.size();
    }

    /** The newest list. */
    public synchronized List<EndpointEntry> entries() {
        return List.copyOf(current.values());
    }

    /** Changes these entries, removes those that are gone, and returns the new version. */
    public synchronized long change(final List<EndpointEntry> entries) {
        version++;
        for (final EndpointEntry entry : entries) {
            if (entry.health() == EndpointEntry.Health.GONE) {
                current.remove(entry.host());
            } else {
                current.put(entry.host(), entry);
            }
        }
        changes.put(version, List.copyOf(entries));
        if (changes.size() > versionsKept) {
            changes.pollFirstEntry();
        }
        changeLines.clear();
        wholeLine = null;
        return version;
    }

    /** True if one who has that version is sent the whole list. */
    public synchronized boolean isWholeAfter(final long after) {
        return after <= 0 || after > version || after < version - changes.size();
    }

    /**
     * The line for one who has that version, in UTF-8 and with its line feed: what changed since, or the whole list. The
     * array is shared and must not be changed.
     */
    public synchronized byte[] lineAfter(final long after) {
        if (isWholeAfter(after)) {
            if (wholeLine == null) {
                wholeLine = encode(true, current.values());
            }
            return wholeLine;
        }
        return changeLines.computeIfAbsent(after, this::encodeChanges);
    }

    private byte[] encodeChanges(final long after) {
        final Map<String, EndpointEntry> newest = new LinkedHashMap<>();
        changes.tailMap(after, false)
                .values()
                .forEach(entries -> entries.forEach(entry -> {
                    newest.remove(entry.host());
                    newest.put(entry.host(), entry);
                }));
        return encode(false, newest.values());
    }

    private byte[] encode(final boolean whole, final Collection<EndpointEntry> entries) {
        final ByteArrayOutputStream line = new ByteArrayOutputStream((entries.size() + 1) * APPROXIMATE_ENTRY_BYTES);
        try (JsonGenerator generator = json.createGenerator(line)) {
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
