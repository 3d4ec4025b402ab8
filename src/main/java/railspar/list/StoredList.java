package railspar.list;

import java.io.BufferedInputStream;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads a stored list: its snapshot and the complete changes after it. It does not write to the file. */
final class StoredList {
    /** Staging budget for the entries of one record or one change: effectively unlimited. */
    private static final long STAGED_BYTES = Integer.MAX_VALUE;

    private final EndpointTable table = new EndpointTable();
    private final StagedEntry entry = new StagedEntry();
    private StagedList staged = new StagedList(STAGED_BYTES);
    private long position;
    private long snapshotBytes;
    private long completeBytes;

    /** The stored list cannot be used; the message says why. */
    static final class UnusableException extends IOException {
        private static final long serialVersionUID = 1L;

        UnusableException(final String reason) {
            super(reason);
        }
    }

    private StoredList() {}

    /** Reads a file; it must have been written under settings with the given fingerprint. */
    static StoredList read(final Path file, final long fingerprint) throws IOException {
        final StoredList stored = new StoredList();
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(Files.newInputStream(file)))) {
            final long version = stored.readHeader(in, fingerprint);
            stored.readSnapshot(in);
            stored.table.setVersion(version);
            stored.readChanges(in);
        }
        return stored;
    }

    EndpointTable table() {
        return table;
    }

    /** Bytes up to the end of the snapshot. */
    long snapshotBytes() {
        return snapshotBytes;
    }

    /** Bytes up to the end of the last complete change. */
    long completeBytes() {
        return completeBytes;
    }

    private byte[] nextRecord(final DataInputStream in) throws IOException {
        final byte[] content = StoredRecord.read(in);
        position += content == null ? 0 : StoredRecord.HEAD_BYTES + content.length;
        return content;
    }

    private long readHeader(final DataInputStream in, final long fingerprint) throws IOException {
        final byte[] content = nextRecord(in);
        if (content == null || content[0] != StoredRecord.HEADER) {
            throw new UnusableException("its header is missing, incomplete or damaged");
        }
        final DataInputStream header = fields(content);
        if (header.readLong() != StoredRecord.FORMAT) {
            throw new UnusableException("it has a different format");
        }
        if (header.readLong() != fingerprint) {
            throw new UnusableException("it was written under other settings");
        }
        return header.readLong();
    }

    /** The fields after the type of a record. */
    private static DataInputStream fields(final byte[] content) {
        return new DataInputStream(new ByteArrayInputStream(content, 1, content.length - 1));
    }

    private void readSnapshot(final DataInputStream in) throws IOException {
        long entryCount = 0;
        byte[] content = nextRecord(in);
        while (content != null && content[0] == StoredRecord.SNAPSHOT_PART) {
            entryCount += stage(fields(content));
            applyStaged();
            content = nextRecord(in);
        }
        if (content == null
                || content[0] != StoredRecord.SNAPSHOT_END
                || fields(content).readLong() != entryCount) {
            throw new UnusableException("its snapshot is incomplete or damaged");
        }
        snapshotBytes = position;
        completeBytes = position;
    }

    private void readChanges(final DataInputStream in) throws IOException {
        byte[] content = nextRecord(in);
        while (content != null && (content[0] == StoredRecord.CHANGE_PART || content[0] == StoredRecord.CHANGE_END)) {
            if (content[0] == StoredRecord.CHANGE_END) {
                final DataInputStream fields = fields(content);
                staged.setVersion(fields.readLong());
                stage(fields);
                applyStaged();
                completeBytes = position;
            } else {
                stage(fields(content));
            }
            content = nextRecord(in);
        }
    }

    private long stage(final DataInputStream fields) throws IOException {
        long count = 0;
        while (fields.available() > 0) {
            StoredRecord.readEntry(fields, entry, staged);
            staged.add(entry);
            count++;
        }
        return count;
    }

    private void applyStaged() throws IOException {
        TableUpdate.apply(table, staged, NO_LISTENER);
        staged = new StagedList(STAGED_BYTES);
    }

    private static final TableUpdate.Listener NO_LISTENER = new TableUpdate.Listener() {
        @Override
        public void onEntry(final long endpoint, final TableUpdate.Change what) {
            // The caller processes the table after it has been loaded completely.
        }

        @Override
        public void onRemoved(final long endpoint) {
            // See onEntry.
        }

        @Override
        public void onUnusableEntry(final String problem) {
            // Only endpoints of a valid table are stored.
        }
    };
}
