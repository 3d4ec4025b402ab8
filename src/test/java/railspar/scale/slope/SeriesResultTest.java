package railspar.scale.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how a series is measured and summarized, with synthetic measurements. */
final class SeriesResultTest {
    private static final double TOLERANCE = 1e-9;
    private static final List<Integer> SIZES = List.of(10, 20, 30, 40);

    private final List<Integer> measuredSizes = new ArrayList<>();

    private SeriesResult measure(final double... disturbanceByRound) {
        final Series series = new Series("made-up", "items", "units", SIZES, 400, size -> {
            final double disturbance = disturbanceByRound[measuredSizes.size() / SIZES.size()];
            measuredSizes.add(size);
            return 5 + 2 * size + disturbance;
        });
        return SeriesResult.measure(series, SIZES, disturbanceByRound.length);
    }

    @Test
    void eachRoundMeasuresEverySizeOnce() {
        measure(0, 0);
        assertEquals(List.of(10, 20, 30, 40, 10, 20, 30, 40), measuredSizes);
    }

    @Test
    void lineIsFittedToTheMediansAndExtrapolatedToTheTarget() {
        final SeriesResult result = measure(1000, 3, 0);
        assertEquals(8, result.fit().intercept(), TOLERANCE);
        assertEquals(2, result.fit().slope(), TOLERANCE);
        assertEquals(808, result.atTarget(), TOLERANCE);
        assertEquals(10, result.extrapolation(), TOLERANCE);
        final SeriesResult.Point first = result.points().get(0);
        assertEquals(List.of(1025.0, 28.0, 25.0), first.rounds());
        assertEquals(25, first.least(), TOLERANCE);
        assertEquals(1025, first.most(), TOLERANCE);
    }

    @Test
    void medianOfAnEvenNumberOfRoundsIsTheMeanOfTheMiddleTwo() {
        assertEquals(26, measure(0, 2).points().get(0).median(), TOLERANCE);
    }

    @Test
    void growthExponentDistinguishesQuadraticFromLinearGrowth() {
        final Series square = new Series("square", "items", "units", SIZES, 400, size -> (double) size * size);
        assertEquals(2, SeriesResult.measure(square, SIZES, 1).growthExponent(), TOLERANCE);
        final Series line = new Series("line", "items", "units", SIZES, 400, size -> 3.0 * size);
        assertEquals(1, SeriesResult.measure(line, SIZES, 1).growthExponent(), TOLERANCE);
        final Series nothing = new Series("nothing", "items", "units", SIZES, 400, size -> 0);
        assertTrue(Double.isNaN(SeriesResult.measure(nothing, SIZES, 1).growthExponent()));
    }

    @Test
    void tableHasALineForEachSizeAndTheFit() {
        final String table = measure(0).table();
        SIZES.forEach(size -> assertTrue(table.contains(String.format("%10d ", size)), table));
        assertTrue(table.contains("fit: 5.0 + 2.0000 per unit of size"), table);
    }
}
