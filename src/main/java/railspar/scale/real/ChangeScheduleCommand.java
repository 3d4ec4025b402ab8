package railspar.scale.real;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import railspar.scale.standin.ConnectionTraffic;
import railspar.scale.standin.DiscoveryServer;
import railspar.scale.standin.EndpointEntry;
import railspar.scale.standin.ListHistory;
import railspar.scale.standin.LoopbackPorts;

/**
 * Measures one real courier in real time while its endpoint list changes at a constant rate. The defaults are the
 * target's list and one hour of its changes.
 */
@Command(
        name = "real-changes",
        mixinStandardHelpOptions = true,
        description =
                "Starts one real courier with a list that changes at a constant rate, and measures processor time,"
                        + " memory, traffic with discovery, and the time until each change is applied.")
public final class ChangeScheduleCommand implements Callable<Integer> {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    /** The time that the platform allows until a change is applied. */
    private static final Duration APPLY_TIMEOUT = Duration.ofSeconds(14);
    /** Pause between applying the list and the first change, so that work left over from the start can finish. */
    private static final Duration SETTLE = Duration.ofSeconds(3);

    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double PERCENTILE_50 = 50;
    private static final double PERCENTILE_99 = 99;
    private static final double BYTES_PER_MB = 1_000_000;
    private static final double NS_PER_SECOND = 1_000_000_000;

    @Spec
    private CommandSpec spec;

    @Mixin
    private CourierOptions options;

    @Mixin
    private ListOptions listOptions;

    @Option(
            names = "--destinations",
            defaultValue = "45000",
            description = "destinations in the list (default: ${DEFAULT-VALUE})")
    private int destinations;

    @Option(
            names = "--changes",
            defaultValue = "100",
            description = "changes of one endpoint each (default: ${DEFAULT-VALUE})")
    private int changes;

    @Option(
            names = "--seconds-between-changes",
            defaultValue = "36",
            description = "time between two changes (default: ${DEFAULT-VALUE})")
    private double secondsBetweenChanges;

    @Override
    public Integer call() throws IOException {
        final List<EndpointEntry> list;
        check();
        try (Socket refusing = LoopbackPorts.bindRefusingSocket()) {
            list = listOptions.plan(destinations, options.seed()).endpoints((InetSocketAddress)
                    refusing.getLocalSocketAddress());
            final ListHistory history = new ListHistory(list);
            final CourierLimits limits = listOptions.limits(options.memoryMb());
            try (DiscoveryServer discovery = new DiscoveryServer(history);
                    RealCourier courier = options.courier("real-changes", options.configuration(discovery, limits))) {
                final ChangeScheduleResult result = new Measurement(list, history, discovery, courier).run();
                if (options.output() != null) {
                    ResultFile.write(options.output(), result);
                }
                spec.commandLine().getOut().print(result.table());
                spec.commandLine().getOut().flush();
                return result.changesInForce() == changes ? 0 : 1;
            }
        }
    }

    private void check() {
        options.check(spec);
        CourierOptions.requireAtLeast(spec, "--changes", changes, 1);
        if (!(secondsBetweenChanges > 0)) {
            throw new ParameterException(
                    spec.commandLine(), "--seconds-between-changes must be above 0, not " + secondsBetweenChanges);
        }
        listOptions.check(spec, destinations);
    }

    /** Bytes to and from discovery at one moment. */
    private record Traffic(long atNs, long bytes) {}

    /** One run of the command. */
    private final class Measurement {
        private final List<EndpointEntry> list;
        private final ListHistory history;
        private final DiscoveryServer discovery;
        private final RealCourier courier;
        private final Histogram appliedNs = new Histogram(SIGNIFICANT_DIGITS);
        private final List<Traffic> traffic = new ArrayList<>();

        Measurement(
                final List<EndpointEntry> list,
                final ListHistory history,
                final DiscoveryServer discovery,
                final RealCourier courier) {
            this.list = list;
            this.history = history;
            this.discovery = discovery;
            this.courier = courier;
        }

        ChangeScheduleResult run() throws IOException {
            courier.start();
            final double ready = seconds(courier.awaitReady(START_TIMEOUT)
                    .orElseThrow(() -> new IOException("the courier was not ready in time")));
            final double listApplied = seconds(courier.awaitDiscovered(list.size(), START_TIMEOUT)
                    .orElseThrow(() -> new IOException("the courier did not apply the whole list in time")));
            progress("ready, list applied");
            LockSupport.parkNanos(SETTLE.toNanos());
            final int wholeListsBefore = wholeLists();
            final ProcessSample before = courier.sample();
            final int applied = publishChanges();
            final ProcessSample after = courier.sample();
            return new ChangeScheduleResult(
                    options.memoryMb(),
                    destinations,
                    list.size(),
                    changes,
                    secondsBetweenChanges,
                    Runtime.getRuntime().availableProcessors(),
                    ready,
                    listApplied,
                    (after.atNs() - before.atNs()) / NS_PER_SECOND,
                    applied,
                    appliedNs.getValueAtPercentile(PERCENTILE_50) / NS_PER_SECOND,
                    appliedNs.getValueAtPercentile(PERCENTILE_99) / NS_PER_SECOND,
                    appliedNs.getMaxValue() / NS_PER_SECOND,
                    after.processorShareSince(before),
                    before.residentBytes() / BYTES_PER_MB,
                    after.residentBytes() / BYTES_PER_MB,
                    after.peakResidentBytes() / BYTES_PER_MB,
                    bytesPerSecond(traffic.get(0), traffic.get(traffic.size() - 1)),
                    worstMinuteBytesPerSecond(),
                    wholeLists() - wholeListsBefore);
        }

        /** Publishes the changes at a constant rate; returns how many were applied in time. */
        private int publishChanges() throws IOException {
            final long startNs = System.nanoTime();
            int applied = 0;
            countTraffic();
            for (int number = 0; number < changes; number++) {
                applied += isAppliedInTime(number) ? 1 : 0;
                sleepUntil(startNs + (long) ((number + 1) * secondsBetweenChanges * NS_PER_SECOND));
                countTraffic();
                progress((number + 1) + " of " + changes + " changes, " + applied + " applied");
            }
            return applied;
        }

        private boolean isAppliedInTime(final int number) throws IOException {
            final EndpointEntry entry = list.get(number / 2 % list.size());
            final EndpointEntry.Health health =
                    number % 2 == 0 ? EndpointEntry.Health.TERMINATING : EndpointEntry.Health.READY;
            final long publishedNs = System.nanoTime();
            final long version = history.change(List.of(entry.withHealth(health)));
            final boolean applied = courier.awaitListVersion(version, APPLY_TIMEOUT);
            appliedNs.recordValue(System.nanoTime() - publishedNs);
            return applied;
        }

        private void sleepUntil(final long untilNs) {
            for (long nowNs = System.nanoTime(); nowNs < untilNs; nowNs = System.nanoTime()) {
                LockSupport.parkNanos(untilNs - nowNs);
            }
        }

        private void countTraffic() {
            final long bytes = discovery.traffic().stream()
                    .mapToLong(connection -> connection.bytesIn() + connection.bytesOut())
                    .sum();
            traffic.add(new Traffic(System.nanoTime(), bytes));
        }

        /**
         * The highest rate in bytes per second between two counts at least a minute apart, or the rate of the whole run
         * if it is shorter than that.
         */
        private double worstMinuteBytesPerSecond() {
            double worst = 0;
            int from = 0;
            for (int to = 1; to < traffic.size(); to++) {
                while (isMinuteApart(traffic.get(from + 1), traffic.get(to))) {
                    from++;
                }
                if (isMinuteApart(traffic.get(from), traffic.get(to))) {
                    worst = Math.max(worst, bytesPerSecond(traffic.get(from), traffic.get(to)));
                }
            }
            return worst > 0 ? worst : bytesPerSecond(traffic.get(0), traffic.get(traffic.size() - 1));
        }

        private boolean isMinuteApart(final Traffic from, final Traffic to) {
            return to.atNs() - from.atNs() >= MINUTE.toNanos();
        }

        private double bytesPerSecond(final Traffic from, final Traffic to) {
            return (to.bytes() - from.bytes()) / ((to.atNs() - from.atNs()) / NS_PER_SECOND);
        }

        private int wholeLists() {
            return discovery.traffic().stream()
                    .mapToInt(ConnectionTraffic::wholeLists)
                    .sum();
        }

        private double seconds(final Duration duration) {
            return duration.toNanos() / NS_PER_SECOND;
        }

        private void progress(final String event) {
            spec.commandLine().getErr().println(spec.name() + ": " + event);
        }
    }
}
