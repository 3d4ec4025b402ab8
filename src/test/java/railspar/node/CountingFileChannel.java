package railspar.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;

/** A file channel that records the positional reads; no other operation is supported. */
final class CountingFileChannel extends FileChannel {
    private final FileChannel file;
    private int largestRead;
    private long bytesRead;

    CountingFileChannel(final FileChannel file) {
        this.file = file;
    }

    /** The largest number of bytes requested by a single read. */
    int largestRead() {
        return largestRead;
    }

    long bytesRead() {
        return bytesRead;
    }

    @Override
    public int read(final ByteBuffer into, final long at) throws IOException {
        largestRead = Math.max(largestRead, into.remaining());
        final int count = file.read(into, at);
        bytesRead += Math.max(0, count);
        return count;
    }

    @Override
    public long size() throws IOException {
        return file.size();
    }

    @Override
    public int read(final ByteBuffer into) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long read(final ByteBuffer[] into, final int offset, final int length) {
        throw new UnsupportedOperationException();
    }

    @Override
    public int write(final ByteBuffer from) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long write(final ByteBuffer[] from, final int offset, final int length) {
        throw new UnsupportedOperationException();
    }

    @Override
    public int write(final ByteBuffer from, final long at) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long position() {
        throw new UnsupportedOperationException();
    }

    @Override
    public FileChannel position(final long to) {
        throw new UnsupportedOperationException();
    }

    @Override
    public FileChannel truncate(final long to) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void force(final boolean metaData) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long transferTo(final long from, final long count, final WritableByteChannel to) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long transferFrom(final ReadableByteChannel from, final long at, final long count) {
        throw new UnsupportedOperationException();
    }

    @Override
    public MappedByteBuffer map(final MapMode mode, final long at, final long bytes) {
        throw new UnsupportedOperationException();
    }

    @Override
    public FileLock lock(final long at, final long bytes, final boolean shared) {
        throw new UnsupportedOperationException();
    }

    @Override
    public FileLock tryLock(final long at, final long bytes, final boolean shared) {
        throw new UnsupportedOperationException();
    }

    @Override
    protected void implCloseChannel() {
        // The wrapped file is closed by its owner.
    }
}
