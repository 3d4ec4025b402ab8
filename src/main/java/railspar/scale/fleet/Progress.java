package railspar.scale.fleet;

/** Receives progress reports of a run. */
@FunctionalInterface
public interface Progress {
    /** Reports the simulated time so far and in total, in seconds. */
    void report(double seconds, double totalSeconds);
}
