package railspar.node;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Decides which process owns the state folder, where a new process replaces one that still runs: a lock on a file in
 * that folder, which outlasts both. The kernel frees a lock when its process releases it or dies, so a file that was
 * left behind blocks nothing. A second lock tells that a process waits, until it owns the folder and takes clients.
 */
final class OwnerLock {
    private final FileChannel owner;
    private final FileChannel next;
    private FileLock owned;
    private FileLock waiting;

    private OwnerLock(final FileChannel owner, final FileChannel next) {
        this.owner = owner;
        this.next = next;
    }

    static OwnerLock inFolder(final Path folder) throws IOException {
        Files.createDirectories(folder);
        final FileChannel owner = open(folder.resolve("owner.lock"));
        try {
            return new OwnerLock(owner, open(folder.resolve("next.lock")));
        } catch (final IOException e) {
            owner.close();
            throw e;
        }
    }

    private static FileChannel open(final Path file) throws IOException {
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Acquires the lock if no other process holds it; until then this process is known to wait. */
    boolean tryAcquire() throws IOException {
        owned = owner.tryLock();
        if (owned == null) {
            waiting = waiting == null ? next.tryLock() : waiting;
        }
        return owned != null;
    }

    /** True from a successful {@link #tryAcquire} until {@link #release}. */
    boolean isHeld() {
        return owned != null && owned.isValid();
    }

    /** This process takes clients now and no longer counts as waiting. */
    void stopWaiting() throws IOException {
        if (waiting != null) {
            waiting.release();
            waiting = null;
        }
    }

    /** True while another process waits for the lock, or holds it and does not take clients yet. */
    boolean hasWaiter() {
        try (FileLock free = next.tryLock()) {
            return free == null;
        } catch (final IOException e) {
            Log.info("cannot tell whether another process waits: " + e.getMessage());
            return false;
        }
    }

    /** Releases the lock, so that the waiting process can acquire it. */
    void release() throws IOException {
        owned.release();
    }
}
