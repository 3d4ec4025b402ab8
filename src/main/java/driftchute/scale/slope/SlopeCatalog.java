package driftchute.scale.slope;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The slopes that can be asked for by name. */
final class SlopeCatalog {
    private static final Map<String, List<Series>> SERIES = catalog();

    private SlopeCatalog() {}

    private static Map<String, List<Series>> catalog() {
        final Map<String, List<Series>> series = new LinkedHashMap<>();
        series.put("decisions", DecisionSeries.decisions());
        series.put("step", DecisionSeries.step());
        series.put("state", DecisionSeries.state());
        series.put("list", ListSeries.list());
        return Map.copyOf(series);
    }

    /** The names, in alphabetical order. */
    static List<String> names() {
        return SERIES.keySet().stream().sorted().toList();
    }

    /** The series of a name, or null where there is none. */
    static List<Series> named(final String name) {
        return SERIES.get(name);
    }
}
