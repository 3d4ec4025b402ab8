package driftchute.scale.fleet;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import driftchute.Courier;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The list as objects in maps by name and by number, as the courier keeps it today; nothing of it outlasts the process.
 */
final class HashCourierList implements CourierList {
    private static final JsonFactory JSON = new JsonFactory();

    private final Map<String, Long> ids = new HashMap<>();
    private final Map<Long, Courier.Endpoint> entries = new HashMap<>();
    private long nextId = 1;
    private long version;

    @Override
    public Change feed(final byte[] line) throws IOException {
        boolean whole = false;
        final List<Courier.Endpoint> named = new ArrayList<>();
        try (JsonParser json = JSON.createParser(line)) {
            json.nextToken();
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                final String field = json.currentName();
                json.nextToken();
                switch (field) {
                    case "seq" -> version = json.getLongValue();
                    case "whole" -> whole = json.getBooleanValue();
                    case "hosts" -> readEntries(json, named);
                    default -> json.skipChildren();
                }
            }
        }
        apply(named, whole);
        return new Change(whole ? Courier.Update.WHOLE : Courier.Update.CHANGES, named);
    }

    private void readEntries(final JsonParser json, final List<Courier.Endpoint> named) throws IOException {
        while (json.nextToken() == JsonToken.START_OBJECT) {
            named.add(readEntry(json));
        }
    }

    private Courier.Endpoint readEntry(final JsonParser json) throws IOException {
        String host = "";
        String zone = "";
        long destination = 0;
        double share = 0;
        Courier.Condition condition = Courier.Condition.LISTED;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            final String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "host" -> host = json.getText();
                case "site" -> zone = json.getText().intern();
                case "block" -> destination = json.getLongValue();
                case "share" -> share = json.getDoubleValue();
                case "health" -> condition = condition(json.getText());
                default -> json.skipChildren();
            }
        }
        final long id = ids.computeIfAbsent(host, unused -> nextId++);
        return new Courier.Endpoint(id, condition, zone, share, CourierSettings.KIND_INDEX, destination);
    }

    private static Courier.Condition condition(final String health) throws IOException {
        return switch (health) {
            case "Ready" -> Courier.Condition.LISTED;
            case "Terminating" -> Courier.Condition.DRAINING;
            case "Gone" -> Courier.Condition.GONE;
            default -> throw new IOException("unknown health: " + health);
        };
    }

    private void apply(final List<Courier.Endpoint> named, final boolean whole) {
        if (whole) {
            entries.clear();
        }
        final Set<Long> gone = new HashSet<>();
        for (final Courier.Endpoint entry : named) {
            if (entry.condition() == Courier.Condition.GONE) {
                entries.remove(entry.id());
                gone.add(entry.id());
            } else {
                entries.put(entry.id(), entry);
            }
        }
        if (whole) {
            ids.values().retainAll(entries.keySet());
        } else if (!gone.isEmpty()) {
            ids.values().removeAll(gone);
        }
    }

    @Override
    public long version() {
        return version;
    }

    @Override
    public int size() {
        return entries.size();
    }

    @Override
    public CourierList afterRestart() {
        return new HashCourierList();
    }
}
