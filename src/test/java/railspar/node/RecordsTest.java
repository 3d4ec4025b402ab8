package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** How a file of records is read: whole records only, in slices whose size does not follow the file's. */
final class RecordsTest {
    private static final byte TYPE = 1;
    private static final int LONGEST_BODY = 100_000;
    private static final int MOST_READ_BYTES = 1 << 18;

    @TempDir
    private Path folder;

    private FileChannel open() throws IOException {
        return FileChannel.open(
                folder.resolve("records"),
                StandardOpenOption.CREATE,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
    }

    /** Record sizes that end at all sorts of places of a slice, the longest ones among them. */
    private static int bodyBytes(final int index) {
        return index % 10 == 0 ? LONGEST_BODY : index * 7919 % 3000;
    }

    private static long write(final FileChannel file, final int count) throws IOException {
        long size = 0;
        for (int index = 0; index < count; index++) {
            final int bytes = bodyBytes(index);
            final ByteBuffer record = Records.encode(TYPE, "m" + index, out -> {
                out.writeInt(bytes);
                out.write(new byte[bytes]);
            });
            final int length = record.remaining();
            Records.write(file, record, size);
            size += length;
        }
        return size;
    }

    @Test
    void aFileOfManySlicesIsReadWholeAndInOrder() throws IOException {
        final int count = 500;
        try (FileChannel file = open()) {
            final long size = write(file, count);
            assertTrue(size > 10L * MOST_READ_BYTES, "size: " + size);
            final List<String> ids = new ArrayList<>();
            final long end = Records.read(file, 0, (type, id, rest) -> {
                assertEquals(bodyBytes(ids.size()), rest.readInt());
                assertEquals(bodyBytes(ids.size()), rest.available());
                ids.add(id);
            });
            assertEquals(size, end);
            assertEquals(count, ids.size());
            for (int index = 0; index < count; index++) {
                assertEquals("m" + index, ids.get(index));
            }
        }
    }

    @Test
    void noReadOfTheFileIsLargerThanASlice() throws IOException {
        try (FileChannel file = open()) {
            final long size = write(file, 500);
            final CountingFileChannel counting = new CountingFileChannel(file);
            assertEquals(size, Records.read(counting, 0, (type, id, rest) -> {}));
            assertTrue(counting.largestRead() <= MOST_READ_BYTES, "largest read: " + counting.largestRead());
            assertTrue(counting.bytesRead() <= size, "nothing is read twice: " + counting.bytesRead());
        }
    }

    @Test
    void aTornRecordBehindManySlicesIsTheEnd() throws IOException {
        try (FileChannel file = open()) {
            final long size = write(file, 400);
            final ByteBuffer torn = Records.encode(TYPE, "torn", out -> out.write(new byte[LONGEST_BODY]));
            torn.limit(torn.limit() - 1);
            Records.write(file, torn, size);
            assertEquals(size, Records.read(file, 0, (type, id, rest) -> {}));
        }
    }

    @Test
    void readingEndsAtThePositionAskedForAndGoesOnFromThere() throws IOException {
        try (FileChannel file = open()) {
            final long middle = write(file, 100);
            final ByteBuffer last = Records.encode(TYPE, "last", out -> {});
            final long size = middle + last.remaining();
            Records.write(file, last, middle);
            assertEquals(middle, Records.read(file, 0, middle, (type, id, rest) -> {}));
            final List<String> ids = new ArrayList<>();
            assertEquals(size, Records.read(file, middle, (type, id, rest) -> ids.add(id)));
            assertEquals(List.of("last"), ids);
            assertEquals(size, Records.read(file, size, (type, id, rest) -> {}));
        }
    }
}
