package railspar;

import java.util.Locale;
import java.util.Map;

/**
 * What one courier has learned of a destination (of a route, where routes are apart) and what guards stand there. It
 * decides nothing: {@link Control} reads and moves it, and a process that takes over goes on from it. Times are
 * microseconds on the clock of the events.
 */
class LaneState {
    /** A time that does not come. */
    static final long NEVER = Long.MAX_VALUE;

    /** Whether calls are made freely, as single trials, or at the pace that a cold destination bears. */
    enum Phase {
        WELL,
        OUT,
        RAMP
    }

    /** Most calls in flight. */
    double window;
    /** Steps seen, and service times seen. */
    int steps, paceSamples;
    /**
     * Slow averages: messages served a second, step means, service time against other lanes; and the time-outs'
     * stretch.
     */
    double rate, slowRatio = 1, pace = 1, stretch = 1;
    /** The limit told (0: none), and the sends allowed now, both a second. */
    double told, spacing = Double.POSITIVE_INFINITY;
    /** The last step read High latency or refusals. */
    boolean slow;
    /** The limit told came with an answer, and is exact where the list's may be rough. */
    boolean reported;

    Phase phase = Phase.WELL;
    /** Weight of the bad outcomes in a row, and the share of failures. */
    double badRun, failShare;
    /** Time between two calls on a ramp, before the share that a cold destination bears. */
    double rampSpanUs;
    /** Since when nothing was served there; never, while all is well. */
    long troubleFromUs = NEVER;
    /** Until when a told wait and a pause hold, when the next trial is due, and since when a ramp goes. */
    long waitUntilUs, pauseUntilUs, nextTrialUs, rampFromUs, lastSendUs;

    /** Writes figures and times by name, for the process that takes over. */
    void writeTo(final Map<String, Double> figures, final Map<String, Long> timesUs) {
        figures.put("window", window);
        figures.put("rate", rate);
        figures.put("steps", (double) steps);
        figures.put("slowRatio", slowRatio);
        figures.put("pace", pace);
        figures.put("paceSamples", (double) paceSamples);
        figures.put("stretch", stretch);
        figures.put("told", told);
        figures.put("spacing", spacing);
        figures.put("reported", reported ? 1.0 : 0);
        figures.put("phase", (double) phase.ordinal());
        figures.put("slow", slow ? 1.0 : 0);
        figures.put("badRun", badRun);
        figures.put("failShare", failShare);
        figures.put("rampSpan", rampSpanUs);
        timesUs.put("wait", waitUntilUs);
        timesUs.put("pause", pauseUntilUs);
        timesUs.put("sent", lastSendUs);
        timesUs.put("trial", nextTrialUs);
        timesUs.put("ramp", rampFromUs);
        if (troubleFromUs != NEVER) {
            timesUs.put("trouble", troubleFromUs);
        }
    }

    /** Takes what {@link #writeTo} wrote; a figure that is missing stays, a time that is missing never was. */
    void readFrom(final Map<String, Double> figures, final Map<String, Long> timesUs) {
        window = figures.getOrDefault("window", window);
        rate = figures.getOrDefault("rate", rate);
        slowRatio = figures.getOrDefault("slowRatio", slowRatio);
        pace = figures.getOrDefault("pace", pace);
        stretch = figures.getOrDefault("stretch", stretch);
        told = figures.getOrDefault("told", told);
        spacing = figures.getOrDefault("spacing", spacing);
        badRun = figures.getOrDefault("badRun", badRun);
        failShare = figures.getOrDefault("failShare", failShare);
        steps = figures.getOrDefault("steps", 0.0).intValue();
        paceSamples = figures.getOrDefault("paceSamples", 0.0).intValue();
        reported = figures.getOrDefault("reported", 0.0) > 0;
        phase = Phase.values()[figures.getOrDefault("phase", 0.0).intValue()];
        slow = figures.getOrDefault("slow", 0.0) > 0;
        rampSpanUs = figures.getOrDefault("rampSpan", 0.0);
        waitUntilUs = timesUs.getOrDefault("wait", 0L);
        pauseUntilUs = timesUs.getOrDefault("pause", 0L);
        nextTrialUs = timesUs.getOrDefault("trial", 0L);
        rampFromUs = timesUs.getOrDefault("ramp", 0L);
        lastSendUs = timesUs.getOrDefault("sent", 0L);
        troubleFromUs = timesUs.getOrDefault("trouble", NEVER);
    }

    /** How it stands, for the log; {@code calls}: those in flight, of how many. */
    String describe(final String calls, final long nowUs) {
        final String figures = String.format(
                Locale.ROOT,
                " window %.1f rate %.1f spacing %.1f told %.1f pace %.2f",
                window,
                rate,
                spacing,
                told,
                pace);
        final long trialMs = phase == Phase.OUT ? aheadMs(nextTrialUs, nowUs) : 0;
        return phase + (slow ? " slow" : "") + " out " + calls + figures + " wait " + aheadMs(waitUntilUs, nowUs)
                + " pause " + aheadMs(pauseUntilUs, nowUs) + " trial " + trialMs + " ms";
    }

    private static long aheadMs(final long atUs, final long nowUs) {
        return Math.max(0, atUs - nowUs) / 1000;
    }
}
