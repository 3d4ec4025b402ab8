package railspar.scale;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.HdrHistogram.Histogram;
import railspar.scale.fleet.FleetFigures;
import railspar.scale.real.CourierConfiguration;
import railspar.scale.real.CourierLimits;
import railspar.scale.real.DeployFile;
import railspar.scale.real.ProcessSample;
import railspar.scale.real.RealCourier;
import railspar.scale.standin.ConnectionTraffic;
import railspar.scale.standin.DiscoveryServer;
import railspar.scale.standin.EndpointEntry;
import railspar.scale.standin.FleetPlan;
import railspar.scale.standin.ListHistory;
import railspar.scale.standin.LoopbackPorts;

/**
 * Measures a few real courier processes, started by the command in the deploy file, with the endpoint list of the plan:
 * their first start, idle time, list changes, an outage of discovery, and a start after SIGKILL. Each courier has its
 * own discovery agent; all agents serve the same list. The run takes place in real time. The couriers are queried one
 * after another, so with several of them a measured time is that of the last one.
 */
final class RealCourierRun {
    private static final int MEMORY_MB = 192;
    private static final int SOCKETS = 1024;
    /**
     * At the specified load the journal of a courier takes about a gigabyte; the stored list may use a small share of
     * the disk.
     */
    private static final int DISK_MB = 1024;

    private static final int MAX_OPEN_MESSAGES = 5_000;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration SETTLE_TIME = Duration.ofSeconds(3);
    private static final Duration IDLE_TIME = Duration.ofSeconds(10);
    private static final Duration CHANGE_INTERVAL = Duration.ofSeconds(1);
    private static final Duration RESTART_PAUSE = Duration.ofMillis(600);
    private static final int CHANGES = 10;
    private static final double NS_PER_SECOND = 1e9;
    private static final double BYTES_PER_MIB = 1 << 20;
    private static final int PERCENT = 100;

    private record Member(DiscoveryServer discovery, RealCourier courier) {}

    private final FleetPlan plan;
    private final Duration outage;
    private final PrintWriter progress;
    private final List<EndpointEntry> entries;
    private final ListHistory history;
    private final List<Member> members = new ArrayList<>();
    private final FleetFigures figures;
    private int changesMade;

    private RealCourierRun(
            final FleetPlan plan,
            final Duration outage,
            final PrintWriter progress,
            final InetSocketAddress endpointAddress,
            final FleetFigures figures) {
        this.plan = plan;
        this.outage = outage;
        this.progress = progress;
        this.entries = plan.endpoints(endpointAddress);
        this.history = new ListHistory(entries);
        this.figures = figures;
    }

    /** Runs this number of couriers of the plan and adds the measurements to the figures. */
    static void run(
            final FleetPlan plan,
            final int couriers,
            final Duration outage,
            final PrintWriter progress,
            final FleetFigures figures)
            throws IOException, InterruptedException {
        try (Socket refusingSocket = LoopbackPorts.bindRefusingSocket()) {
            final InetSocketAddress endpointAddress = (InetSocketAddress) refusingSocket.getLocalSocketAddress();
            final RealCourierRun run = new RealCourierRun(plan, outage, progress, endpointAddress, figures);
            try {
                for (int index = 0; index < couriers; index++) {
                    run.prepare(index);
                }
                run.measure();
            } finally {
                run.close();
            }
        }
    }

    private void prepare(final int index) throws IOException {
        final Path root = Path.of("").toAbsolutePath();
        final Path parent = Files.createDirectories(root.resolve("target").resolve("scale"));
        final DiscoveryServer discovery = new DiscoveryServer(history);
        final CourierConfiguration configuration = new CourierConfiguration(
                "n" + index,
                LoopbackPorts.findFreeAddress(),
                LoopbackPorts.findFreeAddress(),
                discovery.address(),
                new CourierLimits(MEMORY_MB, SOCKETS, DISK_MB, MAX_OPEN_MESSAGES),
                plan.couriers(),
                plan.zoneName(plan.zoneOfCourier(index)),
                plan.seed() + index);
        final Path folder = Files.createTempDirectory(parent, "run-");
        members.add(new Member(discovery, new RealCourier(DeployFile.runCommand(root), root, folder, configuration)));
    }

    private void close() throws IOException {
        for (final Member member : members) {
            member.courier().close();
            member.discovery().close();
        }
    }

    private void measure() throws IOException, InterruptedException {
        start("first start");
        Thread.sleep(SETTLE_TIME.toMillis());
        measureIdle();
        measureChanges();
        measureOutage();
        add("whole lists before the kill", wholeLists(), "", null);
        final long wholeListsBefore = wholeLists();
        for (final Member member : members) {
            member.courier().kill();
        }
        Thread.sleep(RESTART_PAUSE.toMillis());
        start("start after SIGKILL");
        add("whole lists after the kill", wholeLists() - wholeListsBefore, "", null);
    }

    private void add(final String name, final double value, final String unit, final Double max) {
        figures.add("real couriers: " + name, value, unit, FleetFigures.Basis.MEASURED, max);
    }

    private void start(final String name) throws IOException {
        progress.println("real couriers: " + name);
        progress.flush();
        for (final Member member : members) {
            member.courier().start();
        }
        double readySeconds = 0;
        double inForceSeconds = 0;
        for (final Member member : members) {
            readySeconds = Math.max(readySeconds, seconds(member.courier().awaitReady(START_TIMEOUT)));
            inForceSeconds =
                    Math.max(inForceSeconds, seconds(member.courier().awaitDiscovered(entries.size(), START_TIMEOUT)));
        }
        add(name + ", ready", readySeconds, "s", FleetFigures.MAX_READY_SECONDS);
        add(name + ", whole list in force", inForceSeconds, "s", FleetFigures.MAX_READY_SECONDS);
    }

    /** Seconds of a duration; infinite if the event did not happen. */
    private static double seconds(final Optional<Duration> duration) {
        return duration.map(length -> length.toNanos() / NS_PER_SECOND).orElse(Double.POSITIVE_INFINITY);
    }

    private void measureIdle() throws IOException, InterruptedException {
        final List<ProcessSample> before = samples();
        Thread.sleep(IDLE_TIME.toMillis());
        final List<ProcessSample> after = samples();
        double processorShare = 0;
        double peakBytes = 0;
        for (int index = 0; index < before.size(); index++) {
            processorShare = Math.max(processorShare, after.get(index).processorShareSince(before.get(index)));
            peakBytes = Math.max(peakBytes, after.get(index).peakResidentBytes());
        }
        add("idle, most of a core", PERCENT * processorShare, "% of a core", FleetFigures.MAX_CONTROL_CORE_PERCENT);
        add("resident memory, most so far", peakBytes / BYTES_PER_MIB, "MiB", (double) MEMORY_MB);
    }

    private List<ProcessSample> samples() throws IOException {
        final List<ProcessSample> samples = new ArrayList<>();
        for (final Member member : members) {
            samples.add(member.courier().sample());
        }
        return samples;
    }

    private void measureChanges() throws IOException, InterruptedException {
        progress.println("real couriers: changes");
        progress.flush();
        final Histogram inForceNs = new Histogram(3);
        for (int number = 0; number < CHANGES; number++) {
            Thread.sleep(CHANGE_INTERVAL.toMillis());
            inForceNs.recordValue((long) (NS_PER_SECOND * changeInForce()));
        }
        add("change in force, worst of " + CHANGES, inForceNs.getMaxValue() / NS_PER_SECOND, "s", inForceBound());
    }

    private static Double inForceBound() {
        return FleetFigures.MAX_IN_FORCE_SECONDS;
    }

    /** Seconds until a change is in force at all couriers; includes the full timeout of each one that missed it. */
    private double changeInForce() throws IOException {
        final EndpointEntry entry = entries.get(changesMade / 2 % entries.size());
        final boolean restore = changesMade++ % 2 == 1;
        final long startNs = System.nanoTime();
        final long version = history.change(
                List.of(entry.withHealth(restore ? EndpointEntry.Health.READY : EndpointEntry.Health.TERMINATING)));
        for (final Member member : members) {
            member.courier().awaitListVersion(version, IN_FORCE_TIMEOUT);
        }
        return (System.nanoTime() - startNs) / NS_PER_SECOND;
    }

    private void measureOutage() throws IOException {
        if (outage.isZero()) {
            return;
        }
        progress.println("real couriers: outage of discovery");
        progress.flush();
        members.forEach(member -> member.discovery().outage(outage));
        add("change made as an outage began, in force", changeInForce(), "s", inForceBound());
    }

    private long wholeLists() {
        return members.stream()
                .flatMap(member -> member.discovery().traffic().stream())
                .mapToLong(ConnectionTraffic::wholeLists)
                .sum();
    }
}
