package railspar.scale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares the shares of the drawn destinations with Zipf's law, with a fixed seed. */
final class DestinationSamplerTest {
    private static final int DRAWS = 100_000;

    private static int[] draw(final int destinations, final double exponent) {
        final DestinationSampler sampler = new DestinationSampler(destinations, exponent);
        final SplittableRandom random = new SplittableRandom(1);
        final int[] counts = new int[destinations];
        for (int count = 0; count < DRAWS; count++) {
            counts[sampler.next(random)]++;
        }
        return counts;
    }

    private static void assertShare(final double share, final int count) {
        assertTrue(Math.abs(count - share * DRAWS) < 0.01 * DRAWS, count + " of " + DRAWS + ", not " + share);
    }

    @Test
    void anExponentOfZeroDrawsAllDestinationsEqually() {
        for (final int count : draw(10, 0)) {
            assertShare(0.1, count);
        }
    }

    @Test
    void anExponentOfOneDrawsInProportionToTheInverseRank() {
        final int[] counts = draw(4, 1);
        final double totalWeight = 1 + 1.0 / 2 + 1.0 / 3 + 1.0 / 4;
        for (int rank = 0; rank < counts.length; rank++) {
            assertShare(1.0 / (rank + 1) / totalWeight, counts[rank]);
        }
    }

    @Test
    void drawsASingleDestinationAlwaysAndRejectsInvalidArguments() {
        assertEquals(DRAWS, draw(1, 2)[0]);
        assertThrows(IllegalArgumentException.class, () -> new DestinationSampler(0, 1));
        assertThrows(IllegalArgumentException.class, () -> new DestinationSampler(1, -1));
    }
}
