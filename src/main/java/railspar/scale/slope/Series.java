package railspar.scale.slope;

import java.util.List;

/**
 * One figure that is measured at several sizes.
 *
 * @param name its name in the results
 * @param sizeUnit what the size counts
 * @param valueUnit the unit of the figure
 * @param sizes the sizes that are measured by default
 * @param targetSize the size to which the fitted line is extrapolated
 * @param measurement measures the figure once at a given size
 */
public record Series(
        String name, String sizeUnit, String valueUnit, List<Integer> sizes, int targetSize, Measurement measurement) {

    /** Measures a figure once at a size. */
    @FunctionalInterface
    public interface Measurement {
        /** Builds everything that the measurement needs, measures, and releases it. */
        double at(int size);
    }
}
