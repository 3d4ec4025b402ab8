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

/** Format of the records in the stored list's file: length and CRC32C of the content, then type and fields. */
final class StoredRecord {
    static final int FORMAT = 1;
    /** The first record: format, fingerprint of the settings, version of the list. */
    static final byte HEADER = 1;
    /** Endpoints of the snapshot. */
    static final byte SNAPSHOT_PART = 2;
    /** End of the snapshot: the number of its endpoints. */
    static final byte SNAPSHOT_END = 3;
    /** Changed or removed endpoints; more records of the same version follow. */
    static final byte CHANGE_PART = 4;
    /** End of a change: its version, and perhaps more endpoints. */
    static final byte CHANGE_END = 5;

    static final int HEAD_BYTES = 2 * Integer.BYTES;
    /** A record that reaches this size gets no more entries; an entry takes a few kilobytes at most. */
    static final int FULL_RECORD_BYTES = 1 << 14;

    private static final int MAX_RECORD_BYTES = 1 << 16;
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
            return bytes.size() >= FULL_RECORD_BYTES;
        }

        ByteBuffer build(final byte type) {
            final ByteBuffer record = ByteBuffer.wrap(bytes.toByteArray());
            record.put(HEAD_BYTES, type);
            final CRC32C crc = new CRC32C();
            crc.update(record.array(), HEAD_BYTES, record.capacity() - HEAD_BYTES);
            return record.putInt(0, record.capacity() - HEAD_BYTES).putInt(Integer.BYTES, (int) crc.getValue());
        }
    }

    /** Reads an entry; its zone and kind become numbers of the list's dictionaries. */
    static void readEntry(final DataInputStream in, final StagedEntry target, final StagedList list)
            throws IOException {
        target.setName(in.readUTF());
        target.condition = CONDITIONS[in.readByte()];
        target.hasAddress = true;
        target.hasDestination = true;
        target.ip = in.readInt();
        target.port = in.readChar();
        target.zone = list.zones().numberOf(in.readUTF());
        target.kind = list.kinds().numberOf(in.readUTF());
        target.destination = in.readLong();
        target.weight = in.readDouble();
        target.problem = null;
    }

    /** Reads the type and fields of the next record; null at the end of the file or of its valid part. */
    static byte[] read(final DataInputStream in) throws IOException {
        try {
            final int length = in.readInt();
            final int sum = in.readInt();
            if (length <= 0 || length > MAX_RECORD_BYTES) {
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

    /** Writes a record at a position and returns the position after it. */
    static long write(final FileChannel file, final ByteBuffer record, final long start) throws IOException {
        final ByteBuffer remaining = record.duplicate();
        long position = start;
        while (remaining.hasRemaining()) {
            position += file.write(remaining, position);
        }
        return position;
    }
}
