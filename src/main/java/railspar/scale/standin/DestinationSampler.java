package railspar.scale.standin;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * Draws destinations by Zipf's law: the destination of rank r has the weight (1 / r) to the power of the exponent. An
 * exponent of 0 makes all equally likely. Immutable.
 */
final class DestinationSampler {
    private final double[] cumulativeWeights;

    DestinationSampler(final int destinations, final double exponent) {
        if (destinations < 1 || exponent < 0) {
            throw new IllegalArgumentException("at least one destination and an exponent of at least 0 are needed, not "
                    + destinations + " and " + exponent);
        }
        cumulativeWeights = new double[destinations];
        double cumulativeWeight = 0;
        for (int rank = 0; rank < destinations; rank++) {
            cumulativeWeight += Math.pow(rank + 1, -exponent);
            cumulativeWeights[rank] = cumulativeWeight;
        }
    }

    int next(final RandomGenerator random) {
        final double drawnWeight = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
        final int found = Arrays.binarySearch(cumulativeWeights, drawnWeight);
        return found >= 0 ? Math.min(found + 1, cumulativeWeights.length - 1) : -found - 1;
    }
}
