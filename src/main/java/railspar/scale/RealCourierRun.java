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
 * A few real couriers, as processes by the deploy file's command, before the list of the plan: their first start,
 * idle time, changes, an outage of discovery, and a start after SIGKILL. Each has discovery at an agent of its own;
 * all agents have one list. In real time; they are asked one after another, so with several a time is the last
 * one's.
 */
final class RealCourierRun {
    private static final int MEMORY_MB = 192;
    private static final int SOCKETS = 1024;
    /**
     * In the target the journal of a courier takes about a gigabyte; the stored list has a small share of the disk.
     */
    private static final int DISK_MB = 1024;

    private static final int MOST_OPEN = 5_000;
    private static final Duration MOST_START = Duration.ofSeconds(60);
    private static final Duration MOST_IN_FORCE = Duration.ofSeconds(30);
    private static final Duration SETTLE = Duration.ofSeconds(3);
    private static final Duration IDLE = Duration.ofSeconds(10);
    private static final Duration BETWEEN_CHANGES = Duration.ofSeconds(1);
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
    private int changed;

    private RealCourierRun(
            final FleetPlan plan,
            final Duration outage,
            final PrintWriter progress,
            final InetSocketAddress dial,
            final FleetFigures figures) {
        this.plan = plan;
        this.outage = outage;
        this.progress = progress;
        this.entries = plan.endpoints(dial);
        this.history = new ListHistory(entries);
        this.figures = figures;
    }

    /** Plays so many couriers of the plan and adds what was measured to the figures. */
    static void play(
            final FleetPlan plan,
            final int couriers,
            final Duration outage,
            final PrintWriter progress,
            final FleetFigures figures)
            throws IOException, InterruptedException {
        try (Socket refusing = LoopbackPorts.bindRefusingSocket()) {
            final InetSocketAddress dial = (InetSocketAddress) refusing.getLocalSocketAddress();
            final RealCourierRun run = new RealCourierRun(plan, outage, progress, dial, figures);
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
                new CourierLimits(MEMORY_MB, SOCKETS, DISK_MB, MOST_OPEN),
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
        Thread.sleep(SETTLE.toMillis());
        measureIdle();
        measureChanges();
        measureOutage();
        add("whole lists before the kill", wholeLists(), "", null);
        final long before = wholeLists();
        for (final Member member : members) {
            member.courier().kill();
        }
        Thread.sleep(RESTART_PAUSE.toMillis());
        start("start after SIGKILL");
        add("whole lists after the kill", wholeLists() - before, "", null);
    }

    private void add(final String name, final double value, final String unit, final Double most) {
        figures.add("real couriers: " + name, value, unit, FleetFigures.Basis.MEASURED, most);
    }

    private void start(final String name) throws IOException {
        progress.println("real couriers: " + name);
        progress.flush();
        for (final Member member : members) {
            member.courier().start();
        }
        double ready = 0;
        double inForce = 0;
        for (final Member member : members) {
            ready = Math.max(ready, seconds(member.courier().awaitReady(MOST_START)));
            inForce = Math.max(inForce, seconds(member.courier().awaitDiscovered(entries.size(), MOST_START)));
        }
        add(name + ", ready", ready, "s", FleetFigures.READY_SECONDS);
        add(name + ", whole list in force", inForce, "s", FleetFigures.READY_SECONDS);
    }

    /** Infinite for what did not come. */
    private static double seconds(final Optional<Duration> duration) {
        return duration.map(length -> length.toNanos() / NS_PER_SECOND).orElse(Double.POSITIVE_INFINITY);
    }

    private void measureIdle() throws IOException, InterruptedException {
        final List<ProcessSample> before = samples();
        Thread.sleep(IDLE.toMillis());
        final List<ProcessSample> after = samples();
        double share = 0;
        double peak = 0;
        for (int index = 0; index < before.size(); index++) {
            share = Math.max(share, after.get(index).processorShareSince(before.get(index)));
            peak = Math.max(peak, after.get(index).peakResidentBytes());
        }
        add("idle, most of a core", PERCENT * share, "% of a core", FleetFigures.CONTROL_CORE_PERCENT);
        add("resident memory, most so far", peak / BYTES_PER_MIB, "MiB", (double) MEMORY_MB);
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
            Thread.sleep(BETWEEN_CHANGES.toMillis());
            inForceNs.recordValue((long) (NS_PER_SECOND * changeInForce()));
        }
        add("change in force, worst of " + CHANGES, inForceNs.getMaxValue() / NS_PER_SECOND, "s", inForceBound());
    }

    private static Double inForceBound() {
        return FleetFigures.IN_FORCE_SECONDS;
    }

    /** Seconds until a change is in force at all of them; that of the longest wait, where it did not come. */
    private double changeInForce() throws IOException {
        final EndpointEntry entry = entries.get(changed / 2 % entries.size());
        final boolean back = changed++ % 2 == 1;
        final long fromNs = System.nanoTime();
        final long version = history.change(
                List.of(entry.withHealth(back ? EndpointEntry.Health.READY : EndpointEntry.Health.TERMINATING)));
        for (final Member member : members) {
            member.courier().awaitListVersion(version, MOST_IN_FORCE);
        }
        return (System.nanoTime() - fromNs) / NS_PER_SECOND;
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
