package railspar.scale;

import java.util.Locale;
import railspar.scale.fleet.FleetFigures;

/** Formats the result of a run as a text table. */
final class ResultTable {
    private static final String ROW = "%-54s %14s %-12s %-10s %10s  %s%n";
    private static final double MIN_WITHOUT_DECIMALS = 1_000;

    private ResultTable() {}

    static String of(final RunResult result) {
        final StringBuilder table = new StringBuilder();
        table.append(row("figure", "value", "unit", "basis", "at most", "met"));
        for (final FleetFigures.Figure figure : result.figures()) {
            final String basis = figure.basis().name().toLowerCase(Locale.ROOT);
            final String max = figure.most() == null ? "" : number(figure.most());
            final String met = figure.most() == null ? "" : yesOrNo(figure.met());
            table.append(row(figure.name(), number(figure.value()), figure.unit(), basis, max, met));
        }
        table.append(row("check", "expected", "", "", "found", "holds"));
        for (final FleetFigures.Check check : result.checks()) {
            table.append(
                    row(check.name(), number(check.expected()), "", "", number(check.found()), yesOrNo(check.holds())));
        }
        return table.toString();
    }

    private static String row(final Object... cells) {
        return String.format(Locale.ROOT, ROW, cells);
    }

    private static String yesOrNo(final boolean value) {
        return value ? "yes" : "NO";
    }

    private static String number(final double value) {
        final boolean whole = value == Math.rint(value) || Math.abs(value) >= MIN_WITHOUT_DECIMALS;
        return String.format(Locale.ROOT, whole ? "%,.0f" : "%.3f", value);
    }
}
