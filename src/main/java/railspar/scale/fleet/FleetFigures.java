package railspar.scale.fleet;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;

/** The results of a run, over all couriers. */
public final class FleetFigures {
    /** How a figure was obtained. */
    public enum Basis {
        /** From the simulated clock, under the assumptions of the surroundings model. */
        SIMULATED,
        /** Counted in the simulation; the same on every machine. */
        COUNTED,
        /** Measured on the machine that ran the simulation. */
        MEASURED
    }

    /**
     * One result.
     *
     * @param most the upper bound of the value, or null
     */
    public record Figure(String name, double value, String unit, Basis basis, Double most) {
        /** True if the value is within its bound or has none. */
        @JsonProperty("met")
        public boolean met() {
            return most == null || value <= most;
        }
    }

    /** A consistency check: two counts that must be equal. */
    public record Check(String name, long expected, long found) {
        /** True if the counts are equal. */
        @JsonProperty("holds")
        public boolean holds() {
            return expected == found;
        }
    }

    /** Maximum time until a change of the list is in force, as specified. */
    public static final double MAX_IN_FORCE_SECONDS = 14;

    /** Maximum time until a started courier is ready, as specified. */
    public static final double MAX_READY_SECONDS = 10;
    /** Maximum processor use of a courier for its list, in percent of a core, as specified. */
    public static final double MAX_CONTROL_CORE_PERCENT = 3.4;

    private static final double MAX_CONTROL_BYTES_PER_SECOND = 6 * 1024;
    private static final double MAX_LIST_BYTES_PER_ENDPOINT = 80;
    private static final double SECONDS_PER_MINUTE = 60;
    private static final double NS_PER_SECOND = 1e9;
    private static final double NS_PER_MS = 1e6;
    private static final double BYTES_PER_MB = 1e6;
    private static final int PERCENT = 100;
    private static final double P50 = 50;
    private static final double P99 = 99;

    private final List<Figure> figures = new ArrayList<>();
    private final List<Check> checks = new ArrayList<>();
    private final List<SimulatedCourier> couriers;
    private final double seconds;

    private FleetFigures(final List<SimulatedCourier> couriers, final double seconds) {
        this.couriers = couriers;
        this.seconds = seconds;
    }

    static FleetFigures of(
            final FleetParameters parameters,
            final double seconds,
            final Discovery discovery,
            final ControlUplink uplink,
            final Destinations destinations,
            final List<SimulatedCourier> couriers) {
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

    /** The figures, in the order of the result table. */
    public List<Figure> figures() {
        return List.copyOf(figures);
    }

    /** The consistency checks. */
    public List<Check> checks() {
        return List.copyOf(checks);
    }

    /** The figures that are the same in every run with the same parameters. */
    public List<Figure> repeatable() {
        return figures.stream()
                .filter(figure -> figure.basis() != Basis.MEASURED)
                .toList();
    }

    /** True if all consistency checks hold. */
    public boolean checksHold() {
        return checks.stream().allMatch(Check::holds);
    }

    /** The value of the figure with this name. */
    public double value(final String name) {
        return figures.stream()
                .filter(figure -> figure.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("there is no figure with the name " + name))
                .value();
    }

    /** Adds a figure that was obtained outside the simulation. */
    public void add(final String name, final double value, final String unit, final Basis basis, final Double max) {
        figures.add(new Figure(name, value, unit, basis, max));
    }

    private void addSimulated(final String name, final double value, final String unit, final Double max) {
        add(name, value, unit, Basis.SIMULATED, max);
    }

    private void addCounted(final String name, final double value) {
        add(name, value, "", Basis.COUNTED, null);
    }

    private long sum(final ToLongFunction<SimulatedCourier> value) {
        return couriers.stream().mapToLong(value).sum();
    }

    private Histogram histogram(final Function<CourierFigures, List<Long>> samples) {
        final Histogram histogram = new Histogram(3);
        couriers.forEach(courier -> samples.apply(courier.figures()).forEach(histogram::recordValue));
        return histogram;
    }

    private void addDistribution(final String name, final Histogram histogram, final Double max) {
        addCounted(name + ": samples", histogram.getTotalCount());
        if (histogram.getTotalCount() > 0) {
            addSimulated(name + ": p50", histogram.getValueAtPercentile(P50) / (double) Units.US_PER_SECOND, "s", max);
            addSimulated(name + ": p99", histogram.getValueAtPercentile(P99) / (double) Units.US_PER_SECOND, "s", max);
            addSimulated(name + ": worst", histogram.getMaxValue() / (double) Units.US_PER_SECOND, "s", max);
        }
    }

    private void addChanges(final Discovery discovery) {
        addCounted("changes made", discovery.changeCount());
        addDistribution("change in force", histogram(courier -> courier.inForceUs), MAX_IN_FORCE_SECONDS);
        addCounted(
                "couriers without the newest list at the end",
                sum(courier -> courier.versionInForce() == discovery.version() ? 0 : 1));
    }

    private void addStarts() {
        addDistribution("ready after first start", histogram(courier -> courier.firstStartReadyUs), MAX_READY_SECONDS);
        addDistribution("ready after restart", histogram(courier -> courier.restartReadyUs), MAX_READY_SECONDS);
    }

    private void addFetches() {
        addCounted("whole lists at first start", sum(courier -> courier.figures().fetches.wholeListsAtFirstStart));
        addCounted("whole lists at restart", sum(courier -> courier.figures().fetches.wholeListsAtRestart));
        addCounted(
                "whole lists fetched again by one process", sum(courier -> courier.figures().fetches.wholeListsLater));
        addCounted("lines of changes", sum(courier -> courier.figures().fetches.changeLines));
        addCounted("watches begun", sum(courier -> courier.figures().fetches.watches));
    }

    private void addTraffic() {
        final double initialBytes = sum(courier -> courier.figures().traffic.initialListBytes());
        final double laterBytes = sum(courier -> courier.figures().traffic.totalBytes()) - initialBytes;
        final long peakMinuteBytes = couriers.stream()
                .mapToLong(courier -> courier.figures().traffic.peakMinuteBytes())
                .max()
                .orElse(0);
        add(
                "control bytes, lists for empty folders, each courier",
                initialBytes / couriers.size(),
                "B",
                Basis.COUNTED,
                null);
        add(
                "control bytes after it, each courier, mean",
                laterBytes / couriers.size() / seconds,
                "B/s",
                Basis.COUNTED,
                MAX_CONTROL_BYTES_PER_SECOND);
        add(
                "control bytes after it, worst minute of a courier",
                peakMinuteBytes / SECONDS_PER_MINUTE,
                "B/s",
                Basis.COUNTED,
                MAX_CONTROL_BYTES_PER_SECOND);
    }

    private void addUplink(final ControlUplink uplink) {
        addSimulated("control lines, busiest one in use", uplink.longestBusyUs() / Units.US_PER_SECOND, "s", null);
        add("control lines, bytes sent", uplink.bytesSent() / BYTES_PER_MB, "MB", Basis.COUNTED, null);
    }

    private void addProcessor() {
        final ProcessorTime total = new ProcessorTime();
        couriers.forEach(courier -> total.add(courier.figures().processor));
        add(
                "processor: open the stored list, all starts",
                total.openListNs / NS_PER_SECOND / couriers.size(),
                "s a courier",
                Basis.MEASURED,
                null);
        addMeasuredShare("processor: read and store lists", total.listNs, null);
        addMeasuredShare("processor: apply lists to the decisions", total.applyNs, null);
        addMeasuredShare(
                "processor: read, store and apply lists", total.listNs + total.applyNs, MAX_CONTROL_CORE_PERCENT);
        addMeasuredShare("processor: decisions on events", total.eventDecisionsNs, null);
        addMeasuredShare("processor: decisions on wake-ups", total.timerDecisionsNs, null);
        add("processor: longest read of a list", total.longestListNs / NS_PER_MS, "ms", Basis.MEASURED, null);
        addCounted("decisions on events", total.eventDecisions);
        addCounted("decisions on wake-ups", total.timerDecisions);
    }

    private void addMeasuredShare(final String name, final long ns, final Double max) {
        final double share = ns / NS_PER_SECOND / seconds / couriers.size();
        add(name, PERCENT * share, "% of a core", Basis.MEASURED, max);
    }

    private MessageCounts addMessages() {
        final MessageCounts total = new MessageCounts();
        couriers.forEach(courier -> total.add(courier.figures().messages));
        addCounted("messages taken", total.accepted);
        addCounted("messages delivered", total.delivered);
        addCounted("messages refused", total.rejected);
        addCounted("messages refused at the end of their time", total.expired);
        addCounted("messages failed", total.failed);
        addCounted("messages lost with a folder", total.lostWithStateFolder);
        addCounted("messages ended late", total.late);
        addCounted("messages open at the end", sum(SimulatedCourier::openMessages));
        addCounted("attempts", total.attempts);
        addState();
        return total;
    }

    private void addState() {
        final double listed = sum(SimulatedCourier::listedEndpoints);
        final double listBytes = sum(SimulatedCourier::listBytes);
        addCounted("endpoints listed, each courier", listed / couriers.size());
        add("list state, each courier", listBytes / couriers.size(), "B", Basis.COUNTED, null);
        add(
                "list state, each endpoint",
                listBytes / Math.max(1, listed),
                "B",
                Basis.COUNTED,
                MAX_LIST_BYTES_PER_ENDPOINT);
        add(
                "stored list, each courier",
                (double) sum(SimulatedCourier::storedBytes) / couriers.size(),
                "B on disk",
                Basis.COUNTED,
                null);
        addCounted(
                "destinations that a courier had a message for",
                (double) sum(SimulatedCourier::usedDestinations) / couriers.size());
        addCounted(
                "destinations with state, each courier",
                (double) sum(SimulatedCourier::destinationsWithState) / couriers.size());
        addCounted(
                "lanes visited by steps, each courier and second",
                sum(SimulatedCourier::routesVisited) / seconds / couriers.size());
    }

    private void addDestinations(final Destinations destinations) {
        addCounted("calls", destinations.calls());
        addCounted("calls to destinations that were down", destinations.callsWhileDown());
        addCounted("calls over a cut network", destinations.callsCutOff());
        addCounted("calls refused above the limit", destinations.rejected());
        addCounted("calls to cold destinations, first attempts", destinations.coldFirstAttempts());
        addCounted("calls to cold destinations, later attempts", destinations.coldLaterAttempts());
        addCounted("cold spans with calls", destinations.coldIntervals());
        addCounted("cold spans above what tips and chance", destinations.overloadedColdIntervals());
        final Histogram load = destinations.coldLoadPercent();
        if (load.getTotalCount() > 0) {
            final String name = "calls in a cold span, of what tips: ";
            add(name + "p50", load.getValueAtPercentile(P50), "%", Basis.COUNTED, null);
            add(name + "p99", load.getValueAtPercentile(P99), "%", Basis.COUNTED, null);
            add(name + "worst", load.getMaxValue(), "%", Basis.COUNTED, null);
        }
    }

    private void addChecks(final Discovery discovery, final Destinations destinations, final MessageCounts messages) {
        final long open = sum(SimulatedCourier::openMessages);
        checks.add(new Check(
                "messages taken = ended + lost with a folder + open", messages.accepted, messages.ended() + open));
        checks.add(new Check("messages that ended twice", 0, messages.endedTwice));
        checks.add(new Check("messages without an end after their time", 0, sum(SimulatedCourier::overdueMessages)));
        checks.add(new Check(
                "deliveries made = heard + unheard",
                destinations.delivered(),
                messages.delivered + messages.unconfirmedDeliveries));
        checks.add(new Check("attempts made = calls seen", messages.attempts, destinations.calls()));
    }
}
