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
 * Writes the table to a new file, a slice at a time, and puts it in the place of the old one. The table may change
 * between two slices: the base bears the version with which it was begun, the changes since then are written behind
 * it, and reading them again in their order gives the table as it is, whichever of them a slice has seen already.
 */
final class SnapshotWriter {
    /** Rows that one slice looks at: some 25 KB, well under a millisecond. */
    private static final int SLICE_ROWS = 512;

    private final Path next;
    private final Path place;
    private final FileChannel file;
    private final StagedEntry entry = new StagedEntry();
    private long size;
    private int row;
    private long entries;

    SnapshotWriter(final Path next, final Path place, final long fingerprint, final long version) throws IOException {
        this.next = next;
        this.place = place;
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

    /** Bytes so far. */
    long size() {
        return size;
    }

    /** Writes the next slice; true while there are more. */
    boolean writeSlice(final EndpointTable table) throws IOException {
        final int until = Math.min(table.rows(), row + SLICE_ROWS);
        StoredRecord.Builder block = new StoredRecord.Builder();
        for (; row < until; row++) {
            if (table.isListedRow(row)) {
                table.read(row, entry);
                block.entry(
                        entry, table.zones().textOf(entry.zone), table.kinds().textOf(entry.kind));
                if (block.isFull()) {
                    block = flush(block);
                }
            }
        }
        flush(block);
        return row < table.rows();
    }

    private StoredRecord.Builder flush(final StoredRecord.Builder block) throws IOException {
        if (block.entries() > 0) {
            entries += block.entries();
            write(block.build(StoredRecord.BLOCK));
        }
        return new StoredRecord.Builder();
    }

    /** Ends the base; the result is its size. */
    long finish() throws IOException {
        write(new StoredRecord.Builder().number(entries).build(StoredRecord.BASE_END));
        return size;
    }

    /** Writes the changes since the base was begun, and takes the old file's place; the result is the open file. */
    FileChannel replace(final List<ByteBuffer> changes) throws IOException {
        for (final ByteBuffer change : changes) {
            write(change);
        }
        Files.move(next, place, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        return file;
    }

    /** Gives up: the old file stays. */
    void abandon() throws IOException {
        file.close();
        Files.deleteIfExists(next);
    }
}
