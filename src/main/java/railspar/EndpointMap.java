package railspar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A directory of endpoints in maps, kept up to date by the list's changes; for hosts that do not keep a directory of
 * their own.
 */
final class EndpointMap implements Courier.Directory {
    private final Map<Long, Courier.Endpoint> endpoints = new HashMap<>();
    private final Map<Long, List<Long>> idsByDestination = new HashMap<>();

    @Override
    public List<Courier.Endpoint> endpointsOf(final long destination) {
        return idsByDestination.getOrDefault(destination, List.of()).stream()
                .map(endpoints::get)
                .toList();
    }

    @Override
    public Courier.Endpoint endpoint(final long id) {
        return endpoints.get(id);
    }

    @Override
    public void update(final Courier.ListUpdate update, final List<Courier.Endpoint> entries) {
        if (update != Courier.ListUpdate.INCREMENTAL) {
            final Set<Long> listed = new HashSet<>();
            entries.forEach(entry -> listed.add(entry.id()));
            endpoints.keySet().stream()
                    .filter(id -> !listed.contains(id))
                    .toList()
                    .forEach(this::remove);
        }
        entries.forEach(this::apply);
    }

    private void apply(final Courier.Endpoint entry) {
        if (entry.condition() == Courier.Condition.GONE) {
            remove(entry.id());
            return;
        }
        final Courier.Endpoint before = endpoints.get(entry.id());
        if (before != null && before.destination() != entry.destination()) {
            remove(entry.id());
        }
        if (endpoints.put(entry.id(), entry) == null) {
            idsByDestination
                    .computeIfAbsent(entry.destination(), unused -> new ArrayList<>())
                    .add(entry.id());
        }
    }

    private void remove(final long id) {
        final Courier.Endpoint entry = endpoints.remove(id);
        if (entry != null) {
            idsByDestination.get(entry.destination()).remove(id);
        }
    }
}
