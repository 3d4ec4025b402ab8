package railspar.list;

import java.io.BufferedInputStream;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads a stored list: its base, and each change behind it that is whole. Nothing is written. */
final class StoredList {
    /** Entries of one record or of one change, staged. */
    private static final long STAGED_BYTES = Integer.MAX_VALUE;

    private final EndpointTable table = new EndpointTable();
    private final StagedEntry entry = new StagedEntry();
    private StagedList change = new StagedList(STAGED_BYTES);
    private long position;
    private long snapshotBytes;
    private long completeBytes;

    /** Why a stored list cannot be used. */
    static final class UnusableException extends IOException {
        private static final long serialVersionUID = 1L;

        UnusableException(final String reason) {
            super(reason);
        }
    }

    private StoredList() {}

    /** Reads a file that was written under the settings of that fingerprint. */
    static StoredList read(final Path file, final long fingerprint) throws IOException {
        final StoredList stored = new StoredList();
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(Files.newInputStream(file)))) {
            final long version = stored.header(in, fingerprint);
            stored.base(in);
            stored.table.setVersion(version);
            stored.changes(in);
        }
        return stored;
    }

    EndpointTable table() {
        return table;
    }

    /** Bytes of the base. */
    long snapshotBytes() {
        return snapshotBytes;
    }

    /** Bytes up to the end of the last whole change. */
    long completeBytes() {
        return completeBytes;
    }

    private byte[] next(final DataInputStream in) throws IOException {
        final byte[] content = StoredRecord.read(in);
        position += content == null ? 0 : StoredRecord.HEAD_BYTES + content.length;
        return content;
    }

    private long header(final DataInputStream in, final long fingerprint) throws IOException {
        final byte[] content = next(in);
        if (content == null || content[0] != StoredRecord.HEADER) {
            throw new UnusableException("its beginning is torn");
        }
        final DataInputStream header = fields(content);
        if (header.readLong() != StoredRecord.FORMAT) {
            throw new UnusableException("it has another format");
        }
        if (header.readLong() != fingerprint) {
            throw new UnusableException("it was written under other settings");
        }
        return header.readLong();
    }

    /** The fields behind a record's type. */
    private static DataInputStream fields(final byte[] content) {
        return new DataInputStream(new ByteArrayInputStream(content, 1, content.length - 1));
    }

    private void base(final DataInputStream in) throws IOException {
        long read = 0;
        byte[] content = next(in);
        while (content != null && content[0] == StoredRecord.BLOCK) {
            read += stage(fields(content));
            applyChange();
            content = next(in);
        }
        if (content == null
                || content[0] != StoredRecord.BASE_END
                || fields(content).readLong() != read) {
            throw new UnusableException("its base is torn");
        }
        snapshotBytes = position;
        completeBytes = position;
    }

    private void changes(final DataInputStream in) throws IOException {
        byte[] content = next(in);
        while (content != null && (content[0] == StoredRecord.CHANGE_PART || content[0] == StoredRecord.CHANGE_END)) {
            if (content[0] == StoredRecord.CHANGE_END) {
                final DataInputStream fields = fields(content);
                change.setVersion(fields.readLong());
                stage(fields);
                applyChange();
                completeBytes = position;
            } else {
                stage(fields(content));
            }
            content = next(in);
        }
    }

    private long stage(final DataInputStream fields) throws IOException {
        long count = 0;
        while (fields.available() > 0) {
            StoredRecord.readEntry(fields, entry, change);
            change.add(entry);
            count++;
        }
        return count;
    }

    private void applyChange() throws IOException {
        TableUpdate.apply(table, change, IGNORED);
        change = new StagedList(STAGED_BYTES);
    }

    private static final TableUpdate.Listener IGNORED = new TableUpdate.Listener() {
        @Override
        public void onEntry(final long endpoint, final TableUpdate.Change what) {
            // The whole table is told once it is read.
        }

        @Override
        public void onRemoved(final long endpoint) {
            // As above.
        }

        @Override
        public void onUnusableEntry(final String problem) {
            // What is stored was in force.
        }
    };
}
