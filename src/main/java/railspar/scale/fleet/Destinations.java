package railspar.scale.fleet;

import java.util.BitSet;
import java.util.Random;
import org.HdrHistogram.Histogram;
import railspar.Courier;

/**
 * The model of all destinations. Each accepts a limited number of calls per second, over all couriers, and goes down
 * from time to time. After it comes back it is cold: it starts with a share of its capacity and warms up to all of it.
 */
final class Destinations {
    /** The result of a call and the time until the courier gets it. */
    record Answer(Courier.Result result, long delayUs) {}

    /** Minimum time until an answer; couriers are stepped in time slices no longer than this. */
    static final long MIN_ANSWER_US = 10 * Units.US_PER_MS;

    private static final long MEAN_SERVICE_US = 80 * Units.US_PER_MS;
    private static final long MAX_SERVICE_US = Units.fromSeconds(4);
    /** Size of the token bucket of a destination, as a time at its rate; it always has room for one call. */
    private static final double BURST_SECONDS = 1;
    /** Overload of a cold destination is determined from the calls in intervals of this length. */
    private static final long COLD_INTERVAL_US = Units.fromSeconds(2);
    /**
     * Tolerance for random variation of the calls in an interval above the overload limit, in square roots of that
     * limit.
     */
    private static final double TOLERANCE_STANDARD_DEVIATIONS = 2;

    /** Calls that are tolerated in addition. */
    private static final double TOLERANCE_CALLS = 2;

    private static final int PERCENT = 100;
    private static final long MAX_LOAD_PERCENT = 1_000_000;

    private final FleetParameters parameters;
    private final EventQueue events;
    private final Random random;
    private final double callsPerSecond;
    private final BitSet down;
    private final double[] tokens;
    private final long[] refilledAtUs;
    /** When each destination last came up; 0 if it never was down. */
    private final long[] upSinceUs;
    /** The current interval of each destination, by number since it came up. */
    private final int[] currentColdInterval;

    /** Calls in the current interval of each destination. */
    private final int[] callsInColdInterval;

    /** Calls per cold interval, as a percentage of the overload limit. */
    private final Histogram coldLoadPercent = new Histogram(MAX_LOAD_PERCENT, 2);

    private long lastCallUs;
    private long calls, delivered, rejected, callsWhileDown, callsCutOff, coldIntervals, overloadedColdIntervals;
    /** Calls to cold destinations, separately for first and later attempts of a message. */
    private long coldFirstAttempts, coldLaterAttempts;

    Destinations(final FleetParameters parameters, final EventQueue events) {
        this.parameters = parameters;
        this.events = events;
        this.random = new Random(Seeds.of(parameters.plan().seed(), Seeds.DESTINATIONS, 0));
        this.callsPerSecond = parameters.model().callsPerSecond();
        final int count = parameters.plan().destinations();
        this.down = parameters.plan().downDestinations();
        this.tokens = new double[count];
        this.refilledAtUs = new long[count];
        this.upSinceUs = new long[count];
        this.currentColdInterval = new int[count];
        this.callsInColdInterval = new int[count];
        for (int destination = 0; destination < count; destination++) {
            tokens[destination] = burst(1);
            scheduleToggle(destination);
        }
    }

    /** The limit of a destination that the list advertises, in calls per second. */
    double advertisedCallsPerSecond() {
        return callsPerSecond;
    }

    private void scheduleToggle(final int destination) {
        final double share = parameters.plan().downShare();
        if (share <= 0 || share >= 1) {
            return;
        }
        final double downSeconds = parameters.model().downSeconds();
        final double mean = down.get(destination) ? downSeconds : downSeconds * (1 - share) / share;
        events.after(Units.fromSeconds(exponential(mean)), () -> toggle(destination));
    }

    private double exponential(final double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private void toggle(final int destination) {
        finishColdInterval(destination);
        down.flip(destination);
        if (!down.get(destination)) {
            upSinceUs[destination] = events.nowUs();
            tokens[destination] = 0;
            refilledAtUs[destination] = events.nowUs();
            currentColdInterval[destination] = 0;
            callsInColdInterval[destination] = 0;
        }
        scheduleToggle(destination);
    }

    /** Answers a call; calls must be passed in the order of their times. */
    Answer answer(final AttemptCall call) {
        if (call.sentUs() < lastCallUs) {
            throw new IllegalStateException("calls must be in the order of their times, but one sent at "
                    + call.sentUs() + " us follows one sent at " + lastCallUs + " us");
        }
        lastCallUs = call.sentUs();
        final int destination = (int) call.destination();
        calls++;
        if (down.get(destination)) {
            callsWhileDown++;
            return answerWhileDown(destination, call);
        }
        countColdCall(destination, call);
        final double capacityShare = capacityShare(destination, call.sentUs());
        refill(destination, call.sentUs(), capacityShare);
        if (tokens[destination] < 1) {
            rejected++;
            return new Answer(Courier.Result.REFUSED, MIN_ANSWER_US);
        }
        tokens[destination]--;
        delivered++;
        final long serviceUs = (long) exponential(MEAN_SERVICE_US);
        return new Answer(Courier.Result.DELIVERED, MIN_ANSWER_US + Math.min(MAX_SERVICE_US, serviceUs));
    }

    /** Answers a call across a network partition: no connection is established before the timeout of the courier. */
    Answer unreachable(final AttemptCall call) {
        calls++;
        callsCutOff++;
        return new Answer(Courier.Result.NO_CONNECTION, Math.max(MIN_ANSWER_US, call.timeoutUs() - 1));
    }

    /** Half of the destinations that are down refuse connections; the others accept a call and never answer. */
    private static Answer answerWhileDown(final int destination, final AttemptCall call) {
        return destination % 2 == 0
                ? new Answer(Courier.Result.NO_CONNECTION, MIN_ANSWER_US)
                : new Answer(Courier.Result.TIMED_OUT, Math.max(MIN_ANSWER_US, call.timeoutUs()));
    }

    private double burst(final double capacityShare) {
        return Math.max(1, BURST_SECONDS * callsPerSecond * capacityShare);
    }

    private void refill(final int destination, final long atUs, final double capacityShare) {
        final double seconds = (double) (atUs - refilledAtUs[destination]) / Units.US_PER_SECOND;
        tokens[destination] =
                Math.min(burst(capacityShare), tokens[destination] + callsPerSecond * capacityShare * seconds);
        refilledAtUs[destination] = atUs;
    }

    private double capacityShare(final int destination, final long atUs) {
        final SurroundingsModel model = parameters.model();
        if (upSinceUs[destination] == 0) {
            return 1;
        }
        final double elapsedShare = (atUs - upSinceUs[destination]) / (model.coldSeconds() * Units.US_PER_SECOND);
        return Math.min(1, model.coldFrom() + (1 - model.coldFrom()) * elapsedShare);
    }

    // ---------------------------------------------------------------- calls to cold destinations

    private void countColdCall(final int destination, final AttemptCall call) {
        if (upSinceUs[destination] == 0) {
            return;
        }
        if (capacityShare(destination, call.sentUs()) < 1) {
            coldFirstAttempts += call.attempt() == 1 ? 1 : 0;
            coldLaterAttempts += call.attempt() == 1 ? 0 : 1;
        }
        final int interval = (int) ((call.sentUs() - upSinceUs[destination]) / COLD_INTERVAL_US);
        if (interval != currentColdInterval[destination]) {
            finishColdInterval(destination);
            currentColdInterval[destination] = interval;
        }
        callsInColdInterval[destination]++;
    }

    /** Evaluates the current interval, unless the destination was warm when it began, and resets its calls. */
    private void finishColdInterval(final int destination) {
        final long intervalStartUs = upSinceUs[destination] + currentColdInterval[destination] * COLD_INTERVAL_US;
        final double capacityShare = capacityShare(destination, intervalStartUs);
        if (upSinceUs[destination] != 0 && callsInColdInterval[destination] > 0 && capacityShare < 1) {
            final double intervalSeconds = (double) COLD_INTERVAL_US / Units.US_PER_SECOND;
            final double overloadLimit =
                    parameters.model().tipMultiple() * callsPerSecond * capacityShare * intervalSeconds;
            final int intervalCalls = callsInColdInterval[destination];
            coldIntervals++;
            coldLoadPercent.recordValue(
                    Math.min(MAX_LOAD_PERCENT, Math.round(PERCENT * intervalCalls / overloadLimit)));
            if (intervalCalls
                    > overloadLimit + TOLERANCE_STANDARD_DEVIATIONS * Math.sqrt(overloadLimit) + TOLERANCE_CALLS) {
                overloadedColdIntervals++;
            }
        }
        callsInColdInterval[destination] = 0;
    }

    /** Evaluates the intervals that are still open. */
    void finish() {
        for (int destination = 0; destination < callsInColdInterval.length; destination++) {
            finishColdInterval(destination);
        }
    }

    long calls() {
        return calls;
    }

    long delivered() {
        return delivered;
    }

    long rejected() {
        return rejected;
    }

    long callsWhileDown() {
        return callsWhileDown;
    }

    long callsCutOff() {
        return callsCutOff;
    }

    long coldIntervals() {
        return coldIntervals;
    }

    long coldFirstAttempts() {
        return coldFirstAttempts;
    }

    long coldLaterAttempts() {
        return coldLaterAttempts;
    }

    long overloadedColdIntervals() {
        return overloadedColdIntervals;
    }

    Histogram coldLoadPercent() {
        return coldLoadPercent;
    }
}
