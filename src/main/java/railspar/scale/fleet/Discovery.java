package railspar.scale.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import railspar.scale.standin.EndpointEntry;
import railspar.scale.standin.ListHistory;

/**
 * Discovery: the list, when each of its versions was made, and whether it speaks. It changes between two slices only,
 * so that couriers may read it while they are stepped.
 */
final class Discovery {
    private final ListHistory history;
    private final List<EndpointEntry> entries;
    private final Random random;
    /** When each version after the first was made. */
    private final TreeMap<Long, Long> madeAtUs = new TreeMap<>();

    private boolean silent;

    Discovery(final List<EndpointEntry> entries, final long seed) {
        this.entries = new ArrayList<>(entries);
        this.history = new ListHistory(entries);
        this.random = new Random(Seeds.of(seed, Seeds.SCENARIO, 0));
    }

    /** Changes the weight or the health of one endpoint drawn at random. */
    void changeOne(final long nowUs) {
        final int index = random.nextInt(entries.size());
        final EndpointEntry old = entries.get(index);
        final EndpointEntry.Health health = old.health() == EndpointEntry.Health.READY
                ? EndpointEntry.Health.TERMINATING
                : EndpointEntry.Health.READY;
        final EndpointEntry changed = old.withHealth(health);
        entries.set(index, changed);
        madeAtUs.put(history.change(List.of(changed)), nowUs);
    }

    void silence(final boolean now) {
        silent = now;
    }

    boolean silent() {
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

    /** The times at which the versions after one, up to another, were made. */
    Iterable<Long> madeBetween(final long after, final long upTo) {
        return madeAtUs.subMap(after, false, upTo, true).values();
    }

    int changes() {
        return madeAtUs.size();
    }
}
