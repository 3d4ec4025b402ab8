package railspar;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ObjLongConsumer;
import java.util.function.Predicate;
import railspar.Control.DestinationState;
import railspar.Control.EndpointState;
import railspar.Control.Route;

/**
 * The destinations that a courier keeps state for, and their endpoints. State begins with a destination's first
 * message, from what the {@link Courier.Directory} says then. A step visits only the active destinations; one that
 * becomes active again first takes the steps that it has missed. Of the idle ones, the state of those used last is
 * kept. It decides nothing: {@link Control} says what a new route holds, what a step does and which route may be
 * dropped.
 */
final class DestinationTable {
    private final Courier.Settings settings;
    private final Courier.Directory directory;
    private final int mostResting;
    private final Function<Courier.DestinationKind, Route> newLane;
    private final Consumer<Route> step;
    private final ObjLongConsumer<Route> rest;
    private final Predicate<Route> mayForget;
    private final Map<Long, DestinationState> destinations = new HashMap<>();
    private final Map<Long, EndpointState> nodes = new HashMap<>();
    /** Destinations that the next step visits. */
    private final Map<Long, DestinationState> active = new LinkedHashMap<>();
    /** The others, the one that has rested for longest first. */
    private final Map<Long, DestinationState> resting = new LinkedHashMap<>();

    private long stepsTaken;
    private long routesVisited;
    private long messagesExamined;

    DestinationTable(
            final Courier.Settings settings,
            final Courier.Directory directory,
            final int mostResting,
            final Function<Courier.DestinationKind, Route> newLane,
            final Consumer<Route> step,
            final ObjLongConsumer<Route> rest,
            final Predicate<Route> mayForget) {
        this.settings = settings;
        this.directory = directory;
        this.mostResting = mostResting;
        this.newLane = newLane;
        this.step = step;
        this.rest = rest;
        this.mayForget = mayForget;
    }

    /** The destinations with state, and how much was visited so far. */
    Courier.Workload workload() {
        return new Courier.Workload(destinations.size(), routesVisited, messagesExamined);
    }

    /** Counts waiting messages that were examined. */
    void countExaminedMessages(final int count) {
        messagesExamined += count;
    }

    /** The state of a destination as its last step left it, or null where it has none. */
    DestinationState get(final long id) {
        return destinations.get(id);
    }

    /** Makes a destination active and returns its state, which begins here if it has none. */
    DestinationState activate(final long id) {
        DestinationState destination = destinations.get(id);
        if (destination == null) {
            destination = new DestinationState();
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
     * The state of an endpoint, which begins here if it has none; null for one that the directory does not know. It
     * may know one that the list no longer names, as long as a call to it is in flight.
     */
    EndpointState endpoint(final long endpoint) {
        final EndpointState known = nodes.get(endpoint);
        final Courier.Endpoint entry = known == null ? directory.endpoint(endpoint) : known.entry;
        if (entry == null) {
            return null;
        }
        final DestinationState destination = activate(entry.destination());
        if (!nodes.containsKey(endpoint)) {
            apply(destination, entry);
        }
        return nodes.get(endpoint);
    }

    /** As {@link #endpoint}, but null where there is no state; it is brought up to date. */
    EndpointState knownEndpoint(final long endpoint) {
        return nodes.containsKey(endpoint) ? endpoint(endpoint) : null;
    }

    /** A second is over: visits the lanes that had calls or messages in it; what has neither rests from here on. */
    void step() {
        stepsTaken++;
        for (final Map.Entry<Long, DestinationState> entry : List.copyOf(active.entrySet())) {
            final DestinationState destination = entry.getValue();
            routesVisited += destination.routes.size();
            destination.routes.forEach(step);
            destination.lastStep = stepsTaken;
            if (destination.openMessages == 0) {
                active.remove(entry.getKey());
                resting.put(entry.getKey(), destination);
                forgetGone(destination);
            }
        }
        forgetRested();
    }

    /** Takes the steps that a destination at rest has missed, at one visit of each lane. */
    private void catchUp(final DestinationState destination) {
        final long missed = stepsTaken - destination.lastStep;
        if (missed > 0) {
            routesVisited += destination.routes.size();
            destination.routes.forEach(lane -> rest.accept(lane, missed));
        }
        destination.lastStep = stepsTaken;
    }

    /** Forgets what has rested for longest, where there is too much; what may not be forgotten counts as used. */
    private void forgetRested() {
        for (int excess = resting.size() - mostResting; excess > 0; excess--) {
            final Map.Entry<Long, DestinationState> oldest =
                    resting.entrySet().iterator().next();
            final long id = oldest.getKey();
            final DestinationState destination = oldest.getValue();
            resting.remove(id);
            if (destination.routes.stream().allMatch(mayForget)) {
                destination.routes.forEach(lane -> lane.endpoints.forEach(node -> nodes.remove(node.entry.id(), node)));
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

    private void reread(final long id, final DestinationState destination) {
        destination.routes.forEach(lane -> lane.endpoints.forEach(node -> node.condition = Courier.Condition.GONE));
        directory.endpointsOf(id).forEach(entry -> apply(destination, entry));
        forgetGone(destination);
    }

    private void apply(final Courier.Endpoint entry) {
        final EndpointState known = nodes.get(entry.id());
        if (known != null && known.entry.destination() != entry.destination()) {
            known.condition = Courier.Condition.GONE;
            nodes.remove(entry.id());
        }
        final DestinationState destination = destinations.get(entry.destination());
        final boolean unknownIsGone = known == null && entry.condition() == Courier.Condition.GONE;
        if (destination != null && !unknownIsGone) {
            apply(destination, entry);
            forgetGone(destination);
        }
    }

    private void apply(final DestinationState destination, final Courier.Endpoint entry) {
        EndpointState node = nodes.get(entry.id());
        if (node == null) {
            node = new EndpointState(
                    entry, lane(destination, entry), settings.classes().size());
            node.route.endpoints.add(node);
            nodes.put(entry.id(), node);
        }
        node.condition = entry.condition();
        if (settings.weightMeaning() != Courier.WeightMeaning.NONE) {
            node.route.listedLimit = entry.weight();
            // What answers report is newer and nearer than the list's figure.
            final boolean keep = node.route.exactLimit && node.route.rateLimit > 0;
            node.route.rateLimit = keep ? node.route.rateLimit : entry.weight();
        }
    }

    private Route lane(final DestinationState destination, final Courier.Endpoint entry) {
        final Courier.DestinationKind kind = entry.destinationKind() < 0
                ? new Courier.DestinationKind("", false, 1)
                : settings.destinationKinds().get(entry.destinationKind());
        if (kind.separateRoutes() || destination.routes.isEmpty()) {
            destination.routes.add(newLane.apply(kind));
        }
        return destination.routes.get(destination.routes.size() - 1);
    }

    /** Forgets endpoints that are gone; not a route apart: listed again, it still has its wait and its outage. */
    private void forgetGone(final DestinationState destination) {
        for (final Route lane : destination.routes) {
            lane.endpoints.removeIf(node -> node.condition == Courier.Condition.GONE
                    && node.callsInFlight == 0
                    && !lane.destinationKind.separateRoutes()
                    && (nodes.remove(node.entry.id(), node) || nodes.get(node.entry.id()) != node));
        }
    }
}
