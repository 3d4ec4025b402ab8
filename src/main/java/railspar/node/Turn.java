package railspar.node;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Whose turn it is to decide, where a new process replaces one that still runs: a lock on a file in the folder that
 * outlasts both. The kernel frees a lock when its process lets go or dies, so a file that was left behind stops
 * nothing.
 * A second lock says that somebody waits, until it has its turn and takes clients.
 */
final class Turn {
    private final FileChannel owner;
    private final FileChannel next;
    private FileLock owned;
    private FileLock waiting;

    private Turn(final FileChannel owner, final FileChannel next) {
        this.owner = owner;
        this.next = next;
    }

    static Turn in(final Path folder) throws IOException {
        Files.createDirectories(folder);
        final FileChannel owner = open(folder.resolve("owner.lock"));
        try {
            return new Turn(owner, open(folder.resolve("next.lock")));
        } catch (final IOException e) {
            owner.close();
            throw e;
        }
    }

    private static FileChannel open(final Path file) throws IOException {
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Takes the turn if nobody has it; until then this process is known to wait. */
    boolean take() throws IOException {
        owned = owner.tryLock();
        if (owned == null) {
            waiting = waiting == null ? next.tryLock() : waiting;
        }
        return owned != null;
    }

    /** True from {@link #take} on until the turn is passed on. */
    boolean isTaken() {
        return owned != null && owned.isValid();
    }

    /** This process takes clients now, and waits for nothing more. */
    void arrive() throws IOException {
        if (waiting != null) {
            waiting.release();
            waiting = null;
        }
    }

    /** True while another process waits for its turn, or has it and does not take clients yet. */
    boolean isAwaited() {
        try (FileLock free = next.tryLock()) {
            return free == null;
        } catch (final IOException e) {
            Log.info("cannot tell whether another process waits: " + e.getMessage());
            return false;
        }
    }

    /** Lets the next one decide. */
    void pass() throws IOException {
        owned.release();
    }
}
