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
 * The list of endpoints that the configuration holds. It may be many times larger than all the rest, so it is never
 * held whole, but read from the file when it is needed. {@code length}: bytes of it, from where its text opens.
 */
record ConfiguredList(Source source, long length) {
    private static final int CHUNK_BYTES = 1 << 14;

    /** Opens the text at its first byte. */
    interface Source {
        InputStream open() throws IOException;
    }

    /** Its version, or the lowest number where it tells none; it is mostly the first of its fields. */
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
     * Reads it; null where there is none.
     *
     * @param budgetBytes heap that it may take
     * @param unusable hears of entries that cannot be used
     */
    StagedList read(final long budgetBytes, final Consumer<String> unusable) throws IOException {
        final Lists lists = new Lists(unusable);
        final ListParser parser = new ListParser(budgetBytes, lists);
        try (InputStream in = source.open()) {
            final byte[] chunk = new byte[CHUNK_BYTES];
            long left = length;
            while (left > 0) {
                final int read = in.read(chunk, 0, (int) Math.min(chunk.length, left));
                if (read < 0) {
                    break;
                }
                parser.feed(chunk, 0, read);
                left -= read;
            }
            parser.end();
        }
        return lists.list;
    }

    /** Keeps the one list that there is. */
    private static final class Lists implements ListParser.Listener {
        private final Consumer<String> unusable;
        private StagedList list;

        Lists(final Consumer<String> unusable) {
            this.unusable = unusable;
        }

        @Override
        public void onList(final StagedList read) {
            list = read;
        }

        @Override
        public void onHeartbeat() {
            // An empty line means nothing here.
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

    /** A list that is at hand. */
    static ConfiguredList of(final byte[] json) {
        return new ConfiguredList(() -> new ByteArrayInputStream(json), json.length);
    }

    /** A list that lies between two positions of a file. */
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
