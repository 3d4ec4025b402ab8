package railspar.scale.fleet;

/** Told now and then how far a run is. */
@FunctionalInterface
public interface Progress {
    /** So much simulated time has passed, of so much. */
    void at(double seconds, double ofSeconds);
}
