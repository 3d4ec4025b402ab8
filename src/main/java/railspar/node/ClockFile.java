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
 * The offset of persistent time in the state folder, so that a new process goes on with the time of the one before it
 * although the wall clock was stepped in between. It holds for one boot of the machine; after another boot, or where
 * the file is missing or torn, persistent time goes by the wall clock again.
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

    /** The file of a state folder, on this boot of this machine. */
    static ClockFile in(final Path folder) {
        return new ClockFile(folder, bootId());
    }

    private static String bootId() {
        try {
            return Files.readString(BOOT_ID).trim();
        } catch (final IOException e) {
            Log.info("the boot of this machine is not known: " + e.getMessage());
            return "";
        }
    }

    /** Sets a clock's persistent time by the file, and writes the file where there is none that can be used. */
    void apply(final Clock clock) throws IOException {
        final Stored stored = read();
        if (stored != null && stored.bootId().equals(bootId)) {
            clock.setPersistentOffsetUs(stored.offsetUs());
            // A monotonic clock that has begun anew since is another one.
            if (clock.persistentUs() >= stored.writtenUs()) {
                final long steppedUs = clock.wallOffsetUs() - stored.offsetUs();
                Log.info("the wall clock has moved by " + steppedUs + " us since the state folder was first used");
                return;
            }
        }
        clock.setPersistentOffsetUs(clock.wallOffsetUs());
        write(new Stored(bootId, clock.wallOffsetUs(), clock.persistentUs()));
    }

    private Stored read() throws IOException {
        final Stored[] found = new Stored[1];
        try (FileChannel file = FileChannel.open(folder.resolve(FILE), StandardOpenOption.READ)) {
            Records.read(file, 0, (type, id, rest) -> {
                if (type == OFFSET) {
                    found[0] = new Stored(id, rest.readLong(), rest.readLong());
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
        final Path next = folder.resolve(NEXT_FILE);
        try (FileChannel file = FileChannel.open(
                next, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            Records.write(file, record, 0);
        }
        Files.move(next, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE);
    }
}
