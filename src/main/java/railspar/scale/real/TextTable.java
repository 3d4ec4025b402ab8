package railspar.scale.real;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A text table with aligned columns. */
final class TextTable {
    private static final String MISSING_VALUE = "never";

    private final List<String[]> rows = new ArrayList<>();

    TextTable(final String... headings) {
        rows.add(headings);
    }

    void row(final String... cells) {
        rows.add(cells);
    }

    /** A number in the given format, or "never" for null. */
    static String number(final Double value, final String format) {
        return value == null ? MISSING_VALUE : String.format(Locale.ROOT, format, value);
    }

    @Override
    public String toString() {
        final int columns = rows.get(0).length;
        final int[] widths = new int[columns];
        for (final String[] row : rows) {
            for (int column = 0; column < columns; column++) {
                widths[column] = Math.max(widths[column], row[column].length());
            }
        }
        final StringBuilder text = new StringBuilder();
        for (final String[] row : rows) {
            for (int column = 0; column < columns; column++) {
                text.append(column == 0 ? "" : "  ")
                        .append(" ".repeat(widths[column] - row[column].length()))
                        .append(row[column]);
            }
            text.append('\n');
        }
        return text.toString();
    }
}
