package railspar.scale.real;

import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import railspar.scale.standin.FleetPlan;

/** Options of the commands that give one real courier a list of endpoints. */
final class ListOptions {
    @Option(
            names = "--endpoints-per-destination",
            defaultValue = "1.7",
            description = "endpoints of a destination on average (default: ${DEFAULT-VALUE})")
    private double endpointsPerDestination;

    @Option(
            names = "--disk-mb",
            defaultValue = "7000",
            description = "size of the state folder, of which the stored list may use a part; the default is"
                    + " the size of the target's backlog (default: ${DEFAULT-VALUE})")
    private int diskMb;

    /** Rejects option values with which lists of these sizes could not be measured. */
    void check(final CommandSpec spec, final int... destinations) {
        CourierOptions.requireAtLeast(spec, "--disk-mb", diskMb, 1);
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

    /** A fleet plan of one courier and this many destinations. */
    FleetPlan plan(final int destinations, final long seed) {
        return new FleetPlan(1, destinations, endpointsPerDestination, 0, 1, 1, seed);
    }

    /** The default limits, but for this memory limit and the size of the state folder. */
    CourierLimits limits(final int memoryMb) {
        final CourierLimits defaults = CourierLimits.DEFAULT;
        return new CourierLimits(memoryMb, defaults.sockets(), diskMb, defaults.maxOpen());
    }
}
