package railspar.scale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Checks the endpoint list of a plan: its size, its distribution, and that it depends on the seed alone. */
final class FleetPlanTest {
    private static final InetSocketAddress DIAL = new InetSocketAddress("127.0.0.1", 7070);

    private static FleetPlan plan(final long seed) {
        return new FleetPlan(660, 45_000, 1.7, 0.043, 3, 9, seed);
    }

    @Test
    void listsThePlannedNumberOfEndpointsWithOneOrTwoPerDestination() {
        final List<EndpointEntry> list = plan(1).endpoints(DIAL);
        assertEquals(76_500, list.size());
        final Map<Long, Long> counts =
                list.stream().collect(Collectors.groupingBy(EndpointEntry::block, Collectors.counting()));
        assertEquals(45_000, counts.size());
        assertEquals(Set.of(1L, 2L), new HashSet<>(counts.values()));
        assertEquals(76_500, list.stream().map(EndpointEntry::host).distinct().count(), "names are unique");
        assertEquals("127.0.0.1:7070", list.get(0).dial());
    }

    @Test
    void theSameSeedGivesTheSamePlan() {
        assertEquals(plan(1).endpoints(DIAL), plan(1).endpoints(DIAL));
        assertEquals(plan(1).downDestinations(), plan(1).downDestinations());
        assertNotEquals(plan(1).endpoints(DIAL), plan(2).endpoints(DIAL));
        assertNotEquals(plan(1).downDestinations(), plan(2).downDestinations());
    }

    @Test
    void thePlannedShareOfDestinationsIsDown() {
        assertEquals(1935, plan(1).downDestinations().cardinality());
    }

    @Test
    void distributesEndpointsEvenlyOverZonesInAllRegions() {
        final Map<String, Long> counts = plan(1).endpoints(DIAL).stream()
                .collect(Collectors.groupingBy(EndpointEntry::site, Collectors.counting()));
        assertEquals(9, counts.size());
        counts.values().forEach(count -> assertTrue(Math.abs(count - 8500) < 300, "evenly distributed: " + counts));
        final Set<String> regions = counts.keySet().stream()
                .map((Function<String, String>) name -> name.substring(0, 2))
                .collect(Collectors.toSet());
        assertEquals(Set.of("r0", "r1", "r2"), regions);
    }

    @Test
    void rejectsInconsistentPlans() {
        assertThrows(IllegalArgumentException.class, () -> new FleetPlan(0, 1, 1, 0, 1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new FleetPlan(1, 0, 1, 0, 1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new FleetPlan(1, 1, 0.5, 0, 1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new FleetPlan(1, 1, 1, 1.1, 1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new FleetPlan(1, 1, 1, 0, 3, 2, 1));
    }
}
