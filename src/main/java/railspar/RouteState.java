package railspar;

import java.util.Locale;
import java.util.Map;

/**
 * What one courier has learned about a destination (about a route of it, where its routes are separate), and the
 * guards in force there. It decides nothing: {@link Control} reads and changes it, and a process that takes over
 * continues from it. Times are microseconds on the clock of the events.
 */
class RouteState {
    /** A time that does not come. */
    static final long NEVER = Long.MAX_VALUE;

    /**
     * Whether calls are made freely, as single probes, or in a warmup at the rate that a cold destination bears.
     */
    enum Phase {
        HEALTHY,
        PROBE,
        WARMUP
    }

    /** Most calls in flight. */
    double window;
    /** Numbers of steps and of service times that the averages contain. */
    int steps, latencySamples;
    /**
     * Moving averages: messages served a second, mean latency of a step and service time relative to the class's
     * usual one; and the factor on timeouts.
     */
    double servedRate, meanLatencyRatio = 1, slowdown = 1, timeoutFactor = 1;
    /** The known rate limit (0: none), and the sends allowed now, both a second. */
    double rateLimit, sendsPerSecond = Double.POSITIVE_INFINITY;
    /** The last step saw high latency or many refusals. */
    boolean degraded;
    /** The known limit came with an answer, and is exact where the list's may be approximate. */
    boolean exactLimit;

    Phase phase = Phase.HEALTHY;
    /** Weight of the consecutive bad outcomes, and the share of failures. */
    double failureRun, failureShare;
    /** Time between two calls of a warmup, before it is divided by the share that a cold destination bears. */
    double warmupIntervalUs;
    /** Since when nothing was served there; never, while it is healthy. */
    long failingSinceUs = NEVER;
    /** Until when a requested wait and a backoff last, when the next probe is due, and when the warmup began. */
    long retryAfterUntilUs, backoffUntilUs, nextProbeUs, warmupFromUs, lastSendUs;

    /** Writes figures and times by name, for the process that takes over. */
    void writeTo(final Map<String, Double> figures, final Map<String, Long> timesUs) {
        figures.put("window", window);
        figures.put("rate", servedRate);
        figures.put("steps", (double) steps);
        figures.put("slowRatio", meanLatencyRatio);
        figures.put("pace", slowdown);
        figures.put("paceSamples", (double) latencySamples);
        figures.put("stretch", timeoutFactor);
        figures.put("told", rateLimit);
        figures.put("spacing", sendsPerSecond);
        figures.put("reported", exactLimit ? 1.0 : 0);
        figures.put("phase", (double) phase.ordinal());
        figures.put("slow", degraded ? 1.0 : 0);
        figures.put("badRun", failureRun);
        figures.put("failShare", failureShare);
        figures.put("rampSpan", warmupIntervalUs);
        timesUs.put("wait", retryAfterUntilUs);
        timesUs.put("pause", backoffUntilUs);
        timesUs.put("sent", lastSendUs);
        timesUs.put("trial", nextProbeUs);
        timesUs.put("ramp", warmupFromUs);
        if (failingSinceUs != NEVER) {
            timesUs.put("trouble", failingSinceUs);
        }
    }

    /** Takes what {@link #writeTo} wrote; a figure that is missing stays, a time that is missing never was. */
    void readFrom(final Map<String, Double> figures, final Map<String, Long> timesUs) {
        window = figures.getOrDefault("window", window);
        servedRate = figures.getOrDefault("rate", servedRate);
        meanLatencyRatio = figures.getOrDefault("slowRatio", meanLatencyRatio);
        slowdown = figures.getOrDefault("pace", slowdown);
        timeoutFactor = figures.getOrDefault("stretch", timeoutFactor);
        rateLimit = figures.getOrDefault("told", rateLimit);
        sendsPerSecond = figures.getOrDefault("spacing", sendsPerSecond);
        failureRun = figures.getOrDefault("badRun", failureRun);
        failureShare = figures.getOrDefault("failShare", failureShare);
        steps = figures.getOrDefault("steps", 0.0).intValue();
        latencySamples = figures.getOrDefault("paceSamples", 0.0).intValue();
        exactLimit = figures.getOrDefault("reported", 0.0) > 0;
        phase = Phase.values()[figures.getOrDefault("phase", 0.0).intValue()];
        degraded = figures.getOrDefault("slow", 0.0) > 0;
        warmupIntervalUs = figures.getOrDefault("rampSpan", 0.0);
        retryAfterUntilUs = timesUs.getOrDefault("wait", 0L);
        backoffUntilUs = timesUs.getOrDefault("pause", 0L);
        nextProbeUs = timesUs.getOrDefault("trial", 0L);
        warmupFromUs = timesUs.getOrDefault("ramp", 0L);
        lastSendUs = timesUs.getOrDefault("sent", 0L);
        failingSinceUs = timesUs.getOrDefault("trouble", NEVER);
    }

    /** How it stands, for the log; {@code calls}: those in flight, of how many. */
    String describe(final String calls, final long nowUs) {
        final String figures = String.format(
                Locale.ROOT,
                " window %.1f rate %.1f spacing %.1f told %.1f pace %.2f",
                window,
                servedRate,
                sendsPerSecond,
                rateLimit,
                slowdown);
        final long trialMs = phase == Phase.PROBE ? aheadMs(nextProbeUs, nowUs) : 0;
        return phase + (degraded ? " slow" : "") + " out " + calls + figures + " wait "
                + aheadMs(retryAfterUntilUs, nowUs) + " pause " + aheadMs(backoffUntilUs, nowUs) + " trial " + trialMs
                + " ms";
    }

    private static long aheadMs(final long atUs, final long nowUs) {
        return Math.max(0, atUs - nowUs) / 1000;
    }
}
