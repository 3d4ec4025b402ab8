package railspar.scale.standin;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The endpoint list and its changes by version, as a discovery agent keeps them. Each line is encoded once for all
 * clients that need the same one. Thread-safe.
 */
public final class ListHistory {
    /** Number of versions whose changes are kept; clients with an older version get the whole list. */
    public static final int DEFAULT_RETAINED_VERSIONS = 10_000;

    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private final int retainedVersions;
    private final Map<String, EndpointEntry> current = new LinkedHashMap<>();
    /** The changed entries of each version. */
    private final NavigableMap<Long, List<EndpointEntry>> changes = new TreeMap<>();
    /** The encoded changes since each version; cleared by the next change. */
    private final Map<Long, byte[]> changeLines = new HashMap<>();

    private byte[] wholeLine;
    private long version = 1;

    /** Creates a history that starts with the list as version 1. */
    public ListHistory(final List<EndpointEntry> initialEntries) {
        this(initialEntries, DEFAULT_RETAINED_VERSIONS);
    }

    /** Creates a history that starts with the list as version 1 and keeps the changes of a number of versions. */
    public ListHistory(final List<EndpointEntry> initialEntries, final int retainedVersions) {
        if (retainedVersions < 1) {
            throw new IllegalArgumentException("at least one version must be kept, not " + retainedVersions);
        }
        this.retainedVersions = retainedVersions;
        initialEntries.forEach(entry -> current.put(entry.host(), entry));
    }

    /**
     * The line that brings a client up to date.
     *
     * @param version the version that the client has after the line
     * @param whole true for the whole list, false for changes
     * @param line the encoded line, shared by all clients that get the same one
     */
    public record Update(long version, boolean whole, byte[] line) {}

    /** Adds a listener, which is called after each change on the thread that made it. */
    public void addListener(final Runnable listener) {
        listeners.add(listener);
    }

    /** Removes a listener. */
    public void removeListener(final Runnable listener) {
        listeners.remove(listener);
    }

    /** The newest version. */
    public synchronized long version() {
        return version;
    }

    /** The number of endpoints in the newest list. */
    public synchronized int size() {
        return current.size();
    }

    /** The newest list. */
    public synchronized List<EndpointEntry> entries() {
        return List.copyOf(current.values());
    }

    /** Adds or replaces the entries, removes those with health GONE, and returns the new version. */
    public long change(final List<EndpointEntry> entries) {
        final long newVersion = recordChange(entries);
        listeners.forEach(Runnable::run);
        return newVersion;
    }

    private synchronized long recordChange(final List<EndpointEntry> entries) {
        version++;
        for (final EndpointEntry entry : entries) {
            if (entry.health() == EndpointEntry.Health.GONE) {
                current.remove(entry.host());
            } else {
                current.put(entry.host(), entry);
            }
        }
        changes.put(version, List.copyOf(entries));
        if (changes.size() > retainedVersions) {
            changes.pollFirstEntry();
        }
        changeLines.clear();
        wholeLine = null;
        return version;
    }

    /** True if a client that has the version must get the whole list. */
    public synchronized boolean isWholeAfter(final long after) {
        return after <= 0 || after > version || after < version - changes.size();
    }

    /**
     * The line for a client that has the version, in UTF-8 and with a line feed: the changes since, or the whole list.
     * The array is shared and must not be modified.
     */
    public synchronized byte[] lineAfter(final long after) {
        if (isWholeAfter(after)) {
            if (wholeLine == null) {
                wholeLine = ListEncoder.encode(version, true, current.values());
            }
            return wholeLine;
        }
        return changeLines.computeIfAbsent(after, this::encodeChanges);
    }

    /** The line for a client that has the version, with the version that it leads to. */
    public synchronized Update updateAfter(final long after) {
        return new Update(version, isWholeAfter(after), lineAfter(after));
    }

    private byte[] encodeChanges(final long after) {
        final Map<String, EndpointEntry> latestEntries = new LinkedHashMap<>();
        changes.tailMap(after, false)
                .values()
                .forEach(entries -> entries.forEach(entry -> {
                    latestEntries.remove(entry.host());
                    latestEntries.put(entry.host(), entry);
                }));
        return ListEncoder.encode(version, false, latestEntries.values());
    }
}
