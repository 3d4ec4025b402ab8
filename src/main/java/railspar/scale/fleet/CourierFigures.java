package railspar.scale.fleet;

import java.util.ArrayList;
import java.util.List;

/** Counters and measurements of one courier. */
final class CourierFigures {
    final MessageCounts messages = new MessageCounts();
    final ListWatch.Fetches fetches = new ListWatch.Fetches();
    final ProcessorTime processor = new ProcessorTime();
    final ControlTraffic traffic;
    /**
     * Time until each change was in force at this courier, from the change, the start of the process or the end of a
     * network partition, whichever came last.
     */
    final List<Long> inForceUs = new ArrayList<>();
    /** Time from the start of a process until it was ready. */
    final List<Long> firstStartReadyUs = new ArrayList<>();

    final List<Long> restartReadyUs = new ArrayList<>();

    /** Routes that the decisions of earlier processes visited. */
    long routesVisited;

    CourierFigures(final long startUs, final long endUs) {
        this.traffic = new ControlTraffic(startUs, endUs);
    }

    void recordReady(final boolean first, final long durationUs) {
        (first ? firstStartReadyUs : restartReadyUs).add(durationUs);
    }

    /**
     * Records that changes are in force. Discovery has a change from the beginning of its time slice, so the change may
     * come into force just before the time at which it was made; this counts as 0.
     */
    void recordInForce(final Iterable<Long> versionTimesUs, final long reachableUs, final long nowUs) {
        versionTimesUs.forEach(
                versionTimeUs -> inForceUs.add(Math.max(0, nowUs - Math.max(versionTimeUs, reachableUs))));
    }
}
