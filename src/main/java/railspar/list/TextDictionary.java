package railspar.list;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Numbers for texts that many entries share, such as the names of zones and kinds. */
final class TextDictionary {
    /** A number fits into two bytes. */
    static final int MOST_TEXTS = 1 << 16;
    /** Reckoned for an entry of the map, the text's object and its place in the list. */
    private static final int BYTES_PER_TEXT = 120;

    private final Map<String, Integer> numbers = new HashMap<>();
    private final List<String> texts = new ArrayList<>();
    private long bytes;

    /** The number of a text, which is given one if it has none. */
    int numberOf(final String text) throws ListFormatException {
        final Integer known = numbers.get(text);
        if (known != null) {
            return known;
        }
        if (texts.size() == MOST_TEXTS) {
            throw new ListFormatException(
                    ListFormatException.Fault.TOO_LARGE, "more than " + MOST_TEXTS + " different zones or kinds");
        }
        numbers.put(text, texts.size());
        texts.add(text);
        bytes += BYTES_PER_TEXT + 2L * text.length();
        return texts.size() - 1;
    }

    String textOf(final int number) {
        return texts.get(number);
    }

    int size() {
        return texts.size();
    }

    /** Heap that it takes, about. */
    long bytes() {
        return bytes;
    }
}
