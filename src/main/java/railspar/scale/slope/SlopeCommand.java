package railspar.scale.slope;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The {@code slope} command: measures a figure at several sizes and fits a line to it. */
@Command(
        name = "slope",
        mixinStandardHelpOptions = true,
        description = "Measures in process how a cost grows with size, and fits a line by least squares.")
public final class SlopeCommand implements Callable<Integer> {
    /** Fewer sizes do not show whether the growth is linear. */
    static final int MIN_SIZES = 4;

    @Spec
    private CommandSpec spec;

    @Parameters(
            paramLabel = "NAME",
            description = "Name of the slope; an unknown name gives an error that lists the known ones.")
    private String name;

    @Option(
            names = "--sizes",
            split = ",",
            paramLabel = "N",
            description = "Four or more sizes, in place of the default sizes.")
    private List<Integer> sizes;

    @Option(names = "--rounds", defaultValue = "3", description = "Number of measurements of each size (default: 3).")
    private int rounds;

    @Option(
            names = "--commit",
            defaultValue = "unknown",
            description = "Commit of the measured code, recorded in the result.")
    private String commit;

    @Option(names = "--json", paramLabel = "FILE", description = "File for the result as JSON.")
    private Path json;

    private final Map<String, List<Series>> slopes;

    /** Creates the command with the slopes of this package. */
    public SlopeCommand() {
        this(SlopeCatalog.all());
    }

    /** Creates the command with the given slopes, by their names. */
    public SlopeCommand(final Map<String, List<Series>> slopes) {
        this.slopes = new TreeMap<>(slopes);
    }

    /** Runs this command alone. */
    public static void main(final String[] args) {
        System.exit(new CommandLine(new SlopeCommand()).execute(args));
    }

    @Override
    public Integer call() throws IOException {
        final List<Series> selectedSeries = selectedSeries();
        final PrintWriter out = spec.commandLine().getOut();
        final List<SeriesResult> results = new ArrayList<>();
        for (final Series series : selectedSeries) {
            final List<Integer> measured = sizes == null ? series.sizes() : sorted(sizes);
            final SeriesResult result = SeriesResult.measure(series, measured, rounds);
            results.add(result);
            out.println(result.table());
            out.flush();
        }
        if (json != null) {
            final int processors = Runtime.getRuntime().availableProcessors();
            new SlopeReport(commit, Runtime.version().toString(), processors, rounds, results).writeTo(json);
        }
        return CommandLine.ExitCode.OK;
    }

    private List<Series> selectedSeries() {
        final List<Series> selectedSeries = slopes.get(name);
        require(selectedSeries != null, "no slope is named '" + name + "'; the known names are " + slopes.keySet());
        require(rounds >= 1, "--rounds must be at least 1, not " + rounds);
        if (sizes != null) {
            require(
                    sizes.stream().distinct().count() >= MIN_SIZES,
                    "--sizes needs at least " + MIN_SIZES + " different sizes, not " + sizes);
            require(sizes.stream().allMatch(size -> size > 0), "--sizes must all be above 0, not " + sizes);
        }
        return selectedSeries;
    }

    private void require(final boolean satisfied, final String problem) {
        if (!satisfied) {
            throw new ParameterException(spec.commandLine(), problem);
        }
    }

    private static List<Integer> sorted(final List<Integer> sizes) {
        return sizes.stream().distinct().sorted(Comparator.naturalOrder()).toList();
    }
}
