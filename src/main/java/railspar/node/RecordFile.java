package railspar.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/**
 * Appends {@link Records} to a file whose writes may fail before, in the midst of or after their effect. What a
 * failed write left is found out by reading it back, or cut off; nothing is written behind bytes whose state is
 * unknown.
 */
final class RecordFile implements AutoCloseable {
    /** What became of an append. */
    enum AppendResult {
        /** The next process reads the record. */
        WRITTEN,
        /** The next process does not read the record. */
        NOT_WRITTEN,
        /** The write failed, and so did all that could tell or undo its effect. */
        UNCERTAIN
    }

    private final FileChannel file;
    private long size;
    /** Bytes of a failed write may lie behind the last record. */
    private boolean dirty;

    /** A file that holds whole records up to that size. */
    RecordFile(final FileChannel file, final long size) {
        this.file = file;
        this.size = size;
    }

    /** Bytes of whole records. */
    long size() {
        return size;
    }

    /** Appends a record; the failure of a write is handed to the listener. */
    AppendResult append(final ByteBuffer record, final FailureListener failures) {
        if (!truncateFailedWrite(failures)) {
            return AppendResult.NOT_WRITTEN;
        }
        try {
            Records.write(file, record.duplicate(), size);
        } catch (final IOException e) {
            failures.failed(e);
            dirty = true;
            return afterFailure(record, failures);
        }
        size += record.capacity();
        return AppendResult.WRITTEN;
    }

    /** Hears of each failure of the file. */
    interface FailureListener {
        void failed(IOException cause);
    }

    private AppendResult afterFailure(final ByteBuffer record, final FailureListener failures) {
        try {
            if (holds(record)) {
                size += record.capacity();
                dirty = false;
                return AppendResult.WRITTEN;
            }
            return AppendResult.NOT_WRITTEN;
        } catch (final IOException e) {
            return truncateFailedWrite(failures) ? AppendResult.NOT_WRITTEN : AppendResult.UNCERTAIN;
        }
    }

    /** True if the record stands whole behind the others. */
    private boolean holds(final ByteBuffer record) throws IOException {
        final ByteBuffer found = ByteBuffer.allocate(record.capacity());
        while (found.hasRemaining()) {
            if (file.read(found, size + found.position()) < 0) {
                return false;
            }
        }
        return found.flip().equals(record.duplicate().rewind());
    }

    /** Cuts off what a failed write left; true if nothing of that kind is left. */
    boolean truncateFailedWrite(final FailureListener failures) {
        if (dirty) {
            try {
                file.truncate(size);
                dirty = false;
            } catch (final IOException e) {
                failures.failed(e);
            }
        }
        return !dirty;
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
