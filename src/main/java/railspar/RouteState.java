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

    /** Whether calls are made freely, as single probes, or at the rate that a cold destination bears. */
    enum Phase {
        HEALTHY,
        PROBE,
        WARMUP
    }

    /** Maximum number of calls in flight. */
    double window;
    /** Numbers of steps and of service times in the averages. */
    int steps, latencySamples;
    /**
     * Moving averages: messages served per second; the mean latency of a step and the service time, both relative to
     * the class's usual service time. And the factor on timeouts.
     */
    double servedRate, meanLatencyRatio = 1, slowdown = 1, timeoutFactor = 1;
    /** The known rate limit (0: none) and the sends allowed now, both per second. */
    double rateLimit, sendsPerSecond = Double.POSITIVE_INFINITY;
    /** True if the last step saw high latency or many refusals. */
    boolean degraded;
    /** True if {@code rateLimit} came with an answer, so that it is exact; the list's may be approximate. */
    boolean exactRate;

    Phase phase = Phase.HEALTHY;
    /** Weight of the failures since the last success, and the moving share of failures. */
    double failureRun, failureShare;
    /** Interval of calls in WARMUP, before it is divided by the share that overloads a cold destination. */
    double warmupIntervalUs;
    /** Since when calls have failed without a success; NEVER while there is no failure. */
    long failingSinceUs = NEVER;
    /** Ends of the requested wait and of the backoff, the next probe's time, the warmup's start, the last send. */
    long retryAfterUntilUs, backoffUntilUs, nextProbeUs, warmupFromUs, lastSendUs;

    /** Writes the state by name, for the snapshot that a successor process reads. */
    void writeTo(final Map<String, Double> figures, final Map<String, Long> timesUs) {
        figures.put("window", window);
        figures.put("rate", servedRate);
        putUnlessZero(figures, "steps", (double) steps);
        figures.put("slowRatio", meanLatencyRatio);
        figures.put("pace", slowdown);
        putUnlessZero(figures, "paceSamples", (double) latencySamples);
        figures.put("stretch", timeoutFactor);
        figures.put("told", rateLimit);
        figures.put("spacing", sendsPerSecond);
        putUnlessZero(figures, "reported", exactRate ? 1.0 : 0);
        putUnlessZero(figures, "phase", (double) phase.ordinal());
        putUnlessZero(figures, "slow", degraded ? 1.0 : 0);
        figures.put("badRun", failureRun);
        figures.put("failShare", failureShare);
        putUnlessZero(figures, "rampSpan", warmupIntervalUs);
        timesUs.put("wait", retryAfterUntilUs);
        timesUs.put("pause", backoffUntilUs);
        timesUs.put("sent", lastSendUs);
        timesUs.put("trial", nextProbeUs);
        timesUs.put("ramp", warmupFromUs);
        if (failingSinceUs != NEVER) {
            timesUs.put("trouble", failingSinceUs);
        }
    }

    private static void putUnlessZero(final Map<String, Double> figures, final String name, final double figure) {
        if (figure != 0) {
            figures.put(name, figure);
        }
    }

    /**
     * Reads what {@link #writeTo} wrote. Without their value, averages, limits and failure figures keep what they
     * have; counts, flags and the phase are reset, and times count as not set.
     */
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
        exactRate = figures.getOrDefault("reported", 0.0) > 0;
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

    /** The state in a line for the log; {@code calls}: those in flight, and the maximum. */
    String describe(final String calls, final long nowUs) {
        final String figures = String.format(
                Locale.ROOT,
                " window %.1f served/s %.1f sends/s %.1f limit/s %.1f slowdown %.2f",
                window,
                servedRate,
                sendsPerSecond,
                rateLimit,
                slowdown);
        final long probeMs = phase == Phase.PROBE ? remainingMs(nextProbeUs, nowUs) : 0;
        return phase + (degraded ? " degraded" : "") + " in flight " + calls + figures + " retry-after "
                + remainingMs(retryAfterUntilUs, nowUs) + " backoff " + remainingMs(backoffUntilUs, nowUs)
                + " next probe " + probeMs
                + " ms";
    }

    private static long remainingMs(final long atUs, final long nowUs) {
        return Math.max(0, atUs - nowUs) / 1000;
    }
}
