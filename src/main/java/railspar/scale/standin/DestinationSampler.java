package railspar.scale.standin;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * Draws destinations by Zipf's law: the one of rank r has a weight of 1 / r to the power of the exponent. An exponent
 * of 0 makes all alike. Immutable.
 */
final class DestinationSampler {
    private final double[] cumulative;

    DestinationSampler(final int destinations, final double exponent) {
        if (destinations < 1 || exponent < 0) {
            throw new IllegalArgumentException(
                    "at least one destination and an exponent of at least 0: " + destinations + ", " + exponent);
        }
        cumulative = new double[destinations];
        double sum = 0;
        for (int rank = 0; rank < destinations; rank++) {
            sum += Math.pow(rank + 1, -exponent);
            cumulative[rank] = sum;
        }
    }

    int next(final RandomGenerator random) {
        final double drawn = random.nextDouble() * cumulative[cumulative.length - 1];
        final int found = Arrays.binarySearch(cumulative, drawn);
        return found >= 0 ? Math.min(found + 1, cumulative.length - 1) : -found - 1;
    }
}
