package driftchute.node;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.zip.CRC32C;

/**
 * How records lie in the files that outlast a process: each with its length and CRC32C ahead, then its type and the id
 * that it is about. What a kill cut off at the end of a file is no record.
 */
final class Records {
    private static final int HEAD_BYTES = 2 * Integer.BYTES;
    private static final int MOST_BYTES = 1 << 17;

    private Records() {}

    /** Writes the rest of a record. */
    interface Content {
        void write(DataOutputStream out) throws IOException;
    }

    /** Takes up a record; the type comes first, then the id. */
    interface Reader {
        void read(byte type, String id, DataInputStream rest) throws IOException;
    }

    static ByteBuffer of(final byte type, final String id, final Content content) {
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
            position += to.write(record, position);
        }
    }

    /** Reads the whole records of a file from a position on; the result is the position behind the last one. */
    static long read(final FileChannel file, final long from, final Reader reader) throws IOException {
        return read(file, from, file.size(), reader);
    }

    /** As above, up to a position where a record ends. */
    static long read(final FileChannel file, final long from, final long to, final Reader reader) throws IOException {
        final ByteBuffer all = ByteBuffer.allocate((int) Math.max(0, to - from));
        while (all.hasRemaining() && file.read(all, from + all.position()) >= 0) {
            continue;
        }
        all.flip();
        while (all.remaining() >= HEAD_BYTES) {
            final int length = all.getInt(all.position());
            final int start = all.position() + HEAD_BYTES;
            if (length <= 0 || length > MOST_BYTES || length > all.limit() - start) {
                break;
            }
            final CRC32C crc = new CRC32C();
            crc.update(all.array(), start, length);
            if ((int) crc.getValue() != all.getInt(all.position() + Integer.BYTES)) {
                break;
            }
            final DataInputStream in = new DataInputStream(new ByteArrayInputStream(all.array(), start, length));
            reader.read(in.readByte(), in.readUTF(), in);
            all.position(start + length);
        }
        return from + all.position();
    }
}
