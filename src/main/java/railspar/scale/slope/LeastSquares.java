package railspar.scale.slope;

import java.util.List;

/**
 * The straight line that fits measured points best, by the least squares method.
 *
 * @param intercept the fitted value at size 0
 * @param slope the fitted growth for each unit of size
 * @param residuals measured values less fitted values, in the order of the points
 * @param determination the share of the variance that the line explains (R squared), 1 where all values are equal
 */
public record LeastSquares(double intercept, double slope, List<Double> residuals, double determination) {
    private static final int MIN_SIZES = 2;

    /** Fits values against sizes. Rejects fewer than two different sizes, because they determine no line. */
    public static LeastSquares fit(final List<Double> sizes, final List<Double> values) {
        if (sizes.size() != values.size()) {
            throw new IllegalArgumentException(sizes.size() + " sizes but " + values.size() + " values");
        }
        if (sizes.stream().distinct().count() < MIN_SIZES) {
            throw new IllegalArgumentException("a line needs at least two different sizes");
        }
        final double meanSize = mean(sizes);
        final double meanValue = mean(values);
        double covariance = 0;
        double sizeVariance = 0;
        double valueVariance = 0;
        for (int index = 0; index < sizes.size(); index++) {
            final double sizeOffset = sizes.get(index) - meanSize;
            final double valueOffset = values.get(index) - meanValue;
            covariance += sizeOffset * valueOffset;
            sizeVariance += sizeOffset * sizeOffset;
            valueVariance += valueOffset * valueOffset;
        }
        final double slope = covariance / sizeVariance;
        final double intercept = meanValue - slope * meanSize;
        final List<Double> residuals = residuals(sizes, values, intercept, slope);
        final double residualVariance =
                residuals.stream().mapToDouble(residual -> residual * residual).sum();
        return new LeastSquares(
                intercept, slope, residuals, valueVariance == 0 ? 1 : 1 - residualVariance / valueVariance);
    }

    /** The line's value at a size, which may lie outside the measured ones. */
    public double at(final double size) {
        return intercept + slope * size;
    }

    private static double mean(final List<Double> numbers) {
        return numbers.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
    }

    private static List<Double> residuals(
            final List<Double> sizes, final List<Double> values, final double intercept, final double slope) {
        final Double[] residuals = new Double[sizes.size()];
        for (int index = 0; index < residuals.length; index++) {
            residuals[index] = values.get(index) - (intercept + slope * sizes.get(index));
        }
        return List.of(residuals);
    }
}
