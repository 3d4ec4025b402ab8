package railspar.scale.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The fit on data whose line is known. */
final class LeastSquaresTest {
    private static final double EXACT = 1e-9;

    @Test
    void pointsOnALineLeaveNothingOver() {
        final LeastSquares fit = LeastSquares.fit(List.of(0.0, 1.0, 2.0, 5.0), List.of(3.0, 5.0, 7.0, 13.0));
        assertEquals(3, fit.intercept(), EXACT);
        assertEquals(2, fit.slope(), EXACT);
        assertEquals(1, fit.determination(), EXACT);
        fit.residuals().forEach(residual -> assertEquals(0, residual, EXACT));
        assertEquals(203, fit.at(100), EXACT);
    }

    @Test
    void scatteredPointsGiveTheTextbookLine() {
        final LeastSquares fit = LeastSquares.fit(List.of(1.0, 2.0, 3.0, 4.0, 5.0), List.of(2.0, 4.0, 5.0, 4.0, 5.0));
        assertEquals(2.2, fit.intercept(), EXACT);
        assertEquals(0.6, fit.slope(), EXACT);
        assertEquals(0.6, fit.determination(), EXACT);
        final List<Double> expected = List.of(-0.8, 0.6, 1.0, -0.6, -0.2);
        for (int index = 0; index < expected.size(); index++) {
            assertEquals(expected.get(index), fit.residuals().get(index), EXACT);
        }
    }

    @Test
    void equalValuesAreALevelLine() {
        final LeastSquares fit = LeastSquares.fit(List.of(1.0, 2.0, 9.0), List.of(4.0, 4.0, 4.0));
        assertEquals(0, fit.slope(), EXACT);
        assertEquals(4, fit.intercept(), EXACT);
        assertEquals(1, fit.determination(), EXACT);
    }

    @Test
    void whatDeterminesNoLineIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> LeastSquares.fit(List.of(1.0), List.of(1.0)));
        assertThrows(IllegalArgumentException.class, () -> LeastSquares.fit(List.of(2.0, 2.0), List.of(1.0, 3.0)));
        assertThrows(IllegalArgumentException.class, () -> LeastSquares.fit(List.of(1.0, 2.0), List.of(1.0)));
    }
}
