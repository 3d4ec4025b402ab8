package railspar.scale.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the fit on data with a known line. */
final class LeastSquaresTest {
    private static final double TOLERANCE = 1e-9;

    @Test
    void pointsOnALineHaveZeroResiduals() {
        final LeastSquares fit = LeastSquares.fit(List.of(0.0, 1.0, 2.0, 5.0), List.of(3.0, 5.0, 7.0, 13.0));
        assertEquals(3, fit.intercept(), TOLERANCE);
        assertEquals(2, fit.slope(), TOLERANCE);
        assertEquals(1, fit.determination(), TOLERANCE);
        fit.residuals().forEach(residual -> assertEquals(0, residual, TOLERANCE));
        assertEquals(203, fit.at(100), TOLERANCE);
    }

    @Test
    void scatteredPointsGiveTheTextbookLine() {
        final LeastSquares fit = LeastSquares.fit(List.of(1.0, 2.0, 3.0, 4.0, 5.0), List.of(2.0, 4.0, 5.0, 4.0, 5.0));
        assertEquals(2.2, fit.intercept(), TOLERANCE);
        assertEquals(0.6, fit.slope(), TOLERANCE);
        assertEquals(0.6, fit.determination(), TOLERANCE);
        final List<Double> expected = List.of(-0.8, 0.6, 1.0, -0.6, -0.2);
        for (int index = 0; index < expected.size(); index++) {
            assertEquals(expected.get(index), fit.residuals().get(index), TOLERANCE);
        }
    }

    @Test
    void equalValuesGiveAHorizontalLine() {
        final LeastSquares fit = LeastSquares.fit(List.of(1.0, 2.0, 9.0), List.of(4.0, 4.0, 4.0));
        assertEquals(0, fit.slope(), TOLERANCE);
        assertEquals(4, fit.intercept(), TOLERANCE);
        assertEquals(1, fit.determination(), TOLERANCE);
    }

    @Test
    void rejectsPointsThatDetermineNoLine() {
        assertThrows(IllegalArgumentException.class, () -> LeastSquares.fit(List.of(1.0), List.of(1.0)));
        assertThrows(IllegalArgumentException.class, () -> LeastSquares.fit(List.of(2.0, 2.0), List.of(1.0, 3.0)));
        assertThrows(IllegalArgumentException.class, () -> LeastSquares.fit(List.of(1.0, 2.0), List.of(1.0)));
    }
}
