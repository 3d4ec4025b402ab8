package railspar.scale.fleet;

import java.util.BitSet;
import java.util.Random;
import org.HdrHistogram.Histogram;
import railspar.Courier;

/**
 * All destinations: each bears so many calls a second, is down for a while now and then, and comes back cold. What it
 * bears does not depend on who calls.
 */
final class Destinations {
    /** An answer: what it says and how long it takes. */
    record Answer(Courier.Result result, long delayUs) {}

    /** Least time until an answer; couriers are stepped in slices no longer than this. */
    static final long LEAST_ANSWER_US = 10 * Units.US_PER_MS;

    private static final long MEAN_SERVICE_US = 80 * Units.US_PER_MS;
    private static final long MOST_SERVICE_US = Units.us(4);
    /** Calls that a destination takes at once, as a time at its rate; at least one call. */
    private static final double BURST_SECONDS = 1;
    /** A cold destination is judged by the calls in spans of this length. */
    private static final long COLD_SPAN_US = Units.us(2);
    /** Calls in a span that chance may add to the share that tips it, in roots of that number. */
    private static final double CHANCE_ROOTS = 2;

    private static final double CHANCE_CALLS = 2;
    private static final int PERCENT = 100;
    private static final long MOST_PERCENT = 1_000_000;

    private final FleetParameters parameters;
    private final EventQueue events;
    private final Random random;
    private final double capacity;
    private final BitSet down;
    private final double[] room;
    private final long[] roomAtUs;
    /** Since when each is up again; 0 if it never was down. */
    private final long[] upSinceUs;
    /** The span of a cold destination that is being counted, and its calls. */
    private final int[] coldSpan;

    private final int[] coldCalls;

    /** Calls of cold spans as a percentage of the share that tips. */
    private final Histogram coldLoad = new Histogram(MOST_PERCENT, 2);

    private long lastCallUs;
    private long calls, delivered, refused, callsWhileDown, callsCutOff, coldSpans, coldSpansOverTip;
    /** Calls to cold destinations, by whether their message had been tried before. */
    private long coldFirstAttempts, coldLaterAttempts;

    Destinations(final FleetParameters parameters, final EventQueue events) {
        this.parameters = parameters;
        this.events = events;
        this.random = new Random(Seeds.of(parameters.plan().seed(), Seeds.DESTINATIONS, 0));
        this.capacity = parameters.model().callsPerSecond();
        final int count = parameters.plan().destinations();
        this.down = parameters.plan().downDestinations();
        this.room = new double[count];
        this.roomAtUs = new long[count];
        this.upSinceUs = new long[count];
        this.coldSpan = new int[count];
        this.coldCalls = new int[count];
        for (int destination = 0; destination < count; destination++) {
            room[destination] = burst(1);
            scheduleTurn(destination);
        }
    }

    /** What the list tells of a destination's limit, in calls a second. */
    double listedLimit() {
        return capacity;
    }

    private void scheduleTurn(final int destination) {
        final double share = parameters.plan().downShare();
        if (share <= 0 || share >= 1) {
            return;
        }
        final double downSeconds = parameters.model().downSeconds();
        final double mean = down.get(destination) ? downSeconds : downSeconds * (1 - share) / share;
        events.after(Units.us(exponential(mean)), () -> turn(destination));
    }

    private double exponential(final double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private void turn(final int destination) {
        closeColdSpan(destination);
        down.flip(destination);
        if (!down.get(destination)) {
            upSinceUs[destination] = events.nowUs();
            room[destination] = 0;
            roomAtUs[destination] = events.nowUs();
            coldSpan[destination] = 0;
            coldCalls[destination] = 0;
        }
        scheduleTurn(destination);
    }

    /** Answers a call; calls are given in the order of their times. */
    Answer answer(final AttemptCall call) {
        if (call.atUs() < lastCallUs) {
            throw new IllegalStateException("a call of " + call.atUs() + " us after one of " + lastCallUs + " us");
        }
        lastCallUs = call.atUs();
        final int destination = (int) call.destination();
        calls++;
        if (down.get(destination)) {
            callsWhileDown++;
            return whileDown(destination, call);
        }
        countCold(destination, call);
        final double warmth = warmth(destination, call.atUs());
        refill(destination, call.atUs(), warmth);
        if (room[destination] < 1) {
            refused++;
            return new Answer(Courier.Result.REFUSED, LEAST_ANSWER_US);
        }
        room[destination]--;
        delivered++;
        final long serviceUs = (long) exponential(MEAN_SERVICE_US);
        return new Answer(Courier.Result.DELIVERED, LEAST_ANSWER_US + Math.min(MOST_SERVICE_US, serviceUs));
    }

    /** A call over a cut network: its connection never comes up, until the courier stops waiting. */
    Answer unreachable(final AttemptCall call) {
        calls++;
        callsCutOff++;
        return new Answer(Courier.Result.NO_CONNECTION, Math.max(LEAST_ANSWER_US, call.timeoutUs() - 1));
    }

    /** One half of those that are down refuse connections, the others take a call and never answer. */
    private static Answer whileDown(final int destination, final AttemptCall call) {
        return destination % 2 == 0
                ? new Answer(Courier.Result.NO_CONNECTION, LEAST_ANSWER_US)
                : new Answer(Courier.Result.TIMED_OUT, Math.max(LEAST_ANSWER_US, call.timeoutUs()));
    }

    private double burst(final double warmth) {
        return Math.max(1, BURST_SECONDS * capacity * warmth);
    }

    private void refill(final int destination, final long atUs, final double warmth) {
        final double seconds = (double) (atUs - roomAtUs[destination]) / Units.US_PER_SECOND;
        room[destination] = Math.min(burst(warmth), room[destination] + capacity * warmth * seconds);
        roomAtUs[destination] = atUs;
    }

    private double warmth(final int destination, final long atUs) {
        final SurroundingsModel model = parameters.model();
        if (upSinceUs[destination] == 0) {
            return 1;
        }
        final double warm = (atUs - upSinceUs[destination]) / (model.coldSeconds() * Units.US_PER_SECOND);
        return Math.min(1, model.coldFrom() + (1 - model.coldFrom()) * warm);
    }

    // ---------------------------------------------------------------- what cold ones are sent

    private void countCold(final int destination, final AttemptCall call) {
        if (upSinceUs[destination] == 0) {
            return;
        }
        if (warmth(destination, call.atUs()) < 1) {
            coldFirstAttempts += call.attempt() == 1 ? 1 : 0;
            coldLaterAttempts += call.attempt() == 1 ? 0 : 1;
        }
        final int span = (int) ((call.atUs() - upSinceUs[destination]) / COLD_SPAN_US);
        if (span != coldSpan[destination]) {
            closeColdSpan(destination);
            coldSpan[destination] = span;
        }
        coldCalls[destination]++;
    }

    /** Judges the span that was counted; one that began when the destination was warm does not count. */
    private void closeColdSpan(final int destination) {
        final long fromUs = upSinceUs[destination] + coldSpan[destination] * COLD_SPAN_US;
        final double warmth = warmth(destination, fromUs);
        if (upSinceUs[destination] != 0 && coldCalls[destination] > 0 && warmth < 1) {
            final double spanSeconds = (double) COLD_SPAN_US / Units.US_PER_SECOND;
            final double bears = parameters.model().tipMultiple() * capacity * warmth * spanSeconds;
            final int made = coldCalls[destination];
            coldSpans++;
            coldLoad.recordValue(Math.min(MOST_PERCENT, Math.round(PERCENT * made / bears)));
            if (made > bears + CHANCE_ROOTS * Math.sqrt(bears) + CHANCE_CALLS) {
                coldSpansOverTip++;
            }
        }
        coldCalls[destination] = 0;
    }

    /** Judges what is still being counted. */
    void close() {
        for (int destination = 0; destination < coldCalls.length; destination++) {
            closeColdSpan(destination);
        }
    }

    long calls() {
        return calls;
    }

    long delivered() {
        return delivered;
    }

    long refused() {
        return refused;
    }

    long callsWhileDown() {
        return callsWhileDown;
    }

    long callsCutOff() {
        return callsCutOff;
    }

    long coldSpans() {
        return coldSpans;
    }

    long coldFirstAttempts() {
        return coldFirstAttempts;
    }

    long coldLaterAttempts() {
        return coldLaterAttempts;
    }

    long coldSpansOverTip() {
        return coldSpansOverTip;
    }

    Histogram coldLoad() {
        return coldLoad;
    }
}
