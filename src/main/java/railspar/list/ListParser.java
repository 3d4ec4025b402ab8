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
 * Incremental parser for a stream of lists: JSON objects one after another, each on one or several lines. It does not
 * buffer lines: entries are staged as they are read, and the list is passed on once its object is complete. An empty
 * line between objects is a heartbeat. After it has thrown an exception, the parser must not be fed again.
 */
public final class ListParser {
    /**
     * Input bytes that an object may have for each byte of the staging budget. An entry takes about three times as
     * many bytes in the input as staged. Skipped input counts as well, or an object that never ends would be read
     * forever.
     */
    private static final int INPUT_BYTES_PER_STAGED_BYTE = 8;

    private static final int MAX_STRING_CHARS = 1 << 16;
    private static final int MAX_FIELD_NAME_CHARS = 1 << 10;

    /** The part of the input that the next token belongs to. */
    private enum Context {
        OUTSIDE,
        LIST,
        ENTRIES,
        ENTRY
    }

    /** Receives what the parser has read. */
    public interface Listener {
        /** A list has been read completely. */
        void onList(StagedList list) throws IOException;

        /** An empty line between objects has been read. */
        void onHeartbeat() throws IOException;

        /** An entry is not an object or has no usable name; the other entries of the list are kept. */
        void onUnusableEntry(String problem);
    }

    private final Listener listener;
    private final long budgetBytes;
    private final JsonParser tokens;
    private final ByteArrayFeeder feeder;
    private final EntryReader entryReader = new EntryReader();

    private Context context = Context.OUTSIDE;
    private StagedList list;
    private String field = "";
    /** Nesting depth inside a value that is being skipped; 0 while nothing is skipped. */
    private int skipDepth;
    /** Bytes read since the last complete object or empty line. */
    private long inputBytes;

    private boolean lineBlank = true;

    /** Creates a parser that uses at most {@code budgetBytes} of heap for the list that it is reading. */
    public ListParser(final long budgetBytes, final Listener listener) {
        this.listener = listener;
        this.budgetBytes = budgetBytes;
        try {
            this.tokens = factory().createNonBlockingByteArrayParser();
        } catch (final IOException e) {
            throw new IllegalStateException("creating a parser without input failed", e);
        }
        this.feeder = (ByteArrayFeeder) tokens.getNonBlockingInputFeeder();
    }

    /** Each parser has its own factory: its cache of field names, which the sender chooses, is freed with it. */
    private static JsonFactory factory() {
        return new JsonFactoryBuilder()
                .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxStringLength(MAX_STRING_CHARS)
                        .maxNameLength(MAX_FIELD_NAME_CHARS)
                        .build())
                .build();
    }

    /** True while an object has begun and is not complete. */
    public boolean isWithinObject() {
        return context != Context.OUTSIDE;
    }

    /** Parses the next bytes of the input. */
    public void feed(final byte[] bytes, final int from, final int length) throws IOException {
        final int end = from + length;
        int start = from;
        while (start < end) {
            int next = start;
            while (next < end && bytes[next] != '\n') {
                lineBlank &= bytes[next] == ' ' || bytes[next] == '\r' || bytes[next] == '\t';
                next++;
            }
            final boolean lineEnds = next < end;
            next += lineEnds ? 1 : 0;
            countInput(next - start);
            parse(bytes, start, next);
            if (lineEnds) {
                endLine();
            }
            start = next;
        }
    }

    /** Ends the input; an incomplete object is an error. */
    public void end() throws ListFormatException {
        if (isWithinObject()) {
            throw new ListFormatException(Fault.TRUNCATED, "it ends before its JSON object is complete");
        }
    }

    private void countInput(final int bytes) throws ListFormatException {
        inputBytes += bytes;
        if (inputBytes > INPUT_BYTES_PER_STAGED_BYTE * budgetBytes) {
            throw new ListFormatException(
                    Fault.TOO_LARGE,
                    "it has more than " + INPUT_BYTES_PER_STAGED_BYTE * budgetBytes
                            + " bytes without a complete object");
        }
    }

    private void endLine() throws IOException {
        final boolean blank = lineBlank;
        lineBlank = true;
        if (!blank) {
            return;
        }
        if (isWithinObject()) {
            throw new ListFormatException(Fault.TRUNCATED, "an empty line comes before its JSON object is complete");
        }
        inputBytes = 0;
        listener.onHeartbeat();
    }

    private void parse(final byte[] bytes, final int from, final int to) throws IOException {
        feeder.feedInput(bytes, from, to);
        try {
            JsonToken token = tokens.nextToken();
            while (token != null && token != JsonToken.NOT_AVAILABLE) {
                onToken(token);
                token = tokens.nextToken();
            }
        } catch (final JsonProcessingException e) {
            throw new ListFormatException(Fault.MALFORMED, e.getOriginalMessage());
        }
    }

    private void onToken(final JsonToken token) throws IOException {
        if (skipDepth > 0) {
            skipDepth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
            return;
        }
        switch (context) {
            case OUTSIDE -> beginList(token);
            case LIST -> onListToken(token);
            case ENTRIES -> onEntriesToken(token);
            default -> onEntryToken(token);
        }
    }

    private void beginList(final JsonToken token) throws ListFormatException {
        if (token != JsonToken.START_OBJECT) {
            throw new ListFormatException(Fault.MALFORMED, "it is not a JSON object");
        }
        list = new StagedList(budgetBytes);
        context = Context.LIST;
    }

    private void onListToken(final JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            field = tokens.currentName();
        } else if (token == JsonToken.END_OBJECT) {
            endList();
        } else if (token == JsonToken.START_ARRAY && field.equals("hosts")) {
            context = Context.ENTRIES;
            list.setHasEntries(true);
        } else if (token.isStructStart()) {
            skipDepth = 1;
        } else if (field.equals("seq")) {
            list.setVersion(tokens.getValueAsLong(StagedList.NO_VERSION));
        } else if (field.equals("whole")) {
            list.setFull(tokens.getValueAsBoolean());
        }
    }

    private void endList() throws IOException {
        final StagedList complete = list;
        list = null;
        context = Context.OUTSIDE;
        inputBytes = 0;
        if (complete.isFull() && !complete.hasEntries()) {
            throw new ListFormatException(Fault.MALFORMED, "it is a full list without 'hosts'");
        }
        listener.onList(complete);
    }

    private void onEntriesToken(final JsonToken token) {
        if (token == JsonToken.END_ARRAY) {
            context = Context.LIST;
        } else if (token == JsonToken.START_OBJECT) {
            context = Context.ENTRY;
            entryReader.begin();
        } else {
            skipDepth = token.isStructStart() ? 1 : 0;
            listener.onUnusableEntry("it is not a JSON object");
        }
    }

    private void onEntryToken(final JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            field = tokens.currentName();
        } else if (token == JsonToken.END_OBJECT) {
            context = Context.ENTRIES;
            if (!entryReader.end(list)) {
                listener.onUnusableEntry(entryReader.problemText());
            }
        } else if (token.isStructStart()) {
            skipDepth = 1;
        } else {
            entryReader.readField(field, token, tokens);
        }
    }
}
