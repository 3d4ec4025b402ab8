package railspar.scale.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import railspar.scale.standin.EndpointEntry;
import railspar.scale.standin.ListHistory;

/**
 * The model of discovery: the endpoint list, the time of each version, and whether discovery is silent. It changes
 * only between two time slices, so couriers can read it while they are stepped on several threads.
 */
final class Discovery {
    private final ListHistory history;
    private final List<EndpointEntry> entries;
    private final Random random;
    /** The time at which each version after the first was made. */
    private final TreeMap<Long, Long> versionTimesUs = new TreeMap<>();

    private boolean silent;

    Discovery(final List<EndpointEntry> entries, final long seed) {
        this.entries = new ArrayList<>(entries);
        this.history = new ListHistory(entries);
        this.random = new Random(Seeds.of(seed, Seeds.SCENARIO, 0));
    }

    /** Toggles the health of a randomly chosen endpoint. */
    void changeRandomEndpoint(final long nowUs) {
        final int index = random.nextInt(entries.size());
        final EndpointEntry old = entries.get(index);
        final EndpointEntry.Health health = old.health() == EndpointEntry.Health.READY
                ? EndpointEntry.Health.TERMINATING
                : EndpointEntry.Health.READY;
        final EndpointEntry changed = old.withHealth(health);
        entries.set(index, changed);
        versionTimesUs.put(history.change(List.of(changed)), nowUs);
    }

    void setSilent(final boolean newSilent) {
        silent = newSilent;
    }

    boolean isSilent() {
        return silent;
    }

    long version() {
        return history.version();
    }

    byte[] lineAfter(final long version) {
        return history.lineAfter(version);
    }

    boolean isWholeAfter(final long version) {
        return history.isWholeAfter(version);
    }

    /** The times at which the versions after {@code after}, up to and including {@code upTo}, were made. */
    Iterable<Long> versionTimesBetween(final long after, final long upTo) {
        return versionTimesUs.subMap(after, false, upTo, true).values();
    }

    int changeCount() {
        return versionTimesUs.size();
    }
}
