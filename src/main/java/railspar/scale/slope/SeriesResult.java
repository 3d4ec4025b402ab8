package railspar.scale.slope;

import java.util.ArrayList;
import java.util.List;

/**
 * The result of a series: the figures of all rounds for each size, their median, and the line fitted to the medians.
 *
 * @param name the name of the series
 * @param sizeUnit what the sizes count
 * @param valueUnit the unit of the figures
 * @param points the figures by size
 * @param fit the line fitted to the medians
 * @param targetSize the size to which the line is extrapolated
 * @param atTarget the line's value at that size
 * @param extrapolation the target size divided by the largest measured size
 * @param growthExponent the exponent with which the median grows with size between the two largest sizes: 1 for
 *     linear growth, 2 for quadratic growth; NaN if either median is not above 0
 */
public record SeriesResult(
        String name,
        String sizeUnit,
        String valueUnit,
        List<Point> points,
        LeastSquares fit,
        int targetSize,
        double atTarget,
        double extrapolation,
        double growthExponent) {

    /** One size: the figures of all rounds in the order measured, with their median, minimum and maximum. */
    public record Point(int size, List<Double> rounds, double median, double least, double most) {
        private static Point of(final int size, final List<Double> rounds) {
            final List<Double> sorted = rounds.stream().sorted().toList();
            final int middle = sorted.size() / 2;
            final double median =
                    sorted.size() % 2 == 1 ? sorted.get(middle) : (sorted.get(middle - 1) + sorted.get(middle)) / 2;
            return new Point(size, List.copyOf(rounds), median, sorted.get(0), sorted.get(sorted.size() - 1));
        }
    }

    /** Measures a series. Each round measures every size once, so that a disturbance does not affect one size only. */
    static SeriesResult measure(final Series series, final List<Integer> sizes, final int rounds) {
        final List<List<Double>> figures = new ArrayList<>();
        sizes.forEach(size -> figures.add(new ArrayList<>()));
        for (int round = 0; round < rounds; round++) {
            for (int index = 0; index < sizes.size(); index++) {
                figures.get(index).add(series.measurement().at(sizes.get(index)));
            }
        }
        final List<Point> points = new ArrayList<>();
        for (int index = 0; index < sizes.size(); index++) {
            points.add(Point.of(sizes.get(index), figures.get(index)));
        }
        final LeastSquares fit = LeastSquares.fit(
                sizes.stream().map(Integer::doubleValue).toList(),
                points.stream().map(Point::median).toList());
        final int largest = sizes.stream().mapToInt(Integer::intValue).max().orElseThrow();
        return new SeriesResult(
                series.name(),
                series.sizeUnit(),
                series.valueUnit(),
                points,
                fit,
                series.targetSize(),
                fit.at(series.targetSize()),
                (double) series.targetSize() / largest,
                growthExponent(points.get(points.size() - 2), points.get(points.size() - 1)));
    }

    private static double growthExponent(final Point smaller, final Point larger) {
        return smaller.median() <= 0 || larger.median() <= 0
                ? Double.NaN
                : Math.log(larger.median() / smaller.median()) / Math.log((double) larger.size() / smaller.size());
    }

    /** The result as a text table. */
    String table() {
        final StringBuilder text = new StringBuilder();
        text.append(String.format("%s: %s, against %s%n", name, valueUnit, sizeUnit));
        text.append(String.format("%10s %16s %16s %16s %16s%n", "size", "median", "least", "most", "residual"));
        for (int index = 0; index < points.size(); index++) {
            final Point point = points.get(index);
            text.append(String.format(
                    "%10d %16.1f %16.1f %16.1f %16.1f%n",
                    point.size(),
                    point.median(),
                    point.least(),
                    point.most(),
                    fit.residuals().get(index)));
        }
        text.append(String.format(
                "fit: %.1f + %.4f per unit of size, R2 %.4f; at %d: %.1f (%.1f times the largest size)%n",
                fit.intercept(), fit.slope(), fit.determination(), targetSize, atTarget, extrapolation));
        text.append(String.format("growth between the two largest sizes: size to the power of %.2f%n", growthExponent));
        return text.toString();
    }
}
