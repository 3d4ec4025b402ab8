package railspar.scale.fleet;

import java.util.ArrayList;
import java.util.List;

/** What is counted and measured of one courier. */
final class CourierFigures {
    final MessageCounts messages = new MessageCounts();
    final ListWatch.Fetches fetches = new ListWatch.Fetches();
    final ProcessorTime processor = new ProcessorTime();
    final ControlTraffic traffic;
    /** From each change, this process's start or the end of a cut, whichever was last, until it was in force here. */
    final List<Long> inForceUs = new ArrayList<>();
    /** From a process's start until it was ready. */
    final List<Long> firstReadyUs = new ArrayList<>();

    final List<Long> restartReadyUs = new ArrayList<>();

    /** Lanes that the steps of earlier processes visited. */
    long lanesVisited;

    CourierFigures(final long startUs, final long endUs) {
        this.traffic = new ControlTraffic(startUs, endUs);
    }

    void readyUs(final boolean first, final long tookUs) {
        (first ? firstReadyUs : restartReadyUs).add(tookUs);
    }

    /**
     * A change is known to discovery from the begin of its slice on, so that it may come into force just before it.
     */
    void inForce(final Iterable<Long> madeAtUs, final long reachableUs, final long nowUs) {
        madeAtUs.forEach(madeUs -> inForceUs.add(Math.max(0, nowUs - Math.max(madeUs, reachableUs))));
    }
}
