package railspar.node;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The messages that ended a short while ago and may have been carried out, so that one that is submitted again under
 * its id is not sent to an endpoint once more. Their number is limited; beyond the limit the oldest are forgotten.
 */
final class EndedMessages {
    /** How a message ended, and until when (persistent time) that is remembered. */
    record End(boolean delivered, long untilPersistentUs) {}

    /** A remembered message. */
    record Entry(String id, End end) {}

    private final int maxEntries;
    private final long maxIdChars;
    private final Map<String, End> ends = new LinkedHashMap<>();
    private long idChars;

    /** Remembers at most so many messages, with at most so many characters in all of their ids. */
    EndedMessages(final int maxEntries, final long maxIdChars) {
        this.maxEntries = maxEntries;
        this.maxIdChars = maxIdChars;
    }

    /** Remembers a message, and forgets those whose time is over. */
    void add(final String id, final End end, final long nowPersistentUs) {
        remove(id);
        ends.put(id, end);
        idChars += id.length();
        final Iterator<Map.Entry<String, End>> oldest = ends.entrySet().iterator();
        while (oldest.hasNext()) {
            final Map.Entry<String, End> entry = oldest.next();
            final boolean isOver = entry.getValue().untilPersistentUs() <= nowPersistentUs;
            if (!isOver && ends.size() <= maxEntries && idChars <= maxIdChars) {
                return;
            }
            idChars -= entry.getKey().length();
            oldest.remove();
        }
    }

    /** How a message ended; null if that is not remembered, or no longer. */
    End find(final String id, final long nowPersistentUs) {
        final End end = ends.get(id);
        return end == null || end.untilPersistentUs() <= nowPersistentUs ? null : end;
    }

    /** Forgets a message: one with the same id is open again. */
    void remove(final String id) {
        if (ends.remove(id) != null) {
            idChars -= id.length();
        }
    }

    /** All remembered messages, the oldest first. */
    Collection<Entry> entries() {
        return ends.entrySet().stream()
                .map(entry -> new Entry(entry.getKey(), entry.getValue()))
                .toList();
    }
}
