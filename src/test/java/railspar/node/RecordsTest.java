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

/** Guards that only complete records are read, and through a buffer whose size does not grow with the file. */
final class RecordsTest {
    private static final byte TYPE = 1;
    private static final int MAX_BODY_BYTES = 100_000;
    private static final int MAX_READ_BYTES = 1 << 18;

    @TempDir
    private Path folder;

    private FileChannel open() throws IOException {
        return FileChannel.open(
                folder.resolve("records"),
                StandardOpenOption.CREATE,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
    }

    /** Body sizes, including the longest one, such that records end at many different positions of the buffer. */
    private static int bodyBytes(final int index) {
        return index % 10 == 0 ? MAX_BODY_BYTES : index * 7919 % 3000;
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
    void aFileLargerThanTheBufferIsReadCompletelyAndInOrder() throws IOException {
        final int count = 500;
        try (FileChannel file = open()) {
            final long size = write(file, count);
            assertTrue(size > 10L * MAX_READ_BYTES, "size: " + size);
            final List<String> ids = new ArrayList<>();
            final long end = Records.read(file, 0, (type, id, content) -> {
                assertEquals(bodyBytes(ids.size()), content.readInt());
                assertEquals(bodyBytes(ids.size()), content.available());
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
    void noSingleReadExceedsTheBufferSize() throws IOException {
        try (FileChannel file = open()) {
            final long size = write(file, 500);
            final CountingFileChannel counting = new CountingFileChannel(file);
            assertEquals(size, Records.read(counting, 0, (type, id, content) -> {}));
            assertTrue(counting.largestRead() <= MAX_READ_BYTES, "largest read: " + counting.largestRead());
            assertTrue(counting.bytesRead() <= size, "no byte is read twice: " + counting.bytesRead());
        }
    }

    @Test
    void readingEndsAtAnIncompleteRecord() throws IOException {
        try (FileChannel file = open()) {
            final long size = write(file, 400);
            final ByteBuffer incomplete = Records.encode(TYPE, "torn", out -> out.write(new byte[MAX_BODY_BYTES]));
            incomplete.limit(incomplete.limit() - 1);
            Records.write(file, incomplete, size);
            assertEquals(size, Records.read(file, 0, (type, id, content) -> {}));
        }
    }

    @Test
    void readingStopsAtTheGivenPositionAndResumesFromThere() throws IOException {
        try (FileChannel file = open()) {
            final long middle = write(file, 100);
            final ByteBuffer last = Records.encode(TYPE, "last", out -> {});
            final long size = middle + last.remaining();
            Records.write(file, last, middle);
            assertEquals(middle, Records.read(file, 0, middle, (type, id, content) -> {}));
            final List<String> ids = new ArrayList<>();
            assertEquals(size, Records.read(file, middle, (type, id, content) -> ids.add(id)));
            assertEquals(List.of("last"), ids);
            assertEquals(size, Records.read(file, size, (type, id, content) -> {}));
        }
    }
}
