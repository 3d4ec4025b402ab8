package railspar.scale.fleet;

import java.util.HashMap;
import java.util.Map;
import railspar.scale.standin.FleetPlan;

/**
 * A network partition between one region and the other regions, which include the control machines. It begins and ends
 * only between two time slices, so couriers can read it while they are stepped on several threads.
 */
final class NetworkPartition {
    private final Map<String, Integer> regionOfZone = new HashMap<>();
    private final int region;
    private boolean active;

    NetworkPartition(final FleetPlan plan, final int region) {
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

    /** True while couriers in this zone cannot reach the control machines. */
    boolean isCutOffFromControl(final String zone) {
        return active && regionOfZone.get(zone) == region;
    }

    /** True while calls between these zones fail. */
    boolean separates(final String from, final String to) {
        return active && (regionOfZone.get(from) == region) != (regionOfZone.get(to) == region);
    }
}
