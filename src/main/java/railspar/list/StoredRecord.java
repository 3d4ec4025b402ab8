package railspar.list;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.zip.CRC32C;
import railspar.Courier;

/** How records lie in the file of the stored list: each with its length and CRC32C ahead, then its type. */
final class StoredRecord {
    static final int FORMAT = 1;
    /** Format, fingerprint of the settings, version of the list; the first record. */
    static final byte HEADER = 1;
    /** Endpoints of the base. */
    static final byte BLOCK = 2;
    /** The base is whole: how many endpoints its blocks hold. */
    static final byte BASE_END = 3;
    /** Endpoints that changed, or are gone; more of the same version follow. */
    static final byte CHANGE_PART = 4;
    /** As above, and the version that is in force with it. */
    static final byte CHANGE_END = 5;

    static final int HEAD_BYTES = 2 * Integer.BYTES;
    /** A record is closed once it is larger than that; an entry adds a few kilobytes at most. */
    static final int CLOSED_BYTES = 1 << 14;

    private static final int MOST_BYTES = 1 << 16;
    private static final Courier.Condition[] CONDITIONS = Courier.Condition.values();

    private StoredRecord() {}

    /** Builds one record. */
    static final class Builder {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private final DataOutputStream out = new DataOutputStream(bytes);
        private int entries;

        Builder() {
            try {
                out.writeLong(0);
                out.writeByte(0);
            } catch (final IOException e) {
                throw new IllegalStateException("writing to memory failed", e);
            }
        }

        Builder number(final long number) {
            try {
                out.writeLong(number);
            } catch (final IOException e) {
                throw new IllegalStateException("writing to memory failed", e);
            }
            return this;
        }

        Builder entry(final StagedEntry entry, final String zone, final String kind) {
            try {
                out.writeUTF(entry.name());
                out.writeByte(entry.condition.ordinal());
                out.writeInt(entry.ip);
                out.writeChar(entry.port);
                out.writeUTF(zone);
                out.writeUTF(kind);
                out.writeLong(entry.destination);
                out.writeDouble(entry.weight);
            } catch (final IOException e) {
                throw new IllegalStateException("writing to memory failed", e);
            }
            entries++;
            return this;
        }

        int entries() {
            return entries;
        }

        boolean isFull() {
            return bytes.size() >= CLOSED_BYTES;
        }

        ByteBuffer build(final byte type) {
            final ByteBuffer record = ByteBuffer.wrap(bytes.toByteArray());
            record.put(HEAD_BYTES, type);
            final CRC32C crc = new CRC32C();
            crc.update(record.array(), HEAD_BYTES, record.capacity() - HEAD_BYTES);
            return record.putInt(0, record.capacity() - HEAD_BYTES).putInt(Integer.BYTES, (int) crc.getValue());
        }
    }

    /** Reads an entry; its zone and kind get numbers of the list's dictionaries. */
    static void readEntry(final DataInputStream in, final StagedEntry into, final StagedList list) throws IOException {
        into.name(in.readUTF());
        into.condition = CONDITIONS[in.readByte()];
        into.hasAddress = true;
        into.hasDestination = true;
        into.ip = in.readInt();
        into.port = in.readChar();
        into.zone = list.zones().numberOf(in.readUTF());
        into.kind = list.kinds().numberOf(in.readUTF());
        into.destination = in.readLong();
        into.weight = in.readDouble();
        into.problem = null;
    }

    /** Reads the next record's type and content; null where the file ends, or holds no whole record. */
    static byte[] read(final DataInputStream in) throws IOException {
        try {
            final int length = in.readInt();
            final int sum = in.readInt();
            if (length <= 0 || length > MOST_BYTES) {
                return null;
            }
            final byte[] content = new byte[length];
            in.readFully(content);
            final CRC32C crc = new CRC32C();
            crc.update(content);
            return (int) crc.getValue() == sum ? content : null;
        } catch (final EOFException e) {
            return null;
        }
    }

    /** Writes records at a position; the result is the position behind them. */
    static long write(final FileChannel to, final ByteBuffer record, final long at) throws IOException {
        final ByteBuffer rest = record.duplicate();
        long position = at;
        while (rest.hasRemaining()) {
            position += to.write(rest, position);
        }
        return position;
    }
}
