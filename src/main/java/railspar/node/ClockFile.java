package railspar.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Stores the offset between persistent time and the monotonic clock in the state folder, so that persistent time
 * continues in a new process although the wall clock was stepped in between. The offset is valid for one boot of the
 * machine. After a reboot, or if the file is missing or incomplete, persistent time is set to the wall clock again.
 */
final class ClockFile {
    private static final String FILE = "clock";
    private static final String NEXT_FILE = "clock.next";
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
    private static final byte OFFSET = 1;

    private final Path folder;
    private final String bootId;

    private record Stored(String bootId, long offsetUs, long writtenUs) {}

    ClockFile(final Path folder, final String bootId) {
        this.folder = folder;
        this.bootId = bootId;
    }

    /** The clock file of a state folder, for the current boot of the machine. */
    static ClockFile in(final Path folder) {
        return new ClockFile(folder, bootId());
    }

    private static String bootId() {
        try {
            return Files.readString(BOOT_ID).trim();
        } catch (final IOException e) {
            Log.info("the boot id of this machine cannot be read: " + e.getMessage());
            return "";
        }
    }

    /** Sets the persistent time of a clock from the file, or rewrites the file if its offset is not valid. */
    void apply(final Clock clock) throws IOException {
        final Stored stored = read();
        if (stored != null && stored.bootId().equals(bootId)) {
            clock.setPersistentOffsetUs(stored.offsetUs());
            // A persistent time before the write means that the monotonic clock was reset; the offset is not valid.
            if (clock.persistentUs() >= stored.writtenUs()) {
                final long steppedUs = clock.wallOffsetUs() - stored.offsetUs();
                Log.info("the wall clock has been adjusted by " + steppedUs
                        + " us since the state folder was first used");
                return;
            }
        }
        clock.setPersistentOffsetUs(clock.wallOffsetUs());
        write(new Stored(bootId, clock.wallOffsetUs(), clock.persistentUs()));
    }

    private Stored read() throws IOException {
        final Stored[] found = new Stored[1];
        try (FileChannel file = FileChannel.open(folder.resolve(FILE), StandardOpenOption.READ)) {
            Records.read(file, 0, (type, id, content) -> {
                if (type == OFFSET) {
                    found[0] = new Stored(id, content.readLong(), content.readLong());
                }
            });
        } catch (final NoSuchFileException e) {
            return null;
        }
        return found[0];
    }

    private void write(final Stored stored) throws IOException {
        final ByteBuffer record = Records.encode(OFFSET, stored.bootId(), out -> {
            out.writeLong(stored.offsetUs());
            out.writeLong(stored.writtenUs());
        });
        final Path newFile = folder.resolve(NEXT_FILE);
        try (FileChannel file = FileChannel.open(
                newFile, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            Records.write(file, record, 0);
        }
        Files.move(newFile, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE);
    }
}
