package railspar.scale.fleet;

/**
 * The assumed properties of the couriers' surroundings; the simulation does not measure them.
 *
 * @param startMs time from the start of a process until it requests its list
 * @param downMs time from the kill of a process until the next one starts
 * @param agentDelayMs maximum delay from a change at discovery until the agent on a courier's machine has it
 * @param listMegabytesPerSecond rate at which a courier reads its list, in simulated time
 * @param control the control machines
 * @param callsPerSecond calls per second that a warm destination can handle
 * @param downSeconds mean time for which a destination is down
 * @param coldFrom share of its capacity that a destination has when it comes back up
 * @param coldSeconds time until it has its full capacity again
 * @param tipMultiple calls that overload a cold destination and bring it down again, as a multiple of its current
 *     capacity; the simulation only counts such overloads
 */
public record SurroundingsModel(
        int startMs,
        int downMs,
        int agentDelayMs,
        double listMegabytesPerSecond,
        Control control,
        double callsPerSecond,
        double downSeconds,
        double coldFrom,
        double coldSeconds,
        double tipMultiple) {
    /**
     * The control machines, which are dedicated to discovery.
     *
     * @param machines number of machines; each serves a part of the couriers
     * @param megabytesPerSecond bandwidth of each machine, which its transfers share
     */
    public record Control(int machines, double megabytesPerSecond) {
        /** Three machines, each with a bandwidth of 1 Gbit/s. */
        public static final Control DEFAULT = new Control(3, 125);

        /** Rejects a configuration without bandwidth. */
        public Control {
            if (machines < 1 || !(megabytesPerSecond > 0)) {
                throw new IllegalArgumentException(
                        "at least one control machine with a bandwidth above 0 is needed, not " + machines + " with "
                                + megabytesPerSecond + " MB/s");
            }
        }
    }

    /** The default properties; a destination can handle twice its mean load at the specified size of the fleet. */
    public static final SurroundingsModel DEFAULT =
            new SurroundingsModel(700, 600, 500, 10, Control.DEFAULT, 4, 120, 0.18, 13, 2.5);

    /** A copy with another destination limit and other control machines. */
    public SurroundingsModel with(final double changedCallsPerSecond, final Control changedControl) {
        return new SurroundingsModel(
                startMs,
                downMs,
                agentDelayMs,
                listMegabytesPerSecond,
                changedControl,
                changedCallsPerSecond,
                downSeconds,
                coldFrom,
                coldSeconds,
                tipMultiple);
    }
}
