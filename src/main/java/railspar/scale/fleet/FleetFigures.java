package railspar.scale.fleet;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;

/** What a run showed, over all couriers. */
public final class FleetFigures {
    /** Where a figure comes from. */
    public enum Basis {
        /** From the simulated clock, with the assumed figures of the surroundings. */
        SIMULATED,
        /** Counted; the same on every machine. */
        COUNTED,
        /** Measured on the machine of the run. */
        MEASURED
    }

    /**
     * One figure.
     *
     * @param most the bound that it has to keep, or null
     */
    public record Figure(String name, double value, String unit, Basis basis, Double most) {
        /** True if it keeps its bound, or has none. */
        @JsonProperty("met")
        public boolean met() {
            return most == null || value <= most;
        }
    }

    /** A sum that has to come out even. */
    public record Check(String name, long expected, long found) {
        /** True if it does. */
        @JsonProperty("holds")
        public boolean holds() {
            return expected == found;
        }
    }

    /** Bounds of the target. */
    public static final double IN_FORCE_SECONDS = 14;

    public static final double READY_SECONDS = 10;
    public static final double CONTROL_CORE_PERCENT = 3.4;

    private static final double CONTROL_BYTES_A_SECOND = 6 * 1024;
    private static final double ENDPOINT_BYTES = 80;
    private static final double SECONDS_PER_MINUTE = 60;
    private static final double NS_PER_SECOND = 1e9;
    private static final double NS_PER_MS = 1e6;
    private static final double BYTES_PER_MB = 1e6;
    private static final int PERCENT = 100;
    private static final double MEDIAN = 50;
    private static final double NINETY_NINTH = 99;

    private final List<Figure> figures = new ArrayList<>();
    private final List<Check> checks = new ArrayList<>();
    private final List<HollowCourier> couriers;
    private final double seconds;

    private FleetFigures(final List<HollowCourier> couriers, final double seconds) {
        this.couriers = couriers;
        this.seconds = seconds;
    }

    static FleetFigures of(
            final FleetParameters parameters,
            final double seconds,
            final Discovery discovery,
            final ControlUplink uplink,
            final Destinations destinations,
            final List<HollowCourier> couriers) {
        final FleetFigures result = new FleetFigures(couriers, seconds);
        result.addChanges(discovery);
        result.addStarts();
        result.addFetches();
        result.addTraffic();
        result.addUplink(uplink);
        result.addProcessor();
        final MessageCounts messages = result.addMessages();
        result.addDestinations(destinations);
        result.addChecks(discovery, destinations, messages);
        return result;
    }

    /** The figures, in the order of the table. */
    public List<Figure> figures() {
        return List.copyOf(figures);
    }

    /** The sums. */
    public List<Check> checks() {
        return List.copyOf(checks);
    }

    /** The figures that are the same on every machine and at every time. */
    public List<Figure> repeatable() {
        return figures.stream()
                .filter(figure -> figure.basis() != Basis.MEASURED)
                .toList();
    }

    /** True if all sums come out even. */
    public boolean checksHold() {
        return checks.stream().allMatch(Check::holds);
    }

    /** The value of a figure. */
    public double value(final String name) {
        return figures.stream()
                .filter(figure -> figure.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no such figure: " + name))
                .value();
    }

    /** Adds a figure that the run itself does not know. */
    public void add(final String name, final double value, final String unit, final Basis basis, final Double most) {
        figures.add(new Figure(name, value, unit, basis, most));
    }

    private void simulated(final String name, final double value, final String unit, final Double most) {
        add(name, value, unit, Basis.SIMULATED, most);
    }

    private void counted(final String name, final double value) {
        add(name, value, "", Basis.COUNTED, null);
    }

    private long sum(final ToLongFunction<HollowCourier> of) {
        return couriers.stream().mapToLong(of).sum();
    }

    private Histogram histogram(final Function<CourierFigures, List<Long>> of) {
        final Histogram histogram = new Histogram(3);
        couriers.forEach(courier -> of.apply(courier.figures()).forEach(histogram::recordValue));
        return histogram;
    }

    private void distribution(final String name, final Histogram us, final Double most) {
        counted(name + ": samples", us.getTotalCount());
        if (us.getTotalCount() > 0) {
            simulated(name + ": p50", us.getValueAtPercentile(MEDIAN) / (double) Units.US_PER_SECOND, "s", most);
            simulated(name + ": p99", us.getValueAtPercentile(NINETY_NINTH) / (double) Units.US_PER_SECOND, "s", most);
            simulated(name + ": worst", us.getMaxValue() / (double) Units.US_PER_SECOND, "s", most);
        }
    }

    private void addChanges(final Discovery discovery) {
        counted("changes made", discovery.changes());
        distribution("change in force", histogram(one -> one.inForceUs), IN_FORCE_SECONDS);
        counted(
                "couriers without the newest list at the end",
                sum(one -> one.versionInForce() == discovery.version() ? 0 : 1));
    }

    private void addStarts() {
        distribution("ready after first start", histogram(one -> one.firstReadyUs), READY_SECONDS);
        distribution("ready after restart", histogram(one -> one.restartReadyUs), READY_SECONDS);
    }

    private void addFetches() {
        counted("whole lists at first start", sum(one -> one.figures().fetches.wholeAtFirstStart));
        counted("whole lists at restart", sum(one -> one.figures().fetches.wholeAtRestart));
        counted("whole lists fetched again by one process", sum(one -> one.figures().fetches.wholeLater));
        counted("lines of changes", sum(one -> one.figures().fetches.changeLines));
        counted("watches begun", sum(one -> one.figures().fetches.watches));
    }

    private void addTraffic() {
        final double first = sum(one -> one.figures().traffic.firstLists());
        final double later = sum(one -> one.figures().traffic.total()) - first;
        final long worst = couriers.stream()
                .mapToLong(one -> one.figures().traffic.worstMinute())
                .max()
                .orElse(0);
        add("control bytes, lists for empty folders, each courier", first / couriers.size(), "B", Basis.COUNTED, null);
        add(
                "control bytes after it, each courier, mean",
                later / couriers.size() / seconds,
                "B/s",
                Basis.COUNTED,
                CONTROL_BYTES_A_SECOND);
        add(
                "control bytes after it, worst minute of a courier",
                worst / SECONDS_PER_MINUTE,
                "B/s",
                Basis.COUNTED,
                CONTROL_BYTES_A_SECOND);
    }

    private void addUplink(final ControlUplink uplink) {
        simulated("control lines, busiest one in use", uplink.busiestUs() / Units.US_PER_SECOND, "s", null);
        add("control lines, bytes sent", uplink.bytesSent() / BYTES_PER_MB, "MB", Basis.COUNTED, null);
    }

    private void addProcessor() {
        final ProcessorTime total = new ProcessorTime();
        couriers.forEach(one -> total.add(one.figures().processor));
        add(
                "processor: open the stored list, all starts",
                total.openListNs / NS_PER_SECOND / couriers.size(),
                "s a courier",
                Basis.MEASURED,
                null);
        measuredShare("processor: read and store lists", total.listNs, null);
        measuredShare("processor: apply lists to the decisions", total.applyNs, null);
        measuredShare("processor: read, store and apply lists", total.listNs + total.applyNs, CONTROL_CORE_PERCENT);
        measuredShare("processor: decisions on events", total.eventDecisionsNs, null);
        measuredShare("processor: decisions on wake-ups", total.wakeDecisionsNs, null);
        add("processor: longest read of a list", total.listLongestNs / NS_PER_MS, "ms", Basis.MEASURED, null);
        counted("decisions on events", total.eventDecisions);
        counted("decisions on wake-ups", total.wakeDecisions);
    }

    private void measuredShare(final String name, final long ns, final Double most) {
        final double share = ns / NS_PER_SECOND / seconds / couriers.size();
        add(name, PERCENT * share, "% of a core", Basis.MEASURED, most);
    }

    private MessageCounts addMessages() {
        final MessageCounts total = new MessageCounts();
        couriers.forEach(one -> total.add(one.figures().messages));
        counted("messages taken", total.taken);
        counted("messages delivered", total.delivered);
        counted("messages refused", total.refused);
        counted("messages refused at the end of their time", total.givenUp);
        counted("messages failed", total.failed);
        counted("messages lost with a folder", total.lostWithFolder);
        counted("messages ended late", total.late);
        counted("messages open at the end", sum(HollowCourier::openMessages));
        counted("attempts", total.attempts);
        addState();
        return total;
    }

    private void addState() {
        final double listed = sum(HollowCourier::listed);
        final double listBytes = sum(HollowCourier::listBytes);
        counted("endpoints listed, each courier", listed / couriers.size());
        add("list state, each courier", listBytes / couriers.size(), "B", Basis.COUNTED, null);
        add("list state, each endpoint", listBytes / Math.max(1, listed), "B", Basis.COUNTED, ENDPOINT_BYTES);
        add(
                "stored list, each courier",
                (double) sum(HollowCourier::storedBytes) / couriers.size(),
                "B on disk",
                Basis.COUNTED,
                null);
        counted(
                "destinations that a courier had a message for",
                (double) sum(HollowCourier::destinationsContacted) / couriers.size());
        counted(
                "destinations with state, each courier",
                (double) sum(HollowCourier::destinationsWithState) / couriers.size());
        counted(
                "lanes visited by steps, each courier and second",
                sum(HollowCourier::lanesVisited) / seconds / couriers.size());
    }

    private void addDestinations(final Destinations destinations) {
        counted("calls", destinations.calls());
        counted("calls to destinations that were down", destinations.callsWhileDown());
        counted("calls over a cut network", destinations.callsCutOff());
        counted("calls refused above the limit", destinations.refused());
        counted("calls to cold destinations, first attempts", destinations.coldFirstAttempts());
        counted("calls to cold destinations, later attempts", destinations.coldLaterAttempts());
        counted("cold spans with calls", destinations.coldSpans());
        counted("cold spans above what tips and chance", destinations.coldSpansOverTip());
        final Histogram load = destinations.coldLoad();
        if (load.getTotalCount() > 0) {
            final String name = "calls in a cold span, of what tips: ";
            add(name + "p50", load.getValueAtPercentile(MEDIAN), "%", Basis.COUNTED, null);
            add(name + "p99", load.getValueAtPercentile(NINETY_NINTH), "%", Basis.COUNTED, null);
            add(name + "worst", load.getMaxValue(), "%", Basis.COUNTED, null);
        }
    }

    private void addChecks(final Discovery discovery, final Destinations destinations, final MessageCounts messages) {
        final long open = sum(HollowCourier::openMessages);
        checks.add(new Check(
                "messages taken = ended + lost with a folder + open", messages.taken, messages.ended() + open));
        checks.add(new Check("messages that ended twice", 0, messages.endedTwice));
        checks.add(new Check("messages without an end after their time", 0, sum(HollowCourier::overdue)));
        checks.add(new Check(
                "deliveries made = heard + unheard",
                destinations.delivered(),
                messages.delivered + messages.deliveriesUnheard));
        checks.add(new Check("attempts made = calls seen", messages.attempts, destinations.calls()));
    }
}
