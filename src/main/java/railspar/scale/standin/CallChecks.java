package railspar.scale.standin;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Checks that couriers keep the rules on calls, and counts where they do not. Messages are registered from any
 * thread; all else belongs to the thread that serves the calls.
 */
final class CallChecks {
    /** How long calls to an endpoint that drains are let through. */
    static final Duration DRAIN_GRACE = Duration.ofMillis(250);

    /** In place of a time, for endpoints that do not drain. */
    private static final Long SERVES = Long.MAX_VALUE;

    /** One destination's endpoints at one address. */
    private record Place(long destination, InetSocketAddress address) {}

    private final Map<String, RegisteredMessage> messages = new ConcurrentHashMap<>();
    /** Whether each place with endpoints drains: since when, or {@link #SERVES}. */
    private final Map<Place, Long> places = new ConcurrentHashMap<>();

    /** In how many calls each message is out. */
    private final Map<String, Integer> out = new HashMap<>();
    /** Messages that must not be repeated and may have run. */
    private final Set<String> mayHaveRun = new HashSet<>();

    private final Map<String, Long> newestOfKey = new HashMap<>();
    private long unknown;
    private long misplaced;
    private long toDrained;
    private long secondCopies;
    private long repeated;
    private long outOfOrder;
    private long malformed;

    void register(final RegisteredMessage message) {
        messages.put(message.id(), message);
    }

    void forget(final String id) {
        messages.remove(id);
    }

    /** The destination has an endpoint at that address. */
    void serves(final long destination, final InetSocketAddress address) {
        places.put(new Place(destination, address), SERVES);
    }

    /** All endpoints of the destination at that address drain from now on. */
    void drains(final long destination, final InetSocketAddress address, final long nowNs) {
        places.put(new Place(destination, address), nowNs);
    }

    /** The message of that id, or null, which is counted, if no client has handed one in. */
    RegisteredMessage find(final String id) {
        final RegisteredMessage message = id == null ? null : messages.get(id);
        if (message == null) {
            unknown++;
        }
        return message;
    }

    void malformed() {
        malformed++;
    }

    /** A call for that destination has arrived at that address. */
    void arrived(final long destination, final InetSocketAddress address, final long nowNs) {
        final Long drainsSinceNs = places.get(new Place(destination, address));
        if (drainsSinceNs == null) {
            misplaced++;
        } else if (!drainsSinceNs.equals(SERVES) && nowNs - drainsSinceNs > DRAIN_GRACE.toNanos()) {
            toDrained++;
        }
    }

    /** A message is out in a call. */
    void begins(final RegisteredMessage message) {
        if (out.merge(message.id(), 1, Integer::sum) > 1) {
            secondCopies++;
        }
        if (message.key() != null) {
            final Long newest = newestOfKey.get(message.key());
            if (newest != null && newest > message.sequence()) {
                outOfOrder++;
            } else {
                newestOfKey.put(message.key(), message.sequence());
            }
        }
    }

    /** A message that is out begins to run. */
    void runs(final RegisteredMessage message) {
        if (!message.repeatable() && !mayHaveRun.add(message.id())) {
            repeated++;
        }
    }

    /** A message is no longer out: its call was answered, or given up. */
    void ends(final RegisteredMessage message) {
        out.computeIfPresent(message.id(), (id, calls) -> calls == 1 ? null : calls - 1);
    }

    CallFaults faults() {
        return new CallFaults(unknown, misplaced, toDrained, secondCopies, repeated, outOfOrder, malformed);
    }
}
