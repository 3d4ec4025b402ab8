package railspar.scale.slope;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The slopes that the command line can select by name. */
final class SlopeCatalog {
    private SlopeCatalog() {}

    /** All slopes that need only public classes. */
    static Map<String, List<Series>> all() {
        final Map<String, List<Series>> series = new LinkedHashMap<>();
        series.put("decisions", DecisionSeries.decisions());
        series.put("step", DecisionSeries.step());
        series.put("state", DecisionSeries.state());
        series.put("list", ListSeries.list());
        return series;
    }
}
