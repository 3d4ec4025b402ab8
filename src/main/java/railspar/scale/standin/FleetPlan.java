package railspar.scale.standin;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Random;

/**
 * The shape of a fleet and of its surroundings. Everything derived from it is a function of its fields, so two
 * processes with the same plan agree without talking to each other. Destinations and zones are numbered from 0.
 *
 * @param couriers couriers in the fleet
 * @param destinations destinations in the list
 * @param endpointsPerDestination endpoints of a destination on average, at least 1
 * @param downShare share of the destinations that refuse connections
 * @param regions regions, over which the zones are spread evenly
 * @param zones zones in all regions together
 * @param seed decides which destinations are down and how they are spread
 */
public record FleetPlan(
        int couriers,
        int destinations,
        double endpointsPerDestination,
        double downShare,
        int regions,
        int zones,
        long seed) {
    /** The one kind of endpoint in the plan. */
    public static final String KIND = "std";

    private static final double SHARE = 1.0;

    /** Refuses plans that contradict themselves. */
    public FleetPlan {
        require(couriers >= 1, "at least one courier is needed, not " + couriers);
        require(destinations >= 1, "at least one destination is needed, not " + destinations);
        require(
                endpointsPerDestination >= 1 && Double.isFinite(endpointsPerDestination),
                "a destination has at least one endpoint, not " + endpointsPerDestination);
        require(downShare >= 0 && downShare <= 1, "a share lies between 0 and 1, not " + downShare);
        require(regions >= 1, "at least one region is needed, not " + regions);
        require(zones >= regions, "each region has at least one zone: " + zones + " zones, " + regions + " regions");
    }

    private static void require(final boolean condition, final String reason) {
        if (!condition) {
            throw new IllegalArgumentException(reason);
        }
    }

    /** The name of a zone: its region and its own number. */
    public String zoneName(final int zone) {
        return "r" + regionOf(zone) + "z" + zone;
    }

    /** The region that a zone lies in. */
    public int regionOf(final int zone) {
        return zone % regions;
    }

    /** The zone that a courier runs in. */
    public int zoneOfCourier(final int courier) {
        return courier % zones;
    }

    /** How many endpoints the list has. */
    public int endpointCount() {
        return (int) Math.floor(destinations * endpointsPerDestination);
    }

    /** The numbers of the destinations that are down, exactly the plan's share of them. */
    public BitSet downDestinations() {
        final int[] order = shuffledDestinations(seed);
        final int down = (int) Math.round(destinations * downShare);
        final BitSet result = new BitSet(destinations);
        for (int index = 0; index < down; index++) {
            result.set(order[index]);
        }
        return result;
    }

    /**
     * The whole list, ordered by destination. All endpoints are dialled at the same address.
     *
     * @param dial the address that every entry names
     */
    public List<EndpointEntry> endpoints(final InetSocketAddress dial) {
        final String address = dial.getAddress().getHostAddress() + ":" + dial.getPort();
        final int[] counts = endpointCounts();
        final List<EndpointEntry> entries = new ArrayList<>(endpointCount());
        for (int destination = 0; destination < destinations; destination++) {
            for (int replica = 0; replica < counts[destination]; replica++) {
                entries.add(endpoint(destination, replica, address));
            }
        }
        return entries;
    }

    private EndpointEntry endpoint(final int destination, final int replica, final String address) {
        return new EndpointEntry(
                "s-" + destination + "-" + replica,
                address,
                zoneName((destination + replica) % zones),
                KIND,
                destination,
                EndpointEntry.Health.READY,
                SHARE,
                0);
    }

    /** Endpoints of each destination: the whole part of the mean, and one more at some drawn at random. */
    private int[] endpointCounts() {
        final int each = (int) endpointsPerDestination;
        final int extra = endpointCount() - destinations * each;
        final int[] order = shuffledDestinations(~seed);
        final int[] counts = new int[destinations];
        for (int index = 0; index < destinations; index++) {
            counts[order[index]] = each + (index < extra ? 1 : 0);
        }
        return counts;
    }

    private int[] shuffledDestinations(final long orderSeed) {
        final Random random = new Random(orderSeed);
        final int[] order = new int[destinations];
        for (int index = 0; index < destinations; index++) {
            final int other = random.nextInt(index + 1);
            order[index] = order[other];
            order[other] = index;
        }
        return order;
    }
}
