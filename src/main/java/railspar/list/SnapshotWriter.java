package railspar.list;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;

/**
 * Writes a snapshot of the table to a new file, slice by slice, and then replaces the old file with it. The table may
 * change between slices. The snapshot has the version of the table at its start, and the changes since then are written
 * after it. Applying them in order gives the current table, whether or not a slice already contains some of them.
 */
final class SnapshotWriter {
    /** Rows per slice: about 25 KB, which are written in well under a millisecond. */
    private static final int SLICE_ROWS = 512;

    private final Path temporaryPath;
    private final Path targetPath;
    private final FileChannel file;
    private final StagedEntry entry = new StagedEntry();
    private long size;
    private int nextRow;
    private long entryCount;

    SnapshotWriter(final Path next, final Path place, final long fingerprint, final long version) throws IOException {
        this.temporaryPath = next;
        this.targetPath = place;
        this.file = FileChannel.open(
                next, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
        try {
            write(new StoredRecord.Builder()
                    .number(StoredRecord.FORMAT)
                    .number(fingerprint)
                    .number(version)
                    .build(StoredRecord.HEADER));
        } catch (final IOException e) {
            file.close();
            throw e;
        }
    }

    private void write(final ByteBuffer record) throws IOException {
        size = StoredRecord.write(file, record, size);
    }

    /** Bytes written so far. */
    long size() {
        return size;
    }

    /** Writes the next slice; true if there are more. */
    boolean writeSlice(final EndpointTable table) throws IOException {
        final int until = Math.min(table.rowCount(), nextRow + SLICE_ROWS);
        StoredRecord.Builder part = new StoredRecord.Builder();
        for (; nextRow < until; nextRow++) {
            if (table.isListedRow(nextRow)) {
                table.readEntry(nextRow, entry);
                part.entry(
                        entry, table.zones().textOf(entry.zone), table.kinds().textOf(entry.kind));
                if (part.isFull()) {
                    part = flush(part);
                }
            }
        }
        flush(part);
        return nextRow < table.rowCount();
    }

    private StoredRecord.Builder flush(final StoredRecord.Builder part) throws IOException {
        if (part.entries() > 0) {
            entryCount += part.entries();
            write(part.build(StoredRecord.SNAPSHOT_PART));
        }
        return new StoredRecord.Builder();
    }

    /** Ends the snapshot and returns its size in bytes. */
    long finish() throws IOException {
        write(new StoredRecord.Builder().number(entryCount).build(StoredRecord.SNAPSHOT_END));
        return size;
    }

    /** Writes the changes since the start of the snapshot, replaces the old file, and returns the open new file. */
    FileChannel publish(final List<ByteBuffer> changes) throws IOException {
        for (final ByteBuffer change : changes) {
            write(change);
        }
        Files.move(temporaryPath, targetPath, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        return file;
    }

    /** Cancels the snapshot; the old file stays in place. */
    void abandon() throws IOException {
        file.close();
        Files.deleteIfExists(temporaryPath);
    }
}
