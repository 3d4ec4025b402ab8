package railspar.scale.fleet;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/**
 * Processor time of couriers by purpose, measured on the machine of the run; it has no part in the simulation. Rare
 * and long pieces are measured by the thread's processor time, frequent and short ones by the clock around them.
 */
final class ProcessorTime {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    long openListNs, listNs, listLongestNs, applyNs, eventDecisionsNs, wakeDecisionsNs;
    long eventDecisions, wakeDecisions;

    /** The processor time of this thread so far. */
    static long threadNs() {
        return THREADS.getCurrentThreadCpuTime();
    }

    void countList(final long ns) {
        listNs += ns;
        listLongestNs = Math.max(listLongestNs, ns);
    }

    void add(final ProcessorTime other) {
        openListNs += other.openListNs;
        listNs += other.listNs;
        listLongestNs = Math.max(listLongestNs, other.listLongestNs);
        applyNs += other.applyNs;
        eventDecisionsNs += other.eventDecisionsNs;
        wakeDecisionsNs += other.wakeDecisionsNs;
        eventDecisions += other.eventDecisions;
        wakeDecisions += other.wakeDecisions;
    }
}
