package railspar.scale.real;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import railspar.scale.standin.ConnectionTraffic;
import railspar.scale.standin.DiscoveryServer;
import railspar.scale.standin.EndpointEntry;
import railspar.scale.standin.ListHistory;
import railspar.scale.standin.LoopbackPorts;

/** Measures event the endpoint list costs one real courier, at several sizes of the list. */
@Command(
        name = "real-list",
        mixinStandardHelpOptions = true,
        description = "Starts one real courier for each size of the list and measures time to ready, memory, processor"
                + " time and traffic with discovery.")
public final class ListSlopeCommand implements Callable<Integer> {
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
    /** Pause between applying the list and the idle time, so that work left over from the start can finish. */
    private static final Duration SETTLE = Duration.ofSeconds(3);

    private static final Duration CHANGE_PERIOD = Duration.ofMillis(20);
    private static final Duration CHANGES_TIMEOUT = Duration.ofSeconds(10);
    /** Pause between killing the process and starting it again. */
    private static final Duration RESTART_PAUSE = Duration.ofMillis(600);

    private static final double BYTES_PER_MB = 1_000_000;
    private static final double NS_PER_SECOND = 1_000_000_000;
    private static final double PERCENT = 100;

    @Spec
    private CommandSpec spec;

    @Mixin
    private CourierOptions options;

    @Mixin
    private ListOptions listOptions;

    @Option(
            names = "--destinations",
            split = ",",
            defaultValue = "100,5000,20000,45000",
            description = "sizes to measure (default: ${DEFAULT-VALUE})")
    private int[] destinations;

    @Option(
            names = "--idle-seconds",
            defaultValue = "20",
            description = "how long processor time is measured while idle (default: ${DEFAULT-VALUE})")
    private int idleSeconds;

    @Option(
            names = "--changes",
            defaultValue = "100",
            description = "measured changes of one endpoint each (default: ${DEFAULT-VALUE})")
    private int changes;

    @Option(
            names = "--warm-up-changes",
            defaultValue = "100",
            description = "unmeasured changes before the measured ones (default: ${DEFAULT-VALUE})")
    private int warmUpChanges;

    @Option(
            names = "--list-timeout-seconds",
            defaultValue = "36",
            description = "how long the courier may take to apply the list (default: ${DEFAULT-VALUE})")
    private int listTimeoutSeconds;

    /** Runs this command alone. */
    public static void main(final String[] args) {
        System.exit(new CommandLine(new ListSlopeCommand()).execute(args));
    }

    @Override
    public Integer call() throws IOException {
        check();
        final List<ListSlopeResult.Row> rows = new ArrayList<>();
        for (final int size : destinations) {
            rows.add(measure(size));
            save(rows);
            progress(size, "done");
        }
        System.out.print(table(rows));
        return CommandLine.ExitCode.OK;
    }

    private void check() {
        options.check(spec);
        CourierOptions.requireAtLeast(spec, "--idle-seconds", idleSeconds, 1);
        CourierOptions.requireAtLeast(spec, "--changes", changes, 1);
        CourierOptions.requireAtLeast(spec, "--warm-up-changes", warmUpChanges, 0);
        CourierOptions.requireAtLeast(spec, "--list-timeout-seconds", listTimeoutSeconds, 1);
        listOptions.check(spec, destinations);
    }

    /** Called after each size, so that an interrupted run keeps the results measured so far. */
    private void save(final List<ListSlopeResult.Row> rows) throws IOException {
        if (options.output() != null) {
            ResultFile.write(
                    options.output(),
                    new ListSlopeResult(
                            options.memoryMb(),
                            listOptions.endpointsPerDestination(),
                            idleSeconds,
                            warmUpChanges,
                            changes,
                            Runtime.getRuntime().availableProcessors(),
                            rows));
        }
    }

    private void progress(final int size, final String event) {
        spec.commandLine().getErr().println(spec.name() + ": " + size + " destinations: " + event);
    }

    private ListSlopeResult.Row measure(final int size) throws IOException {
        try (Socket refusing = LoopbackPorts.bindRefusingSocket()) {
            final InetSocketAddress refusingAddress = (InetSocketAddress) refusing.getLocalSocketAddress();
            final List<EndpointEntry> list =
                    listOptions.plan(size, options.seed()).endpoints(refusingAddress);
            final ListHistory history = new ListHistory(list);
            try (DiscoveryServer discovery = new DiscoveryServer(history);
                    RealCourier courier = options.courier(
                            "real-list", options.configuration(discovery, listOptions.limits(options.memoryMb())))) {
                return new Measurement(size, list, history, discovery, courier).run();
            }
        }
    }

    private static void pause(final Duration length) {
        try {
            Thread.sleep(length.toMillis());
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private static Double seconds(final Optional<Duration> duration) {
        return duration.map(length -> length.toNanos() / NS_PER_SECOND).orElse(null);
    }

    private static String text(final Optional<Duration> duration) {
        return TextTable.number(seconds(duration), "%.2f s");
    }

    private static String table(final List<ListSlopeResult.Row> rows) {
        final TextTable table = new TextTable(
                "destinations",
                "list MB",
                "ready s",
                "in force s",
                "resident MB",
                "peak MB",
                "idle %",
                "ms/change",
                "from discovery MB",
                "in s",
                "whole lists",
                "killed: ready s",
                "in force s",
                "whole lists");
        for (final ListSlopeResult.Row row : rows) {
            table.row(
                    Integer.toString(row.destinations()),
                    TextTable.number(row.listBytes() / BYTES_PER_MB, "%.2f"),
                    TextTable.number(row.first().readySeconds(), "%.2f"),
                    TextTable.number(row.first().listSeconds(), "%.2f"),
                    TextTable.number(row.residentMb(), "%.0f"),
                    TextTable.number(row.peakResidentMb(), "%.0f"),
                    TextTable.number(row.idleShare() == null ? null : PERCENT * row.idleShare(), "%.1f"),
                    TextTable.number(row.millisPerChange(), "%.2f"),
                    TextTable.number(row.first().bytesFromDiscovery() / BYTES_PER_MB, "%.2f"),
                    TextTable.number(row.first().observedSeconds(), "%.0f"),
                    Integer.toString(row.first().wholeLists()),
                    TextTable.number(row.afterKill().readySeconds(), "%.2f"),
                    TextTable.number(row.afterKill().listSeconds(), "%.2f"),
                    Integer.toString(row.afterKill().wholeLists()));
        }
        return table.toString();
    }

    /** The measurement of one size. */
    private final class Measurement {
        private final int size;
        private final List<EndpointEntry> list;
        private final ListHistory history;
        private final DiscoveryServer discovery;
        private final RealCourier courier;
        private long startNs;
        private List<ConnectionTraffic> trafficBefore = List.of();

        Measurement(
                final int size,
                final List<EndpointEntry> list,
                final ListHistory history,
                final DiscoveryServer discovery,
                final RealCourier courier) {
            this.size = size;
            this.list = list;
            this.history = history;
            this.discovery = discovery;
            this.courier = courier;
        }

        ListSlopeResult.Row run() throws IOException {
            final long listBytes = history.lineAfter(0).length;
            final Start first = start();
            pause(SETTLE);
            final Optional<ProcessSample> before = sample();
            pause(Duration.ofSeconds(idleSeconds));
            final Optional<ProcessSample> after = sample();
            progress(size, "idle measured");
            final ListSlopeResult.Start firstResult = result(first);
            final Double idleShare = before.isPresent() && after.isPresent()
                    ? (Double) after.get().processorShareSince(before.get())
                    : null;
            final Double millisPerChange = first.listed.isPresent() ? changeCost(before, after) : null;
            final boolean alive = courier.isAlive();
            courier.kill();
            pause(RESTART_PAUSE);
            final Start second = start();
            return new ListSlopeResult.Row(
                    size,
                    list.size(),
                    listBytes,
                    alive,
                    firstResult,
                    after.map(sample -> sample.residentBytes() / BYTES_PER_MB).orElse(null),
                    after.map(sample -> sample.peakResidentBytes() / BYTES_PER_MB)
                            .orElse(null),
                    idleShare,
                    millisPerChange != null,
                    millisPerChange,
                    result(second));
        }

        private record Start(Optional<Duration> ready, Optional<Duration> listed) {}

        private Start start() throws IOException {
            trafficBefore = discovery.traffic();
            startNs = System.nanoTime();
            courier.start();
            final Optional<Duration> ready = courier.awaitReady(READY_TIMEOUT);
            progress(size, "ready after " + text(ready));
            final Optional<Duration> listed =
                    courier.awaitDiscovered(list.size(), Duration.ofSeconds(listTimeoutSeconds));
            progress(size, "list applied after " + text(listed));
            return new Start(ready, listed);
        }

        private Optional<ProcessSample> sample() throws IOException {
            return courier.isAlive() ? Optional.of(courier.sample()) : Optional.empty();
        }

        /** Processor time for one change in milliseconds, or null if the changes were not applied in time. */
        private Double changeCost(final Optional<ProcessSample> idleBefore, final Optional<ProcessSample> idleAfter)
                throws IOException {
            publishChanges(warmUpChanges);
            final Optional<ProcessSample> before = sample();
            final boolean applied = publishChanges(changes);
            progress(size, "changes applied: " + applied);
            final Optional<ProcessSample> after = sample();
            if (!applied || before.isEmpty() || after.isEmpty() || idleBefore.isEmpty() || idleAfter.isEmpty()) {
                return null;
            }
            final double idleNs = idleAfter.get().threadNs() - idleBefore.get().threadNs();
            final double idleShare =
                    idleNs / (idleAfter.get().atNs() - idleBefore.get().atNs());
            final double elapsedNs = after.get().atNs() - before.get().atNs();
            final double usedNs = after.get().threadNs() - before.get().threadNs();
            return (usedNs - idleShare * elapsedNs) / changes / TimeUnit.MILLISECONDS.toNanos(1);
        }

        /** Publishes changes of one endpoint each; returns true if the last one is applied in time. */
        private boolean publishChanges(final int count) throws IOException {
            for (int index = 0; index < count; index++) {
                final EndpointEntry entry = list.get(index / 2 % list.size());
                history.change(List.of(entry.withHealth(
                        index % 2 == 0 ? EndpointEntry.Health.TERMINATING : EndpointEntry.Health.READY)));
                pause(CHANGE_PERIOD);
            }
            return count == 0 || courier.awaitListVersion(history.version(), CHANGES_TIMEOUT);
        }

        private ListSlopeResult.Start result(final Start start) {
            final List<ConnectionTraffic> traffic = discovery.traffic();
            long bytes = 0;
            int wholeLists = 0;
            for (int index = 0; index < traffic.size(); index++) {
                bytes += traffic.get(index).bytesOut();
                wholeLists += traffic.get(index).wholeLists();
                if (index < trafficBefore.size()) {
                    bytes -= trafficBefore.get(index).bytesOut();
                    wholeLists -= trafficBefore.get(index).wholeLists();
                }
            }
            return new ListSlopeResult.Start(
                    seconds(start.ready),
                    seconds(start.listed),
                    (System.nanoTime() - startNs) / NS_PER_SECOND,
                    bytes,
                    wholeLists,
                    traffic.size() - trafficBefore.size());
        }
    }
}
