package railspar.scale.real;

import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import railspar.scale.standin.FleetPlan;

/** Options of the commands that put one real courier before a list of endpoints. */
final class ListOptions {
    @Option(
            names = "--endpoints-per-destination",
            defaultValue = "1.7",
            description = "endpoints of a destination on average (default: ${DEFAULT-VALUE})")
    private double endpointsPerDestination;

    @Option(
            names = "--disk-mb",
            defaultValue = "7000",
            description = "size of the folder that lasts, of which the copy of the list may take a part; the default is"
                    + " what the target's backlog takes (default: ${DEFAULT-VALUE})")
    private int diskMb;

    /** Refuses values under which nothing could be run, for lists of these sizes. */
    void check(final CommandSpec spec, final int... destinations) {
        CourierOptions.atLeast(spec, "--disk-mb", diskMb, 1);
        for (final int size : destinations) {
            try {
                plan(size, 0);
            } catch (final IllegalArgumentException e) {
                throw new ParameterException(spec.commandLine(), e.getMessage(), e);
            }
        }
    }

    double endpointsPerDestination() {
        return endpointsPerDestination;
    }

    /** A plan with a list of this size. */
    FleetPlan plan(final int destinations, final long seed) {
        return new FleetPlan(1, destinations, endpointsPerDestination, 0, 1, 1, seed);
    }

    /** The usual limits, with this memory and the folder's size. */
    CourierLimits limits(final int memoryMb) {
        final CourierLimits usual = CourierLimits.DEFAULT;
        return new CourierLimits(memoryMb, usual.sockets(), diskMb, usual.maxOpen());
    }
}
