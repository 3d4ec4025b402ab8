package railspar.scale.fleet;

import java.util.HashMap;
import java.util.Map;
import railspar.scale.standin.FleetPlan;

/**
 * Whether one region is cut off from the others, with the control machines among these. It changes between two slices
 * only, so that couriers may read it while they are stepped.
 */
final class RegionCut {
    private final Map<String, Integer> regionOfZone = new HashMap<>();
    private final int region;
    private boolean active;

    RegionCut(final FleetPlan plan, final int region) {
        this.region = region;
        for (int zone = 0; zone < plan.zones(); zone++) {
            regionOfZone.put(plan.zoneName(zone), plan.regionOf(zone));
        }
    }

    void begin() {
        active = true;
    }

    void end() {
        active = false;
    }

    /** True if what is in this zone does not reach the control machines now. */
    boolean cutsOffControl(final String zone) {
        return active && regionOfZone.get(zone) == region;
    }

    /** True if a call from one of these zones to the other goes nowhere now. */
    boolean separates(final String from, final String to) {
        return active && (regionOfZone.get(from) == region) != (regionOfZone.get(to) == region);
    }
}
