package railspar.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/**
 * Appends {@link Records} to a file whose writes may fail before, during or after their effect. After a failed write
 * the file is read back to see what was written, or truncated. Nothing is written after bytes whose state is unknown.
 */
final class RecordFile implements AutoCloseable {
    /** The result of an append. */
    enum AppendResult {
        /** A restarted process reads the record. */
        WRITTEN,
        /** A restarted process does not read the record. */
        NOT_WRITTEN,
        /** The write failed, and so did reading it back and truncating the file. */
        UNCERTAIN
    }

    private final FileChannel file;
    private long size;
    /** Bytes of a failed write may follow the last record. */
    private boolean dirty;

    /** Appends to a file that contains complete records up to the given size. */
    RecordFile(final FileChannel file, final long size) {
        this.file = file;
        this.size = size;
    }

    /** Total size of the complete records, in bytes. */
    long size() {
        return size;
    }

    /** Appends a record; failures are reported to the listener. */
    AppendResult append(final ByteBuffer record, final FailureListener failures) {
        if (!truncateFailedWrite(failures)) {
            return AppendResult.NOT_WRITTEN;
        }
        try {
            Records.write(file, record.duplicate(), size);
        } catch (final IOException e) {
            failures.failed(e);
            dirty = true;
            return resultAfterFailure(record, failures);
        }
        size += record.capacity();
        return AppendResult.WRITTEN;
    }

    /** Receives each I/O failure of the file. */
    interface FailureListener {
        void failed(IOException cause);
    }

    private AppendResult resultAfterFailure(final ByteBuffer record, final FailureListener failures) {
        try {
            if (containsAtEnd(record)) {
                size += record.capacity();
                dirty = false;
                return AppendResult.WRITTEN;
            }
            return AppendResult.NOT_WRITTEN;
        } catch (final IOException e) {
            return truncateFailedWrite(failures) ? AppendResult.NOT_WRITTEN : AppendResult.UNCERTAIN;
        }
    }

    /** True if the complete record follows the earlier ones in the file. */
    private boolean containsAtEnd(final ByteBuffer record) throws IOException {
        final ByteBuffer found = ByteBuffer.allocate(record.capacity());
        while (found.hasRemaining()) {
            if (file.read(found, size + found.position()) < 0) {
                return false;
            }
        }
        return found.flip().equals(record.duplicate().rewind());
    }

    /** Truncates the file to its complete records after a failed write; true if nothing of that write is left. */
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
