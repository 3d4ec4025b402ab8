package railspar.list;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Assigns numbers to texts that many entries share, such as the names of zones and kinds. */
final class TextDictionary {
    /** A number must fit into two bytes. */
    static final int MAX_TEXTS = 1 << 16;
    /** Estimated heap bytes of the map entry, the string object and the reference in the list. */
    private static final int OVERHEAD_BYTES_PER_TEXT = 120;

    private final Map<String, Integer> numbers = new HashMap<>();
    private final List<String> texts = new ArrayList<>();
    private long bytes;

    /** The number of a text; a new text is assigned the next number. */
    int numberOf(final String text) throws ListFormatException {
        final Integer known = numbers.get(text);
        if (known != null) {
            return known;
        }
        if (texts.size() == MAX_TEXTS) {
            throw new ListFormatException(
                    ListFormatException.Fault.TOO_LARGE, "more than " + MAX_TEXTS + " different zones or kinds");
        }
        numbers.put(text, texts.size());
        texts.add(text);
        bytes += OVERHEAD_BYTES_PER_TEXT + 2L * text.length();
        return texts.size() - 1;
    }

    String textOf(final int number) {
        return texts.get(number);
    }

    int size() {
        return texts.size();
    }

    /** Estimated heap bytes of the dictionary. */
    long bytes() {
        return bytes;
    }
}
