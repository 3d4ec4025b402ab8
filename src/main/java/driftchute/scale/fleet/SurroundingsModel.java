package driftchute.scale.fleet;

/**
 * Figures assumed of what surrounds the couriers; none of them is measured here.
 *
 * @param startMs from the start of a process until it asks for its list
 * @param downMs from the kill of a process until the next one starts
 * @param agentDelayMs longest time from a change at discovery until the agent on a courier's machine has it
 * @param listMegabytesPerSecond rate at which a courier reads its list, in simulated time
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
        double callsPerSecond,
        double downSeconds,
        double coldFrom,
        double coldSeconds,
        double tipMultiple) {
    /** The figures used where nothing else is asked for; a destination bears twice its mean load in the target. */
    public static final SurroundingsModel DEFAULT = new SurroundingsModel(700, 600, 500, 10, 4, 120, 0.18, 13, 2.5);

    /** The same with another limit of a destination. */
    public SurroundingsModel withCallsPerSecond(final double changed) {
        return new SurroundingsModel(
                startMs,
                downMs,
                agentDelayMs,
                listMegabytesPerSecond,
                changed,
                downSeconds,
                coldFrom,
                coldSeconds,
                tipMultiple);
    }
}
