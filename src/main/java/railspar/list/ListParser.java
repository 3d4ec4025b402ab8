package railspar.list;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import railspar.list.ListFormatException.Fault;

/**
 * Reads lists from bytes as they come, one JSON object after another, each over one line or several. It holds no
 * line: what an object has told so far is staged, and given away once the object is whole. An empty line between
 * objects says that the sender lives. After a fault it must not be fed again.
 */
public final class ListParser {
    /**
     * Bytes that an object may have, for each byte that there is to stage it: an entry has about three times as many
     * as it takes staged. What is skipped counts as well, or an object that never ends would be read for ever.
     */
    private static final int TOLD_PER_STAGED = 8;

    private static final int MOST_STRING_CHARS = 1 << 16;
    private static final int MOST_NAME_CHARS = 1 << 10;

    /** Where in the object the next token lies. */
    private enum Place {
        OUTSIDE,
        LIST,
        ENTRIES,
        ENTRY
    }

    /** Who hears what has been read. */
    public interface Listener {
        /** An object is whole. */
        void onList(StagedList list) throws IOException;

        /** An empty line between objects. */
        void onHeartbeat() throws IOException;

        /** An entry has no name; the others are not touched by that. */
        void onUnusableEntry(String problem);
    }

    private final Listener listener;
    private final long budgetBytes;
    private final JsonParser tokens;
    private final ByteArrayFeeder feeder;
    private final EntryReader entry = new EntryReader();

    private Place place = Place.OUTSIDE;
    private StagedList list;
    private String field = "";
    /** Depth of what is being skipped. */
    private int skipped;
    /** Bytes since the last object or empty line. */
    private long told;

    private boolean lineBlank = true;

    /** Reads for that listener, with so much heap at most for what is staged. */
    public ListParser(final long budgetBytes, final Listener listener) {
        this.listener = listener;
        this.budgetBytes = budgetBytes;
        try {
            this.tokens = factory().createNonBlockingByteArrayParser();
        } catch (final IOException e) {
            throw new IllegalStateException("a parser needs no input", e);
        }
        this.feeder = (ByteArrayFeeder) tokens.getNonBlockingInputFeeder();
    }

    /** A factory of its own for each parser: names that a sender makes up are forgotten with it. */
    private static JsonFactory factory() {
        return new JsonFactoryBuilder()
                .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxStringLength(MOST_STRING_CHARS)
                        .maxNameLength(MOST_NAME_CHARS)
                        .build())
                .build();
    }

    /** True while an object has begun and not ended. */
    public boolean isWithinObject() {
        return place != Place.OUTSIDE;
    }

    /** Takes the bytes that came next. */
    public void feed(final byte[] bytes, final int from, final int length) throws IOException {
        final int end = from + length;
        int at = from;
        while (at < end) {
            int next = at;
            while (next < end && bytes[next] != '\n') {
                lineBlank &= bytes[next] == ' ' || bytes[next] == '\r' || bytes[next] == '\t';
                next++;
            }
            final boolean lineEnds = next < end;
            next += lineEnds ? 1 : 0;
            count(next - at);
            parse(bytes, at, next);
            if (lineEnds) {
                endLine();
            }
            at = next;
        }
    }

    /** No more bytes come. */
    public void end() throws ListFormatException {
        if (isWithinObject()) {
            throw new ListFormatException(Fault.TRUNCATED, "it breaks off");
        }
    }

    private void count(final int bytes) throws ListFormatException {
        told += bytes;
        if (told > TOLD_PER_STAGED * budgetBytes) {
            throw new ListFormatException(Fault.TOO_LARGE, "more than " + TOLD_PER_STAGED * budgetBytes + " bytes");
        }
    }

    private void endLine() throws IOException {
        final boolean blank = lineBlank;
        lineBlank = true;
        if (!blank) {
            return;
        }
        if (isWithinObject()) {
            throw new ListFormatException(Fault.TRUNCATED, "an object breaks off");
        }
        told = 0;
        listener.onHeartbeat();
    }

    private void parse(final byte[] bytes, final int from, final int to) throws IOException {
        feeder.feedInput(bytes, from, to);
        try {
            JsonToken token = tokens.nextToken();
            while (token != null && token != JsonToken.NOT_AVAILABLE) {
                take(token);
                token = tokens.nextToken();
            }
        } catch (final JsonProcessingException e) {
            throw new ListFormatException(Fault.MALFORMED, e.getOriginalMessage());
        }
    }

    private void take(final JsonToken token) throws IOException {
        if (skipped > 0) {
            skipped += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
            return;
        }
        switch (place) {
            case OUTSIDE -> beginList(token);
            case LIST -> takeOfList(token);
            case ENTRIES -> takeOfEntries(token);
            default -> takeOfEntry(token);
        }
    }

    private void beginList(final JsonToken token) throws ListFormatException {
        if (token != JsonToken.START_OBJECT) {
            throw new ListFormatException(Fault.MALFORMED, "it is no object");
        }
        list = new StagedList(budgetBytes);
        place = Place.LIST;
    }

    private void takeOfList(final JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            field = tokens.currentName();
        } else if (token == JsonToken.END_OBJECT) {
            endList();
        } else if (token == JsonToken.START_ARRAY && field.equals("hosts")) {
            place = Place.ENTRIES;
            list.setHasEntries(true);
        } else if (token.isStructStart()) {
            skipped = 1;
        } else if (field.equals("seq")) {
            list.setVersion(tokens.getValueAsLong(StagedList.NO_VERSION));
        } else if (field.equals("whole")) {
            list.setFull(tokens.getValueAsBoolean());
        }
    }

    private void endList() throws IOException {
        final StagedList ended = list;
        list = null;
        place = Place.OUTSIDE;
        told = 0;
        if (ended.isFull() && !ended.hasEntries()) {
            throw new ListFormatException(Fault.MALFORMED, "a whole list without entries");
        }
        listener.onList(ended);
    }

    private void takeOfEntries(final JsonToken token) {
        if (token == JsonToken.END_ARRAY) {
            place = Place.LIST;
        } else if (token == JsonToken.START_OBJECT) {
            place = Place.ENTRY;
            entry.begin();
        } else {
            skipped = token.isStructStart() ? 1 : 0;
            listener.onUnusableEntry("an entry that is no object");
        }
    }

    private void takeOfEntry(final JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            field = tokens.currentName();
        } else if (token == JsonToken.END_OBJECT) {
            place = Place.ENTRIES;
            if (!entry.end(list)) {
                listener.onUnusableEntry(entry.problemText());
            }
        } else if (token.isStructStart()) {
            skipped = 1;
        } else {
            entry.readField(field, token, tokens);
        }
    }
}
