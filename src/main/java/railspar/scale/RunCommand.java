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

/** Plays a fleet of hollow couriers; the defaults are the target's figures, times the scale. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Plays a fleet of couriers and prints what was measured. What is not given is the target's"
                + " figure, times --scale where it grows with the fleet.")
final class RunCommand implements Callable<Integer> {
    private static final int TARGET_COURIERS = 660;
    private static final int TARGET_DESTINATIONS = 45_000;
    private static final double TARGET_EVENTS_PER_SECOND = 88_000;
    private static final int TARGET_RESTARTS = 77;
    private static final int REGIONS = 3;
    private static final int ZONES = 9;
    private static final int MOST_THREADS = 64;
    private static final int MOST_REAL_COURIERS = 4;
    private static final double NS_PER_SECOND = 1e9;
    private static final long PROGRESS_EVERY_NS = 5_000_000_000L;
    private static final double MS_PER_SECOND = 1e3;
    private static final double BYTES_PER_MB = 1e6;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--scale",
            defaultValue = "1",
            description = "Share of the target's size (default: ${DEFAULT-VALUE}).")
    private double scale;

    @Option(names = "--couriers", description = "Couriers (660 x scale).")
    private Integer couriers;

    @Option(
            names = "--real",
            defaultValue = "0",
            description = "Real couriers that are played after the hollow ones, in real time, 0 to "
                    + MOST_REAL_COURIERS + "; the project must be built (default: ${DEFAULT-VALUE}).")
    private int realCouriers;

    @Option(names = "--destinations", description = "Destinations (45,000 x scale).")
    private Integer destinations;

    @Option(
            names = "--endpoints-per-destination",
            defaultValue = "1.7",
            description = "Mean endpoints of a destination (default: ${DEFAULT-VALUE}).")
    private double endpointsPerDestination;

    @Option(
            names = "--down",
            defaultValue = "0.043",
            description = "Share of the destinations that is down (default: ${DEFAULT-VALUE}).")
    private double down;

    @Option(
            names = "--destination-limit",
            defaultValue = "4",
            description = "Calls a second that a warm destination bears (default: ${DEFAULT-VALUE}).")
    private double destinationLimit;

    @Option(names = "--events-per-second", description = "Messages a second, all couriers (88,000 x scale).")
    private Double eventsPerSecond;

    @Option(
            names = "--changes-per-day",
            defaultValue = "2400",
            description = "Changes of the list a day (default: ${DEFAULT-VALUE}).")
    private double changesPerDay;

    @Option(
            names = "--seconds",
            defaultValue = "600",
            description = "Simulated seconds in which messages come; 30 more follow (default: ${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--settle",
            defaultValue = "30",
            description = "Simulated seconds before those, in which messages come but nothing goes wrong: all couriers"
                    + " fetch their first list (default: ${DEFAULT-VALUE}).")
    private double settleSeconds;

    @Option(names = "--restarts", description = "Couriers killed and started again during the run (77 x scale).")
    private Integer restarts;

    @Option(
            names = "--discovery-outage",
            defaultValue = "8",
            description = "Seconds for which discovery is silent, once (default: ${DEFAULT-VALUE}).")
    private double discoveryOutage;

    @Option(
            names = "--silent-watches",
            defaultValue = "0.1",
            description = "Share of the watches that fall silent at one moment (default: ${DEFAULT-VALUE}).")
    private double silentWatches;

    @Option(
            names = "--cut-zone",
            defaultValue = "0",
            description = "The zone whose couriers are cut off at one moment; -1 for none (default: ${DEFAULT-VALUE}).")
    private int cutZone;

    @Option(
            names = "--cut-mode",
            defaultValue = "RESTART",
            description = "What happens to them: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE}).")
    private Disturbances.CutMode cutMode;

    @Option(
            names = "--cut-region",
            defaultValue = "-1",
            description = "The region that is cut off from the others and from the control machines at a quarter of the"
                    + " run; -1 for none (default: ${DEFAULT-VALUE}).")
    private int cutRegion;

    @Option(
            names = "--region-cut",
            defaultValue = "60",
            description = "Seconds for which it is cut off, half of the run at most (default: ${DEFAULT-VALUE}).")
    private double regionCutSeconds;

    @Option(
            names = "--control-machines",
            defaultValue = "3",
            description = "Machines that send lists, each to its part of the couriers (default: ${DEFAULT-VALUE}).")
    private int controlMachines;

    @Option(
            names = "--control-line",
            defaultValue = "125",
            description = "Megabytes a second that each of them sends at most (default: ${DEFAULT-VALUE}).")
    private double controlMegabytesPerSecond;

    @Option(
            names = "--backlog",
            defaultValue = "0",
            description = "Messages that each courier holds when it first starts (default: ${DEFAULT-VALUE}).")
    private int backlog;

    @Option(
            names = "--destinations-kept",
            defaultValue = "4000",
            description = "Destinations at rest of which a courier keeps what it has learned, at most"
                    + " (default: ${DEFAULT-VALUE}).")
    private int destinationsKept;

    @Option(
            names = "--no-stored-list",
            description = "Couriers keep no copy of their list on disk; a restarted one begins without.")
    private boolean noStoredList;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Decides all that is random (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--threads",
            defaultValue = "2",
            description = "Threads that step couriers; does not change the counts (default: ${DEFAULT-VALUE}).")
    private int threads;

    @Option(names = "--out", paramLabel = "FILE", description = "Also writes the result there, as JSON.")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        final FleetParameters parameters = parameters();
        final long startNs = System.nanoTime();
        final FleetFigures figures = play(parameters);
        final double tookSeconds = (System.nanoTime() - startNs) / NS_PER_SECOND;
        figures.add("time that the run took", tookSeconds, "s", FleetFigures.Basis.MEASURED, null);
        if (realCouriers > 0) {
            RealCourierRun.play(
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

    private FleetFigures play(final FleetParameters parameters) throws IOException, InterruptedException {
        final Path folder = Files.createTempDirectory("scale-run");
        try {
            return new FleetRun(parameters, threads, folder).play(progress());
        } finally {
            deleteAll(folder);
        }
    }

    private static void deleteAll(final Path folder) throws IOException {
        final List<Path> found;
        try (Stream<Path> walk = Files.walk(folder)) {
            found = walk.sorted(Comparator.reverseOrder()).toList();
        }
        for (final Path path : found) {
            Files.delete(path);
        }
    }

    private FleetParameters parameters() {
        require(scale > 0 && scale <= 10, "--scale lies above 0 and up to 10, not " + scale);
        require(
                realCouriers >= 0 && realCouriers <= MOST_REAL_COURIERS,
                "--real lies from 0 to " + MOST_REAL_COURIERS + ", not " + realCouriers);
        require(threads >= 1 && threads <= MOST_THREADS, "--threads lies from 1 to " + MOST_THREADS);
        require(
                out == null || out.toAbsolutePath().getParent().toFile().isDirectory(),
                "--out: no such folder: " + out);
        try {
            return new FleetParameters(
                    plan(),
                    eventsPerSecond != null ? eventsPerSecond : TARGET_EVENTS_PER_SECOND * scale,
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
                restarts != null ? restarts : scaled(TARGET_RESTARTS),
                discoveryOutage,
                silentWatches,
                cutZone,
                cutMode,
                cutRegion,
                cutRegion == Disturbances.NONE ? 0 : regionCutSeconds);
    }

    private FleetPlan plan() {
        return new FleetPlan(
                couriers != null ? couriers : scaled(TARGET_COURIERS),
                destinations != null ? destinations : scaled(TARGET_DESTINATIONS),
                endpointsPerDestination,
                down,
                REGIONS,
                ZONES,
                seed);
    }

    private int scaled(final int target) {
        return (int) Math.max(1, Math.round(target * scale));
    }

    private void require(final boolean kept, final String problem) {
        if (!kept) {
            throw new ParameterException(spec.commandLine(), problem);
        }
    }

    /** Says on standard error every few seconds how far the run is. */
    private Progress progress() {
        final long[] saidAtNs = {System.nanoTime()};
        return (at, of) -> {
            if (System.nanoTime() - saidAtNs[0] >= PROGRESS_EVERY_NS) {
                saidAtNs[0] = System.nanoTime();
                final Runtime runtime = Runtime.getRuntime();
                final double heapMb = (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MB;
                spec.commandLine().getErr().printf("%.0f of %.0f simulated seconds, heap %.0f MB%n", at, of, heapMb);
                spec.commandLine().getErr().flush();
            }
        };
    }
}
