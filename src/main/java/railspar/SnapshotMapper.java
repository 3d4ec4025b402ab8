package railspar;

import java.util.Map;
import java.util.TreeMap;
import railspar.Control.EndpointState;
import railspar.Courier.EndpointSnapshot;

/**
 * Converts the state of an endpoint and its route, and the averages of the message classes, to a snapshot and back.
 * Counts and flags that are zero are left out, because {@link #read} assumes them.
 */
final class SnapshotMapper {
    private SnapshotMapper() {}

    /** The snapshot of an endpoint; empty if that is null. */
    static EndpointSnapshot write(final EndpointState endpoint, final double[] classMeanUs, final int[] classSamples) {
        final Map<String, Double> values = new TreeMap<>();
        final Map<String, Long> timesUs = new TreeMap<>();
        if (endpoint != null) {
            endpoint.route.writeTo(values, timesUs);
            for (int index = 0; index < classMeanUs.length; index++) {
                values.put(EndpointSnapshot.CLASS_MEAN + index, classMeanUs[index]);
                values.put(EndpointSnapshot.CLASS_SAMPLES + index, (double) classSamples[index]);
                if (endpoint.failures[index] != 0) {
                    values.put("bad." + index, (double) endpoint.failures[index]);
                }
                timesUs.put("avoid." + index, endpoint.avoidUntilUs[index]);
            }
            timesUs.values().removeIf(us -> us == 0);
        }
        return new EndpointSnapshot(values, timesUs);
    }

    /** Applies a snapshot. Averages of message classes that it does not hold keep what they have. */
    static void read(
            final EndpointSnapshot snapshot,
            final EndpointState endpoint,
            final double[] classMeanUs,
            final int[] classSamples) {
        final Map<String, Double> values = snapshot.values();
        final Map<String, Long> timesUs = snapshot.timesUs();
        endpoint.route.readFrom(values, timesUs);
        for (int index = 0; index < classMeanUs.length; index++) {
            classMeanUs[index] = values.getOrDefault(EndpointSnapshot.CLASS_MEAN + index, classMeanUs[index]);
            classSamples[index] = values.getOrDefault(
                            EndpointSnapshot.CLASS_SAMPLES + index, (double) classSamples[index])
                    .intValue();
            endpoint.failures[index] = values.getOrDefault("bad." + index, 0.0).intValue();
            endpoint.avoidUntilUs[index] = timesUs.getOrDefault("avoid." + index, 0L);
        }
    }
}
