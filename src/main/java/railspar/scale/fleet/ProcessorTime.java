package railspar.scale.fleet;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/**
 * Processor time of couriers by purpose, measured on the machine of the run; it does not influence the simulation. Rare
 * and long operations are measured by the processor time of the thread, frequent and short ones by elapsed time.
 */
final class ProcessorTime {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    long openListNs, listNs, longestListNs, applyNs, eventDecisionsNs, timerDecisionsNs;
    long eventDecisions, timerDecisions;

    /** The processor time of this thread so far. */
    static long threadNs() {
        return THREADS.getCurrentThreadCpuTime();
    }

    void countList(final long ns) {
        listNs += ns;
        longestListNs = Math.max(longestListNs, ns);
    }

    void add(final ProcessorTime other) {
        openListNs += other.openListNs;
        listNs += other.listNs;
        longestListNs = Math.max(longestListNs, other.longestListNs);
        applyNs += other.applyNs;
        eventDecisionsNs += other.eventDecisionsNs;
        timerDecisionsNs += other.timerDecisionsNs;
        eventDecisions += other.eventDecisions;
        timerDecisions += other.timerDecisions;
    }
}
