package railspar;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
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
 * The destinations that a courier keeps state for, and their endpoints. State begins with the first event at a
 * destination, from what the {@link Courier.Directory} says then. A step visits only the active destinations; one
 * that becomes active again first takes the steps that it has missed. Of the idle destinations, the state of those
 * used last is kept. This class decides nothing: {@link Control} defines what a new route holds, what a step does
 * and which route's state may be dropped.
 */
final class DestinationTable {
    private final Courier.Settings settings;
    private final Courier.Directory directory;
    private final int maxIdle;
    private final Function<Courier.DestinationKind, Route> newRoute;
    private final Consumer<Route> stepRoute;
    private final ObjLongConsumer<Route> catchUpRoute;
    private final Predicate<Route> mayForget;
    private final Map<Long, DestinationState> destinations = new HashMap<>();
    private final Map<Long, EndpointState> endpoints = new HashMap<>();
    /** Destinations that the next step visits. */
    private final Map<Long, DestinationState> active = new LinkedHashMap<>();
    /** Destinations with state that are not active, the one that has been idle for longest first. */
    private final Map<Long, DestinationState> idle = new LinkedHashMap<>();

    private long stepsTaken;
    private long routesVisited;
    private long messagesExamined;

    DestinationTable(
            final Courier.Settings settings,
            final Courier.Directory directory,
            final int maxIdle,
            final Function<Courier.DestinationKind, Route> newRoute,
            final Consumer<Route> stepRoute,
            final ObjLongConsumer<Route> catchUpRoute,
            final Predicate<Route> mayForget) {
        this.settings = settings;
        this.directory = directory;
        this.maxIdle = maxIdle;
        this.newRoute = newRoute;
        this.stepRoute = stepRoute;
        this.catchUpRoute = catchUpRoute;
        this.mayForget = mayForget;
    }

    /** The number of destinations with state, and the work done since the start. */
    Courier.Workload workload() {
        return new Courier.Workload(destinations.size(), routesVisited, messagesExamined);
    }

    /** Adds to the count of waiting messages examined. */
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
            idle.remove(id);
            catchUp(destination);
        }
        return destination;
    }

    /**
     * The state of an endpoint, which begins here if it has none; null if the directory does not know the endpoint.
     * The directory may know an endpoint that the list no longer names, as long as a call to it is in flight.
     */
    EndpointState endpoint(final long endpointId) {
        final EndpointState endpoint = endpoints.get(endpointId);
        final Courier.Endpoint entry = endpoint == null ? directory.endpoint(endpointId) : endpoint.entry;
        if (entry == null) {
            return null;
        }
        final DestinationState destination = activate(entry.destination());
        if (!endpoints.containsKey(endpointId)) {
            apply(destination, entry);
        }
        return endpoints.get(endpointId);
    }

    /** As {@link #endpoint}, but null if the endpoint has no state; takes the steps that it has missed. */
    EndpointState existingEndpoint(final long endpointId) {
        return endpoints.containsKey(endpointId) ? endpoint(endpointId) : null;
    }

    /** Takes the step of each second on all active routes; a destination without open messages becomes idle. */
    void step() {
        stepsTaken++;
        for (final Map.Entry<Long, DestinationState> entry : List.copyOf(active.entrySet())) {
            final DestinationState destination = entry.getValue();
            routesVisited += destination.routes.size();
            destination.routes.forEach(stepRoute);
            destination.lastStep = stepsTaken;
            if (destination.openMessages == 0) {
                active.remove(entry.getKey());
                idle.put(entry.getKey(), destination);
                dropGoneEndpoints(destination);
            }
        }
        dropExcessIdle();
    }

    /** Takes the steps that an idle destination has missed, with one visit of each route. */
    private void catchUp(final DestinationState destination) {
        final long missed = stepsTaken - destination.lastStep;
        if (missed > 0) {
            routesVisited += destination.routes.size();
            destination.routes.forEach(route -> catchUpRoute.accept(route, missed));
        }
        destination.lastStep = stepsTaken;
    }

    /**
     * Drops the state of the destinations idle for longest, down to the maximum. One whose state may not be dropped
     * is treated as just used instead.
     */
    private void dropExcessIdle() {
        for (int excess = idle.size() - maxIdle; excess > 0; excess--) {
            final Map.Entry<Long, DestinationState> oldest =
                    idle.entrySet().iterator().next();
            final long id = oldest.getKey();
            final DestinationState destination = oldest.getValue();
            idle.remove(id);
            if (destination.routes.stream().allMatch(mayForget)) {
                destination.routes.forEach(
                        route -> route.endpoints.forEach(endpoint -> endpoints.remove(endpoint.entry.id(), endpoint)));
                destinations.remove(id);
            } else {
                idle.put(id, destination);
            }
        }
    }

    /**
     * The endpoints whose snapshots together hold the whole state: for each route one endpoint, and those with failures
     * of their own. Routes whose state may not be dropped come first, then those used last.
     */
    List<Long> snapshotOrder() {
        final List<Route> routes = new ArrayList<>();
        destinations.values().forEach(destination -> routes.addAll(destination.routes));
        final Map<Route, Boolean> droppable = new IdentityHashMap<>();
        routes.forEach(route -> droppable.put(route, mayForget.test(route)));
        routes.sort(Comparator.<Route, Boolean>comparing(droppable::get)
                .thenComparing(route -> route.lastSendUs, Comparator.reverseOrder()));
        final List<Long> order = new ArrayList<>();
        for (final Route route : routes) {
            boolean routeIncluded = false;
            for (final EndpointState endpoint : route.endpoints) {
                final boolean isListed = endpoint.condition != Courier.Condition.GONE;
                if (isListed && (!routeIncluded || hasFailures(endpoint))) {
                    order.add(endpoint.entry.id());
                    routeIncluded = true;
                }
            }
        }
        return order;
    }

    private static boolean hasFailures(final EndpointState endpoint) {
        return Arrays.stream(endpoint.failures).anyMatch(count -> count > 0)
                || Arrays.stream(endpoint.avoidUntilUs).anyMatch(untilUs -> untilUs > 0);
    }

    // ---------------------------------------------------------------- the list

    /** Applies a change of the list to the destinations that have state. */
    void update(final Courier.ListUpdate update, final List<Courier.Endpoint> entries) {
        directory.update(update, entries);
        if (update == Courier.ListUpdate.INCREMENTAL) {
            entries.forEach(this::apply);
        } else {
            destinations.forEach(this::reload);
        }
    }

    private void reload(final long id, final DestinationState destination) {
        destination.routes.forEach(
                route -> route.endpoints.forEach(endpoint -> endpoint.condition = Courier.Condition.GONE));
        directory.endpointsOf(id).forEach(entry -> apply(destination, entry));
        dropGoneEndpoints(destination);
    }

    private void apply(final Courier.Endpoint entry) {
        final EndpointState endpoint = endpoints.get(entry.id());
        if (endpoint != null && endpoint.entry.destination() != entry.destination()) {
            endpoint.condition = Courier.Condition.GONE;
            endpoints.remove(entry.id());
        }
        final DestinationState destination = destinations.get(entry.destination());
        final boolean unknownIsGone = endpoint == null && entry.condition() == Courier.Condition.GONE;
        if (destination != null && !unknownIsGone) {
            apply(destination, entry);
            dropGoneEndpoints(destination);
        }
    }

    private void apply(final DestinationState destination, final Courier.Endpoint entry) {
        EndpointState endpoint = endpoints.get(entry.id());
        if (endpoint == null) {
            endpoint = new EndpointState(
                    entry, routeOf(destination, entry), settings.classes().size());
            endpoint.route.endpoints.add(endpoint);
            endpoints.put(entry.id(), endpoint);
        }
        endpoint.condition = entry.condition();
        if (settings.weightMeaning() != Courier.WeightMeaning.NONE) {
            endpoint.route.listedLimit = entry.weight();
            // A limit that an answer reported is newer and more exact than the list's.
            final boolean keep = endpoint.route.exactRate && endpoint.route.rateLimit > 0;
            endpoint.route.rateLimit = keep ? endpoint.route.rateLimit : entry.weight();
        }
    }

    private Route routeOf(final DestinationState destination, final Courier.Endpoint entry) {
        final Courier.DestinationKind destinationKind = entry.destinationKind() < 0
                ? new Courier.DestinationKind("", false, 1)
                : settings.destinationKinds().get(entry.destinationKind());
        if (destinationKind.separateRoutes() || destination.routes.isEmpty()) {
            destination.routes.add(newRoute.apply(destinationKind));
        }
        return destination.routes.get(destination.routes.size() - 1);
    }

    /**
     * Drops the state of endpoints that are gone, but not of a separate route: listed again, it still has its wait
     * and its outage.
     */
    private void dropGoneEndpoints(final DestinationState destination) {
        for (final Route route : destination.routes) {
            route.endpoints.removeIf(endpoint -> endpoint.condition == Courier.Condition.GONE
                    && endpoint.inFlight == 0
                    && !route.destinationKind.separateRoutes()
                    && (endpoints.remove(endpoint.entry.id(), endpoint)
                            || endpoints.get(endpoint.entry.id()) != endpoint));
        }
    }
}
