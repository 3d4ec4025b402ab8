package railspar.scale.standin;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Random;

/**
 * The size and layout of a fleet, its destinations and its zones. Everything derived from a plan depends on its fields
 * alone, so processes with the same plan agree without communicating. Destinations and zones are numbered from 0.
 *
 * @param couriers number of couriers in the fleet
 * @param destinations number of destinations in the list
 * @param endpointsPerDestination mean number of endpoints of a destination, at least 1
 * @param downShare share of the destinations that refuse connections
 * @param regions number of regions, over which the zones are distributed evenly
 * @param zones number of zones in all regions together
 * @param seed determines which destinations are down and which have an additional endpoint
 */
public record FleetPlan(
        int couriers,
        int destinations,
        double endpointsPerDestination,
        double downShare,
        int regions,
        int zones,
        long seed) {
    /** The type of machine of all endpoints in a plan. */
    public static final String KIND = "std";

    private static final double TRAFFIC_SHARE = 1.0;

    /** Rejects inconsistent plans. */
    public FleetPlan {
        require(couriers >= 1, "at least one courier is needed, not " + couriers);
        require(destinations >= 1, "at least one destination is needed, not " + destinations);
        require(
                endpointsPerDestination >= 1 && Double.isFinite(endpointsPerDestination),
                "each destination needs at least one endpoint on average, not " + endpointsPerDestination);
        require(
                downShare >= 0 && downShare <= 1,
                "the share of destinations that are down must lie between 0 and 1, not " + downShare);
        require(regions >= 1, "at least one region is needed, not " + regions);
        require(
                zones >= regions,
                "each region needs at least one zone, not " + zones + " zones for " + regions + " regions");
    }

    private static void require(final boolean condition, final String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    /** The name of a zone, made of the numbers of its region and of the zone. */
    public String zoneName(final int zone) {
        return "r" + regionOf(zone) + "z" + zone;
    }

    /** The region of a zone. */
    public int regionOf(final int zone) {
        return zone % regions;
    }

    /** The zone of a courier. */
    public int zoneOfCourier(final int courier) {
        return courier % zones;
    }

    /** The number of endpoints in the list. */
    public int endpointCount() {
        return (int) Math.floor(destinations * endpointsPerDestination);
    }

    /** The numbers of the destinations that are down: the plan's share, rounded to a whole number. */
    public BitSet downDestinations() {
        final int[] order = shuffledDestinations(seed);
        final int downCount = (int) Math.round(destinations * downShare);
        final BitSet result = new BitSet(destinations);
        for (int index = 0; index < downCount; index++) {
            result.set(order[index]);
        }
        return result;
    }

    /**
     * The whole list, ordered by destination. All endpoints have the same address.
     *
     * @param dial the address of every endpoint
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
                TRAFFIC_SHARE,
                0);
    }

    /** The endpoints of each destination: the whole part of the mean, and one more for some drawn at random. */
    private int[] endpointCounts() {
        final int baseCount = (int) endpointsPerDestination;
        final int extra = endpointCount() - destinations * baseCount;
        final int[] order = shuffledDestinations(~seed);
        final int[] counts = new int[destinations];
        for (int index = 0; index < destinations; index++) {
            counts[order[index]] = baseCount + (index < extra ? 1 : 0);
        }
        return counts;
    }

    private int[] shuffledDestinations(final long orderSeed) {
        final Random random = new Random(orderSeed);
        final int[] order = new int[destinations];
        for (int index = 0; index < destinations; index++) {
            final int swapIndex = random.nextInt(index + 1);
            order[index] = order[swapIndex];
            order[swapIndex] = index;
        }
        return order;
    }
}
