package railspar.node;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.zip.CRC32C;

/**
 * The record format of the files that outlast a process: a header with length and CRC32C, then the record type, the
 * id that the record is about, and the content. An incomplete record at the end of a file, left by a kill, is ignored.
 */
final class Records {
    private static final int HEADER_BYTES = 2 * Integer.BYTES;
    private static final int MAX_RECORD_BYTES = 1 << 17;
    /** A file is read through a buffer of this size; the longest record fits into it. */
    private static final int BUFFER_BYTES = 2 * MAX_RECORD_BYTES;

    private Records() {}

    /** Writes the content of a record. */
    interface Content {
        void write(DataOutputStream out) throws IOException;
    }

    /** Receives each record that is read: type, id and content. */
    interface Reader {
        void read(byte type, String id, DataInputStream content) throws IOException;
    }

    static ByteBuffer encode(final byte type, final String id, final Content content) {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(0);
            out.writeByte(type);
            out.writeUTF(id);
            content.write(out);
        } catch (final IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        final ByteBuffer record = ByteBuffer.wrap(bytes.toByteArray());
        final CRC32C crc = new CRC32C();
        crc.update(record.array(), HEADER_BYTES, record.capacity() - HEADER_BYTES);
        record.putInt(0, record.capacity() - HEADER_BYTES).putInt(Integer.BYTES, (int) crc.getValue());
        return record;
    }

    static void write(final FileChannel to, final ByteBuffer record, final long at) throws IOException {
        long position = at;
        while (record.hasRemaining()) {
            final int count = to.write(record, position);
            if (count <= 0) {
                throw new IOException("a write to the file wrote no bytes");
            }
            position += count;
        }
    }

    /** Reads the complete records of a file from a position on; returns the position after the last one. */
    static long read(final FileChannel file, final long from, final Reader reader) throws IOException {
        return read(file, from, file.size(), reader);
    }

    /**
     * As above, up to a position where a record ends. The file is read through a buffer of bounded size, so the memory
     * use does not grow with the file.
     */
    static long read(final FileChannel file, final long from, final long to, final Reader reader) throws IOException {
        final ByteBuffer buffer = ByteBuffer.allocate((int) Math.max(0, Math.min(BUFFER_BYTES, to - from)));
        long filledTo = from;
        long position = from;
        boolean hasMore = buffer.capacity() > 0;
        while (hasMore) {
            filledTo += fill(buffer, file, filledTo, to);
            buffer.flip();
            final int recordBytes = readCompleteRecords(buffer, reader);
            position += recordBytes;
            // A partial record is kept and the buffer is refilled after it; without a complete record reading ends.
            buffer.compact();
            hasMore = recordBytes > 0 && filledTo < to;
        }
        return position;
    }

    /** Fills the buffer from a position of the file on, but not beyond the end; returns the number of bytes read. */
    private static int fill(final ByteBuffer buffer, final FileChannel file, final long at, final long to)
            throws IOException {
        final int before = buffer.position();
        buffer.limit((int) Math.min(buffer.capacity(), before + (to - at)));
        int count = 0;
        while (buffer.hasRemaining() && count >= 0) {
            count = file.read(buffer, at + buffer.position() - before);
        }
        return buffer.position() - before;
    }

    /** Reads the complete records in the buffer, moves its position past them, and returns their length in bytes. */
    private static int readCompleteRecords(final ByteBuffer buffer, final Reader reader) throws IOException {
        final int begin = buffer.position();
        while (buffer.remaining() >= HEADER_BYTES) {
            final int length = buffer.getInt(buffer.position());
            final int start = buffer.position() + HEADER_BYTES;
            if (length <= 0 || length > MAX_RECORD_BYTES || length > buffer.limit() - start) {
                break;
            }
            final CRC32C crc = new CRC32C();
            crc.update(buffer.array(), start, length);
            if ((int) crc.getValue() != buffer.getInt(buffer.position() + Integer.BYTES)) {
                break;
            }
            final DataInputStream in = new DataInputStream(new ByteArrayInputStream(buffer.array(), start, length));
            reader.read(in.readByte(), in.readUTF(), in);
            buffer.position(start + length);
        }
        return buffer.position() - begin;
    }
}
