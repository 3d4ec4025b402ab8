package railspar.scale.standin;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The endpoint list and its changes, by version, as one discovery service holds them. Lines are encoded once for all
 * that ask for the same one. Thread-safe.
 */
public final class ListHistory {
    /** Versions whose changes are kept; one who asks for older news gets the whole list. */
    public static final int DEFAULT_VERSIONS_KEPT = 10_000;

    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
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

    /**
     * What one who has a version is sent.
     *
     * @param version the version that the line brings one to
     * @param whole true for the whole list, false for changes
     * @param line the line, shared by all who are sent the same one
     */
    public record Update(long version, boolean whole, byte[] line) {}

    /** Calls this after each change, on the thread that made the change. */
    public void addListener(final Runnable listener) {
        listeners.add(listener);
    }

    /** Calls this no more. */
    public void removeListener(final Runnable listener) {
        listeners.remove(listener);
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
    public long change(final List<EndpointEntry> entries) {
        final long changed = apply(entries);
        listeners.forEach(Runnable::run);
        return changed;
    }

    private synchronized long apply(final List<EndpointEntry> entries) {
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
     * The line for one who has that version, in UTF-8 and with its line feed: what changed since, or the whole list.
     * The array is shared and must not be changed.
     */
    public synchronized byte[] lineAfter(final long after) {
        if (isWholeAfter(after)) {
            if (wholeLine == null) {
                wholeLine = ListLines.encode(version, true, current.values());
            }
            return wholeLine;
        }
        return changeLines.computeIfAbsent(after, this::encodeChanges);
    }

    /** The line for one who has that version, with the version that it brings one to. */
    public synchronized Update updateAfter(final long after) {
        return new Update(version, isWholeAfter(after), lineAfter(after));
    }

    private byte[] encodeChanges(final long after) {
        final Map<String, EndpointEntry> newest = new LinkedHashMap<>();
        changes.tailMap(after, false)
                .values()
                .forEach(entries -> entries.forEach(entry -> {
                    newest.remove(entry.host());
                    newest.put(entry.host(), entry);
                }));
        return ListLines.encode(version, false, newest.values());
    }
}
