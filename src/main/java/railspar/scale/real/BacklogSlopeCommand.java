package railspar.scale.real;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import railspar.scale.standin.DiscoveryServer;
import railspar.scale.standin.FleetPlan;
import railspar.scale.standin.ListHistory;
import railspar.scale.standin.LoopbackPorts;

/** Measures event a backlog costs one real courier, at several sizes of the backlog. */
@Command(
        name = "real-backlog",
        mixinStandardHelpOptions = true,
        description = "Starts one real courier for each size, submits messages for destinations that refuse"
                + " connections, and measures memory, journal size and the restart after a SIGKILL.")
public final class BacklogSlopeCommand implements Callable<Integer> {
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration SETTLE = Duration.ofSeconds(2);
    private static final Duration PROCESSOR_TIME_PERIOD = Duration.ofSeconds(5);
    private static final Duration RESTART_PAUSE = Duration.ofMillis(600);
    private static final int DISK_MB = 4096;
    private static final int MAX_OPEN = 100_000_000;
    private static final double ENDPOINTS_PER_DESTINATION = 1.7;
    private static final double BYTES_PER_MB = 1_000_000;
    private static final double NS_PER_SECOND = 1_000_000_000;
    private static final double PERCENT = 100;
    private static final String OUT_OF_MEMORY = "OutOfMemoryError";

    @Spec
    private CommandSpec spec;

    @Mixin
    private CourierOptions options;

    @Option(
            names = "--messages",
            split = ",",
            defaultValue = "1000,10000,40000,150000",
            description = "sizes to measure (default: ${DEFAULT-VALUE})")
    private int[] messages;

    @Option(
            names = "--destinations",
            defaultValue = "500",
            description = "destinations, all of which refuse connections (default: ${DEFAULT-VALUE})")
    private int destinations;

    @Option(
            names = "--clients",
            defaultValue = "16",
            description = "clients that submit messages (default: ${DEFAULT-VALUE})")
    private int clients;

    @Option(
            names = "--body-bytes",
            defaultValue = "212",
            description = "size of a message body (default: ${DEFAULT-VALUE})")
    private int bodyBytes;

    @Option(
            names = "--fill-timeout-seconds",
            defaultValue = "120",
            description = "time limit for submitting the messages of one size; the rest is not submitted"
                    + " (default: ${DEFAULT-VALUE})")
    private int fillTimeoutSeconds;

    /** Runs this command alone. */
    public static void main(final String[] args) {
        System.exit(new CommandLine(new BacklogSlopeCommand()).execute(args));
    }

    @Override
    public Integer call() throws IOException, InterruptedException, ExecutionException {
        options.check(spec);
        CourierOptions.requireAtLeast(spec, "--destinations", destinations, 1);
        CourierOptions.requireAtLeast(spec, "--clients", clients, 1);
        CourierOptions.requireAtLeast(spec, "--body-bytes", bodyBytes, 0);
        CourierOptions.requireAtLeast(spec, "--fill-timeout-seconds", fillTimeoutSeconds, 1);
        for (final int size : messages) {
            CourierOptions.requireAtLeast(spec, "--messages", size, 1);
        }
        final List<BacklogSlopeResult.Row> rows = new ArrayList<>();
        for (final int size : messages) {
            rows.add(measure(size));
            save(rows);
            progress(size, "done");
        }
        System.out.print(table(rows));
        return CommandLine.ExitCode.OK;
    }

    /** Called after each size, so that an interrupted run keeps the results measured so far. */
    private void save(final List<BacklogSlopeResult.Row> rows) throws IOException {
        if (options.output() != null) {
            ResultFile.write(
                    options.output(),
                    new BacklogSlopeResult(
                            options.memoryMb(),
                            destinations,
                            clients,
                            bodyBytes,
                            Runtime.getRuntime().availableProcessors(),
                            rows));
        }
    }

    private void progress(final int size, final String event) {
        spec.commandLine().getErr().println(spec.name() + ": " + size + " messages: " + event);
    }

    private BacklogSlopeResult.Row measure(final int size)
            throws IOException, InterruptedException, ExecutionException {
        try (Socket refusing = LoopbackPorts.bindRefusingSocket()) {
            final InetSocketAddress refusingAddress = (InetSocketAddress) refusing.getLocalSocketAddress();
            final FleetPlan plan = new FleetPlan(1, destinations, ENDPOINTS_PER_DESTINATION, 1, 1, 1, options.seed());
            try (DiscoveryServer discovery = new DiscoveryServer(new ListHistory(plan.endpoints(refusingAddress)));
                    RealCourier courier = options.courier("real-backlog", options.configuration(discovery, limits()))) {
                return measure(size, plan, discovery, courier);
            }
        }
    }

    private BacklogSlopeResult.Row measure(
            final int size, final FleetPlan plan, final DiscoveryServer discovery, final RealCourier courier)
            throws IOException, InterruptedException, ExecutionException {
        courier.start();
        if (courier.awaitReady(READY_TIMEOUT).isEmpty()
                || courier.awaitDiscovered(plan.endpointCount(), READY_TIMEOUT).isEmpty()) {
            throw new IOException("the courier did not become ready with its whole endpoint list in time; see its log: "
                    + courier.logFile());
        }
        final BacklogSlopeResult.HandInCounts handIn = new BacklogFiller(
                        courier.address(),
                        destinations,
                        bodyBytes,
                        size,
                        RESPONSE_TIMEOUT,
                        Duration.ofSeconds(fillTimeoutSeconds))
                .fill(clients);
        progress(size, "accepted " + handIn.takenOn() + ", rejected " + handIn.refused());
        Thread.sleep(SETTLE.toMillis());
        final Optional<ProcessSample> before = sample(courier);
        Thread.sleep(PROCESSOR_TIME_PERIOD.toMillis());
        final Optional<ProcessSample> after = sample(courier);
        final long outstanding = outstanding(courier);
        final boolean outOfMemory = ranOutOfMemory(courier);
        final boolean alive = courier.isAlive();
        courier.kill();
        final long journalBytes = courier.stateBytes();
        final int notices = discovery.outcomeCount();
        Thread.sleep(RESTART_PAUSE.toMillis());
        courier.start();
        final Optional<Duration> ready = courier.awaitReady(READY_TIMEOUT);
        progress(
                size,
                "ready after the restart: " + ready.map(Duration::toString).orElse("never"));
        return new BacklogSlopeResult.Row(
                size,
                handIn,
                after.map(sample -> sample.residentBytes() / BYTES_PER_MB).orElse(null),
                after.map(sample -> sample.peakResidentBytes() / BYTES_PER_MB).orElse(null),
                before.isPresent() && after.isPresent() ? (Double) after.get().processorShareSince(before.get()) : null,
                journalBytes,
                outstanding,
                notices,
                outOfMemory,
                alive,
                ready.map(length -> length.toNanos() / NS_PER_SECOND).orElse(null),
                outstanding(courier),
                ranOutOfMemory(courier),
                courier.isAlive());
    }

    private CourierLimits limits() {
        return new CourierLimits(options.memoryMb(), CourierLimits.DEFAULT.sockets(), DISK_MB, MAX_OPEN);
    }

    private static Optional<ProcessSample> sample(final RealCourier courier) throws IOException {
        return courier.isAlive() ? Optional.of(courier.sample()) : Optional.empty();
    }

    private static long outstanding(final RealCourier courier) {
        try {
            return courier.management().outstanding();
        } catch (final IOException e) {
            // The process has ended or does not answer.
            return -1;
        }
    }

    private static boolean ranOutOfMemory(final RealCourier courier) throws IOException {
        return courier.logSinceStart().stream().anyMatch(line -> line.contains(OUT_OF_MEMORY));
    }

    private static String table(final List<BacklogSlopeResult.Row> rows) {
        final TextTable table = new TextTable(
                "messages",
                "taken on",
                "refused",
                "no answer",
                "not handed in",
                "ms each",
                "p99 ms",
                "resident MB",
                "peak MB",
                "core %",
                "journal MB",
                "outstanding",
                "notices",
                "out of memory",
                "killed: ready s",
                "outstanding",
                "out of memory");
        for (final BacklogSlopeResult.Row row : rows) {
            table.row(
                    Integer.toString(row.messages()),
                    Integer.toString(row.handIn().takenOn()),
                    Integer.toString(row.handIn().refused()),
                    Integer.toString(row.handIn().noAnswer()),
                    Integer.toString(row.handIn().notHandedIn()),
                    TextTable.number(row.handIn().millisEach(), "%.2f"),
                    TextTable.number(row.handIn().p99Ms(), "%.1f"),
                    TextTable.number(row.residentMb(), "%.0f"),
                    TextTable.number(row.peakResidentMb(), "%.0f"),
                    TextTable.number(row.processorShare() == null ? null : PERCENT * row.processorShare(), "%.1f"),
                    TextTable.number(row.journalBytes() / BYTES_PER_MB, "%.1f"),
                    Long.toString(row.outstanding()),
                    Integer.toString(row.notices()),
                    row.outOfMemory() ? "yes" : "no",
                    TextTable.number(row.readyAfterKillSeconds(), "%.2f"),
                    Long.toString(row.outstandingAfterKill()),
                    row.outOfMemoryAfterKill() ? "yes" : "no");
        }
        return table.toString();
    }
}
