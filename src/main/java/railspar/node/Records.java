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
 * How records lie in the files that outlast a process: each with its length and CRC32C ahead, then its type and the
 * id that it is about. What a kill cut off at the end of a file is no record.
 */
final class Records {
    private static final int HEAD_BYTES = 2 * Integer.BYTES;
    private static final int MOST_BYTES = 1 << 17;
    /** A file is read in slices of this size; the longest record fits into one. */
    private static final int SLICE_BYTES = 2 * MOST_BYTES;

    private Records() {}

    /** Writes the rest of a record. */
    interface Content {
        void write(DataOutputStream out) throws IOException;
    }

    /** Takes up a record; the type comes first, then the id. */
    interface Reader {
        void read(byte type, String id, DataInputStream rest) throws IOException;
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
        crc.update(record.array(), HEAD_BYTES, record.capacity() - HEAD_BYTES);
        record.putInt(0, record.capacity() - HEAD_BYTES).putInt(Integer.BYTES, (int) crc.getValue());
        return record;
    }

    static void write(final FileChannel to, final ByteBuffer record, final long at) throws IOException {
        long position = at;
        while (record.hasRemaining()) {
            final int count = to.write(record, position);
            if (count <= 0) {
                throw new IOException("the file takes no bytes");
            }
            position += count;
        }
    }

    /** Reads the whole records of a file from a position on; the result is the position behind the last one. */
    static long read(final FileChannel file, final long from, final Reader reader) throws IOException {
        return read(file, from, file.size(), reader);
    }

    /**
     * As above, up to a position where a record ends. The file is read slice by slice, so the memory this takes does
     * not grow with the file.
     */
    static long read(final FileChannel file, final long from, final long to, final Reader reader) throws IOException {
        final ByteBuffer slice = ByteBuffer.allocate((int) Math.max(0, Math.min(SLICE_BYTES, to - from)));
        long filledTo = from;
        long position = from;
        boolean more = slice.capacity() > 0;
        while (more) {
            filledTo += fill(slice, file, filledTo, to);
            slice.flip();
            final int records = readWhole(slice, reader);
            position += records;
            // A slice that ends inside a record is refilled behind the part that is here; one without any is the end.
            slice.compact();
            more = records > 0 && filledTo < to;
        }
        return position;
    }

    /**
     * Fills a slice from a position of the file on, but not beyond the end; the result is how many bytes that were.
     */
    private static int fill(final ByteBuffer slice, final FileChannel file, final long at, final long to)
            throws IOException {
        final int before = slice.position();
        slice.limit((int) Math.min(slice.capacity(), before + (to - at)));
        int count = 0;
        while (slice.hasRemaining() && count >= 0) {
            count = file.read(slice, at + slice.position() - before);
        }
        return slice.position() - before;
    }

    /** Reads the records that a slice holds whole; the result is their length, and the position is behind them. */
    private static int readWhole(final ByteBuffer slice, final Reader reader) throws IOException {
        final int begin = slice.position();
        while (slice.remaining() >= HEAD_BYTES) {
            final int length = slice.getInt(slice.position());
            final int start = slice.position() + HEAD_BYTES;
            if (length <= 0 || length > MOST_BYTES || length > slice.limit() - start) {
                break;
            }
            final CRC32C crc = new CRC32C();
            crc.update(slice.array(), start, length);
            if ((int) crc.getValue() != slice.getInt(slice.position() + Integer.BYTES)) {
                break;
            }
            final DataInputStream in = new DataInputStream(new ByteArrayInputStream(slice.array(), start, length));
            reader.read(in.readByte(), in.readUTF(), in);
            slice.position(start + length);
        }
        return slice.position() - begin;
    }
}
