package railspar.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import railspar.list.ListParser;
import railspar.list.StagedList;

/**
 * The list of endpoints in the configuration. It may be many times larger than the rest of the configuration, so it is
 * not kept in memory but read from the file when it is needed. {@code length}: size of its JSON text in bytes.
 */
record ConfiguredList(Source source, long length) {
    private static final int CHUNK_BYTES = 1 << 14;

    /** Opens the JSON text at its first byte. */
    interface Source {
        InputStream open() throws IOException;
    }

    /** The version of the list, or {@link StagedList#NO_VERSION}; it is usually the first field of the list. */
    long version() throws IOException {
        long version = StagedList.NO_VERSION;
        try (InputStream in = source.open();
                JsonParser tokens = new JsonFactory().createParser(in)) {
            if (length == 0 || tokens.nextToken() != JsonToken.START_OBJECT) {
                return version;
            }
            for (String field = tokens.nextFieldName(); field != null; field = tokens.nextFieldName()) {
                tokens.nextToken();
                if (field.equals("seq")) {
                    version = tokens.getValueAsLong(version);
                    break;
                }
                tokens.skipChildren();
            }
        }
        return version;
    }

    /**
     * Reads the list; null if there is none.
     *
     * @param budgetBytes heap bytes that the list may take
     * @param unusable receives a description of each entry that cannot be used
     */
    StagedList read(final long budgetBytes, final Consumer<String> unusable) throws IOException {
        final ListHolder holder = new ListHolder(unusable);
        final ListParser parser = new ListParser(budgetBytes, holder);
        try (InputStream in = source.open()) {
            final byte[] chunk = new byte[CHUNK_BYTES];
            long remaining = length;
            while (remaining > 0) {
                final int read = in.read(chunk, 0, (int) Math.min(chunk.length, remaining));
                if (read < 0) {
                    break;
                }
                parser.feed(chunk, 0, read);
                remaining -= read;
            }
            parser.end();
        }
        return holder.list;
    }

    /** Stores the list that the parser has read. */
    private static final class ListHolder implements ListParser.Listener {
        private final Consumer<String> unusable;
        private StagedList list;

        ListHolder(final Consumer<String> unusable) {
            this.unusable = unusable;
        }

        @Override
        public void onList(final StagedList read) {
            list = read;
        }

        @Override
        public void onHeartbeat() {
            // Empty lines have no meaning in the configuration.
        }

        @Override
        public void onUnusableEntry(final String problem) {
            unusable.accept(problem);
        }
    }

    /** A configuration without a list. */
    static ConfiguredList none() {
        return new ConfiguredList(InputStream::nullInputStream, 0);
    }

    /** A list in memory. */
    static ConfiguredList of(final byte[] json) {
        return new ConfiguredList(() -> new ByteArrayInputStream(json), json.length);
    }

    /** A list between two byte positions of a file. */
    static ConfiguredList inFile(final Path file, final long from, final long to) {
        return new ConfiguredList(
                () -> {
                    final InputStream in = Files.newInputStream(file);
                    in.skipNBytes(from);
                    return in;
                },
                to - from);
    }
}
