package railspar.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import railspar.scale.fleet.Disturbances;
import railspar.scale.fleet.FleetFigures;
import railspar.scale.fleet.FleetParameters;
import railspar.scale.fleet.FleetRun;
import railspar.scale.fleet.Progress;
import railspar.scale.fleet.SurroundingsModel;
import railspar.scale.standin.FleetPlan;

/** Simulates a fleet of couriers; the defaults are the specified sizes, multiplied by the scale. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Simulates a fleet of couriers and prints the results. Options that are not given default to the"
                + " specified sizes; those that grow with the fleet are multiplied by --scale.")
final class RunCommand implements Callable<Integer> {
    private static final int SPECIFIED_COURIERS = 660;
    private static final int SPECIFIED_DESTINATIONS = 45_000;
    private static final double SPECIFIED_EVENTS_PER_SECOND = 88_000;
    private static final int SPECIFIED_RESTARTS = 77;
    private static final int REGIONS = 3;
    private static final int ZONES = 9;
    private static final int MAX_THREADS = 64;
    private static final int MAX_REAL_COURIERS = 4;
    private static final double NS_PER_SECOND = 1e9;
    private static final long PROGRESS_INTERVAL_NS = 5_000_000_000L;
    private static final double MS_PER_SECOND = 1e3;
    private static final double BYTES_PER_MB = 1e6;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--scale",
            defaultValue = "1",
            description = "Size of the fleet, as a share of the specified size (default: ${DEFAULT-VALUE}).")
    private double scale;

    @Option(names = "--couriers", description = "Number of couriers (660 x scale).")
    private Integer couriers;

    @Option(
            names = "--real",
            defaultValue = "0",
            description = "Number of real couriers to run after the simulated ones, in real time, 0 to "
                    + MAX_REAL_COURIERS + "; the project must be built (default: ${DEFAULT-VALUE}).")
    private int realCouriers;

    @Option(names = "--destinations", description = "Number of destinations (45,000 x scale).")
    private Integer destinations;

    @Option(
            names = "--endpoints-per-destination",
            defaultValue = "1.7",
            description = "Mean number of endpoints per destination (default: ${DEFAULT-VALUE}).")
    private double endpointsPerDestination;

    @Option(
            names = "--down",
            defaultValue = "0.043",
            description = "Share of the destinations that are down (default: ${DEFAULT-VALUE}).")
    private double downShare;

    @Option(
            names = "--destination-limit",
            defaultValue = "4",
            description = "Calls per second that a warm destination can handle (default: ${DEFAULT-VALUE}).")
    private double destinationLimit;

    @Option(names = "--events-per-second", description = "Messages per second, over all couriers (88,000 x scale).")
    private Double eventsPerSecond;

    @Option(
            names = "--changes-per-day",
            defaultValue = "2400",
            description = "Changes of the endpoint list per day (default: ${DEFAULT-VALUE}).")
    private double changesPerDay;

    @Option(
            names = "--seconds",
            defaultValue = "600",
            description = "Simulated seconds with messages, list changes and faults; 30 more follow"
                    + " (default: ${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--settle",
            defaultValue = "30",
            description = "Simulated seconds before those, with messages but without list changes or injected faults;"
                    + " all couriers fetch their first list (default: ${DEFAULT-VALUE}).")
    private double settleSeconds;

    @Option(names = "--restarts", description = "Number of times that a courier is killed and restarted (77 x scale).")
    private Integer restarts;

    @Option(
            names = "--discovery-outage",
            defaultValue = "8",
            description = "Duration in seconds of the one outage of discovery (default: ${DEFAULT-VALUE}).")
    private double discoveryOutage;

    @Option(
            names = "--silent-watches",
            defaultValue = "0.1",
            description = "Share of the watches that fall silent at the same time (default: ${DEFAULT-VALUE}).")
    private double silentWatches;

    @Option(
            names = "--cut-zone",
            defaultValue = "0",
            description = "The zone whose couriers are cut off, all at once; -1 for none (default: ${DEFAULT-VALUE}).")
    private int cutZone;

    @Option(
            names = "--cut-mode",
            defaultValue = "RESTART",
            description =
                    "What happens to the couriers of that zone: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE}).")
    private Disturbances.CutMode cutMode;

    @Option(
            names = "--cut-region",
            defaultValue = "-1",
            description = "The region that is partitioned from the others and the control machines after a quarter of"
                    + " the run; -1 for none (default: ${DEFAULT-VALUE}).")
    private int cutRegion;

    @Option(
            names = "--region-cut",
            defaultValue = "60",
            description = "Duration of that partition in seconds, at most half of the run (default: ${DEFAULT-VALUE}).")
    private double regionCutSeconds;

    @Option(
            names = "--control-machines",
            defaultValue = "3",
            description =
                    "Number of machines that send lists, each to a part of the couriers (default: ${DEFAULT-VALUE}).")
    private int controlMachines;

    @Option(
            names = "--control-line",
            defaultValue = "125",
            description = "Bandwidth of each of these machines in megabytes per second (default: ${DEFAULT-VALUE}).")
    private double controlMegabytesPerSecond;

    @Option(
            names = "--backlog",
            defaultValue = "0",
            description = "Open messages that each courier has at its first start (default: ${DEFAULT-VALUE}).")
    private int backlog;

    @Option(
            names = "--destinations-kept",
            defaultValue = "4000",
            description = "Maximum number of idle destinations whose learned state a courier keeps"
                    + " (default: ${DEFAULT-VALUE}).")
    private int destinationsKept;

    @Option(
            names = "--no-stored-list",
            description = "Couriers keep no copy of their list on disk, so a restarted courier begins without a list.")
    private boolean noStoredList;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Seed of all random decisions (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--threads",
            defaultValue = "2",
            description =
                    "Number of threads that simulate couriers; does not change the counts (default: ${DEFAULT-VALUE}).")
    private int threads;

    @Option(names = "--out", paramLabel = "FILE", description = "File to which the result is also written, as JSON.")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        final FleetParameters parameters = parameters();
        final long startNs = System.nanoTime();
        final FleetFigures figures = simulate(parameters);
        final double durationSeconds = (System.nanoTime() - startNs) / NS_PER_SECOND;
        figures.add("time that the run took", durationSeconds, "s", FleetFigures.Basis.MEASURED, null);
        if (realCouriers > 0) {
            RealCourierRun.run(
                    parameters.plan(),
                    realCouriers,
                    Duration.ofMillis(Math.round(discoveryOutage * MS_PER_SECOND)),
                    spec.commandLine().getErr(),
                    figures);
        }
        final RunResult result = RunResult.of(parameters, threads, figures);
        spec.commandLine().getOut().print(ResultTable.of(result));
        spec.commandLine().getOut().flush();
        if (out != null) {
            result.writeTo(out);
        }
        return figures.checksHold() ? 0 : 1;
    }

    private FleetFigures simulate(final FleetParameters parameters) throws IOException, InterruptedException {
        final Path folder = Files.createTempDirectory("scale-run");
        try {
            return new FleetRun(parameters, threads, folder).run(progress());
        } finally {
            deleteAll(folder);
        }
    }

    private static void deleteAll(final Path folder) throws IOException {
        final List<Path> paths;
        try (Stream<Path> walk = Files.walk(folder)) {
            paths = walk.sorted(Comparator.reverseOrder()).toList();
        }
        for (final Path path : paths) {
            Files.delete(path);
        }
    }

    private FleetParameters parameters() {
        require(scale > 0 && scale <= 10, "--scale must be above 0 and at most 10, not " + scale);
        require(
                realCouriers >= 0 && realCouriers <= MAX_REAL_COURIERS,
                "--real must lie between 0 and " + MAX_REAL_COURIERS + ", not " + realCouriers);
        require(threads >= 1 && threads <= MAX_THREADS, "--threads must lie between 1 and " + MAX_THREADS);
        require(
                out == null || out.toAbsolutePath().getParent().toFile().isDirectory(),
                "--out: the folder does not exist: " + out);
        try {
            return new FleetParameters(
                    plan(),
                    eventsPerSecond != null ? eventsPerSecond : SPECIFIED_EVENTS_PER_SECOND * scale,
                    changesPerDay,
                    seconds,
                    settleSeconds,
                    disturbances(),
                    backlog,
                    destinationsKept,
                    !noStoredList,
                    SurroundingsModel.DEFAULT.with(
                            destinationLimit,
                            new SurroundingsModel.Control(controlMachines, controlMegabytesPerSecond)));
        } catch (final IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        }
    }

    private Disturbances disturbances() {
        return new Disturbances(
                restarts != null ? restarts : scaled(SPECIFIED_RESTARTS),
                discoveryOutage,
                silentWatches,
                cutZone,
                cutMode,
                cutRegion,
                cutRegion == Disturbances.NONE ? 0 : regionCutSeconds);
    }

    private FleetPlan plan() {
        return new FleetPlan(
                couriers != null ? couriers : scaled(SPECIFIED_COURIERS),
                destinations != null ? destinations : scaled(SPECIFIED_DESTINATIONS),
                endpointsPerDestination,
                downShare,
                REGIONS,
                ZONES,
                seed);
    }

    private int scaled(final int specifiedSize) {
        return (int) Math.max(1, Math.round(specifiedSize * scale));
    }

    private void require(final boolean condition, final String message) {
        if (!condition) {
            throw new ParameterException(spec.commandLine(), message);
        }
    }

    /** Reports the progress of the run on standard error every few seconds. */
    private Progress progress() {
        final long[] reportedAtNs = {System.nanoTime()};
        return (simulatedSeconds, totalSeconds) -> {
            if (System.nanoTime() - reportedAtNs[0] >= PROGRESS_INTERVAL_NS) {
                reportedAtNs[0] = System.nanoTime();
                final Runtime runtime = Runtime.getRuntime();
                final double heapMb = (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MB;
                spec.commandLine()
                        .getErr()
                        .printf(
                                "%.0f of %.0f simulated seconds, heap %.0f MB%n",
                                simulatedSeconds, totalSeconds, heapMb);
                spec.commandLine().getErr().flush();
            }
        };
    }
}
