package railspar;

import railspar.Control.Destination;
import railspar.Control.Lane;
import railspar.Control.Node;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ObjLongConsumer;
import java.util.function.Predicate;

/**
 * The destinations that a courier keeps state for, and the endpoints of theirs. State begins with a destination's first
 * message, from what the {@link Courier.Directory} says then; a step visits the destinations in use only, and one that
 * comes into use again first takes the steps that it has missed. Of those at rest, what is learned of the ones that
 * were used last is kept. It decides nothing: what a new lane holds, what a step does and which lane may be forgotten
 * is told by {@link Control}.
 */
final class DestinationTable {
    private final Courier.Settings settings;
    private final Courier.Directory directory;
    private final int mostResting;
    private final Function<Courier.DestinationKind, Lane> newLane;
    private final Consumer<Lane> step;
    private final ObjLongConsumer<Lane> rest;
    private final Predicate<Lane> mayForget;
    private final Map<Long, Destination> destinations = new HashMap<>();
    private final Map<Long, Node> nodes = new HashMap<>();
    /** Destinations that the next step visits. */
    private final Map<Long, Destination> active = new LinkedHashMap<>();
    /** The others, the one that has rested for longest first. */
    private final Map<Long, Destination> resting = new LinkedHashMap<>();

    private long stepsTaken;
    private long lanesVisited;
    private long messagesVisited;

    DestinationTable(
            final Courier.Settings settings,
            final Courier.Directory directory,
            final int mostResting,
            final Function<Courier.DestinationKind, Lane> newLane,
            final Consumer<Lane> step,
            final ObjLongConsumer<Lane> rest,
            final Predicate<Lane> mayForget) {
        this.settings = settings;
        this.directory = directory;
        this.mostResting = mostResting;
        this.newLane = newLane;
        this.step = step;
        this.rest = rest;
        this.mayForget = mayForget;
    }

    /** What is held and how much was visited so far. */
    Courier.Workload workload() {
        return new Courier.Workload(destinations.size(), lanesVisited, messagesVisited);
    }

    /** So many waiting messages were looked at. */
    void messagesVisited(final int count) {
        messagesVisited += count;
    }

    /** The state of a destination as its last step left it, or null where it has none. */
    Destination get(final long id) {
        return destinations.get(id);
    }

    /** A destination that something happens to; its state begins here if it has none. */
    Destination active(final long id) {
        Destination destination = destinations.get(id);
        if (destination == null) {
            destination = new Destination();
            destinations.put(id, destination);
            for (final Courier.Endpoint entry : directory.endpointsOf(id)) {
                apply(destination, entry);
            }
        }
        if (active.putIfAbsent(id, destination) == null) {
            resting.remove(id);
            catchUp(destination);
        }
        return destination;
    }

    /**
     * The state of an endpoint, which begins here if it has none; null for one that the directory does not know. It may
     * know one that its list of the destination no longer names, as long as a call to it is out.
     */
    Node node(final long endpoint) {
        final Node known = nodes.get(endpoint);
        final Courier.Endpoint entry = known == null ? directory.endpoint(endpoint) : known.entry;
        if (entry == null) {
            return null;
        }
        final Destination destination = active(entry.destination());
        if (!nodes.containsKey(endpoint)) {
            apply(destination, entry);
        }
        return nodes.get(endpoint);
    }

    /** As {@link #node}, but null where there is no state; it is brought up to date. */
    Node nodeWithState(final long endpoint) {
        return nodes.containsKey(endpoint) ? node(endpoint) : null;
    }

    /** A second is over: visits the lanes that had calls or messages in it; what has neither rests from here on. */
    void step() {
        stepsTaken++;
        for (final Map.Entry<Long, Destination> entry : List.copyOf(active.entrySet())) {
            final Destination destination = entry.getValue();
            lanesVisited += destination.lanes.size();
            destination.lanes.forEach(step);
            destination.steppedAt = stepsTaken;
            if (destination.jobs == 0) {
                active.remove(entry.getKey());
                resting.put(entry.getKey(), destination);
                forgetGone(destination);
            }
        }
        forgetRested();
    }

    /** Takes the steps that a destination at rest has missed, at one visit of each lane. */
    private void catchUp(final Destination destination) {
        final long missed = stepsTaken - destination.steppedAt;
        if (missed > 0) {
            lanesVisited += destination.lanes.size();
            destination.lanes.forEach(lane -> rest.accept(lane, missed));
        }
        destination.steppedAt = stepsTaken;
    }

    /** Forgets what has rested for longest, where there is too much; what may not be forgotten counts as used. */
    private void forgetRested() {
        for (int excess = resting.size() - mostResting; excess > 0; excess--) {
            final Map.Entry<Long, Destination> oldest =
                    resting.entrySet().iterator().next();
            final long id = oldest.getKey();
            final Destination destination = oldest.getValue();
            resting.remove(id);
            if (destination.lanes.stream().allMatch(mayForget)) {
                destination.lanes.forEach(lane -> lane.nodes.forEach(node -> nodes.remove(node.entry.id(), node)));
                destinations.remove(id);
            } else {
                resting.put(id, destination);
            }
        }
    }

    // ---------------------------------------------------------------- the list

    /** The list has changed: takes up what it says of the destinations that have state. */
    void update(final Courier.ListUpdate update, final List<Courier.Endpoint> entries) {
        directory.update(update, entries);
        if (update == Courier.ListUpdate.INCREMENTAL) {
            entries.forEach(this::apply);
        } else {
            destinations.forEach(this::reread);
        }
    }

    private void reread(final long id, final Destination destination) {
        destination.lanes.forEach(lane -> lane.nodes.forEach(node -> node.condition = Courier.Condition.GONE));
        directory.endpointsOf(id).forEach(entry -> apply(destination, entry));
        forgetGone(destination);
    }

    private void apply(final Courier.Endpoint entry) {
        final Node known = nodes.get(entry.id());
        if (known != null && known.entry.destination() != entry.destination()) {
            known.condition = Courier.Condition.GONE;
            nodes.remove(entry.id());
        }
        final Destination destination = destinations.get(entry.destination());
        final boolean unknownIsGone = known == null && entry.condition() == Courier.Condition.GONE;
        if (destination != null && !unknownIsGone) {
            apply(destination, entry);
            forgetGone(destination);
        }
    }

    private void apply(final Destination destination, final Courier.Endpoint entry) {
        Node node = nodes.get(entry.id());
        if (node == null) {
            node = new Node(entry, lane(destination, entry), settings.classes().size());
            node.lane.nodes.add(node);
            nodes.put(entry.id(), node);
        }
        node.condition = entry.condition();
        if (settings.weightMeaning() != Courier.WeightMeaning.NONE) {
            node.lane.listed = entry.weight();
            // What answers report is newer and nearer than the list's figure.
            final boolean keep = node.lane.reported && node.lane.told > 0;
            node.lane.told = keep ? node.lane.told : entry.weight();
        }
    }

    private Lane lane(final Destination destination, final Courier.Endpoint entry) {
        final Courier.DestinationKind kind = entry.destinationKind() < 0
                ? new Courier.DestinationKind("", false, 1)
                : settings.destinationKinds().get(entry.destinationKind());
        if (kind.separateRoutes() || destination.lanes.isEmpty()) {
            destination.lanes.add(newLane.apply(kind));
        }
        return destination.lanes.get(destination.lanes.size() - 1);
    }

    /** Forgets endpoints that are gone; not a route apart: listed again, it still has its wait and its outage. */
    private void forgetGone(final Destination destination) {
        for (final Lane lane : destination.lanes) {
            lane.nodes.removeIf(node -> node.condition == Courier.Condition.GONE
                    && node.inFlight == 0
                    && !lane.kind.separateRoutes()
                    && (nodes.remove(node.entry.id(), node) || nodes.get(node.entry.id()) != node));
        }
    }
}
