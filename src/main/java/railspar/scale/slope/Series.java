package railspar.scale.slope;

import java.util.List;

/**
 * One figure that is measured at several sizes.
 *
 * @param name how the command line and the results call it
 * @param sizeUnit what the size counts
 * @param valueUnit the unit of the figure
 * @param sizes the sizes measured unless the caller names others
 * @param targetSize the size to which the fitted line is carried
 * @param measurement takes the figure once
 */
public record Series(
        String name, String sizeUnit, String valueUnit, List<Integer> sizes, int targetSize, Measurement measurement) {

    /** Takes a figure once at a size. */
    @FunctionalInterface
    public interface Measurement {
        /** Builds all it needs, measures, and lets go of it. */
        double at(int size);
    }
}
