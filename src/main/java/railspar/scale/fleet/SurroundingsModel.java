package railspar.scale.fleet;

/**
 * Figures assumed of what surrounds the couriers; none of them is measured here.
 *
 * @param startMs from the start of a process until it asks for its list
 * @param downMs from the kill of a process until the next one starts
 * @param agentDelayMs longest time from a change at discovery until the agent on a courier's machine has it
 * @param listMegabytesPerSecond rate at which a courier reads its list, in simulated time
 * @param control the control machines
 * @param callsPerSecond calls a second that a warm destination bears
 * @param downSeconds mean time for which a destination is down
 * @param coldFrom share of its capacity that a destination bears when it comes back
 * @param coldSeconds time until it bears all of it
 * @param tipMultiple calls that bring it down again, times what it bears
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
     * The machines that are set aside for control.
     *
     * @param machines how many there are; each serves its part of the couriers
     * @param megabytesPerSecond rate of each one's line, which all that it sends shares
     */
    public record Control(int machines, double megabytesPerSecond) {
        /** Three machines, each with a line of 1 Gbit/s. */
        public static final Control DEFAULT = new Control(3, 125);

        /** Refuses machines that could send nothing. */
        public Control {
            if (machines < 1 || !(megabytesPerSecond > 0)) {
                throw new IllegalArgumentException("there is at least one control machine with a line, not " + machines
                        + " with " + megabytesPerSecond + " MB/s");
            }
        }
    }

    /** The figures used where nothing else is asked for; a destination bears twice its mean load in the target. */
    public static final SurroundingsModel DEFAULT =
            new SurroundingsModel(700, 600, 500, 10, Control.DEFAULT, 4, 120, 0.18, 13, 2.5);

    /** The same with another limit of a destination, and other control machines. */
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
