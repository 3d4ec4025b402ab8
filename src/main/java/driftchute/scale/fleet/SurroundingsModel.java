package driftchute.scale.fleet;

/**
 * Figures assumed of what surrounds the couriers; none of them is measured here.
 *
 * @param startMs from the start of a process until it asks for its list
 * @param downMs from the kill of a process until the next one starts
 * @param agentDelayMs longest time from a change at discovery until the agent on a courier's machine has it
 * @param listMegabytesPerSecond rate at which a courier reads its list, in simulated time
 * @param capacityHeadroom what a warm destination bears, times its mean load
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
        double capacityHeadroom,
        double downSeconds,
        double coldFrom,
        double coldSeconds,
        double tipMultiple) {
    /** The figures used where nothing else is asked for. */
    public static final SurroundingsModel DEFAULT = new SurroundingsModel(700, 600, 500, 10, 2, 120, 0.18, 13, 2.5);
}
