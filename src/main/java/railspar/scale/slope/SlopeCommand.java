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
    /** Fewer sizes say nothing of whether the growth is a line. */
    static final int LEAST_SIZES = 4;

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "NAME", description = "Which slope; an unknown name is answered with the known ones.")
    private String name;

    @Option(
            names = "--sizes",
            split = ",",
            paramLabel = "N",
            description = "Four sizes or more, in place of the usual.")
    private List<Integer> sizes;

    @Option(names = "--rounds", defaultValue = "3", description = "Times that each size is measured (default: 3).")
    private int rounds;

    @Option(names = "--commit", defaultValue = "unknown", description = "The code measured, for the result.")
    private String commit;

    @Option(names = "--json", paramLabel = "FILE", description = "Where to write the result as JSON.")
    private Path json;

    private final Map<String, List<Series>> slopes;

    /** With the slopes of this package. */
    public SlopeCommand() {
        this(SlopeCatalog.all());
    }

    /** With slopes of the caller's, by their names. */
    public SlopeCommand(final Map<String, List<Series>> slopes) {
        this.slopes = new TreeMap<>(slopes);
    }

    /** Runs the command by itself. */
    public static void main(final String[] args) {
        System.exit(new CommandLine(new SlopeCommand()).execute(args));
    }

    @Override
    public Integer call() throws IOException {
        final List<Series> chosen = chosen();
        final PrintWriter out = spec.commandLine().getOut();
        final List<SeriesResult> results = new ArrayList<>();
        for (final Series series : chosen) {
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

    private List<Series> chosen() {
        final List<Series> chosen = slopes.get(name);
        require(chosen != null, "no slope is named '" + name + "'; there are " + slopes.keySet());
        require(rounds >= 1, "--rounds must be at least 1, not " + rounds);
        if (sizes != null) {
            require(
                    sizes.stream().distinct().count() >= LEAST_SIZES,
                    "--sizes needs at least " + LEAST_SIZES + " different sizes, not " + sizes);
            require(sizes.stream().allMatch(size -> size > 0), "--sizes must all be above 0, not " + sizes);
        }
        return chosen;
    }

    private void require(final boolean kept, final String problem) {
        if (!kept) {
            throw new ParameterException(spec.commandLine(), problem);
        }
    }

    private static List<Integer> sorted(final List<Integer> sizes) {
        return sizes.stream().distinct().sorted(Comparator.naturalOrder()).toList();
    }
}
