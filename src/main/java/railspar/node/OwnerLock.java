package railspar.node;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Decides which process owns the state folder while a new process replaces one that still runs: a lock on a file in
 * that folder, which outlasts both processes. The kernel frees a lock when its process releases it or dies, so a
 * leftover file blocks nothing. A second lock shows that a process waits, until it owns the folder and serves clients.
 */
final class OwnerLock {
    private final FileChannel ownerFile;
    private final FileChannel waiterFile;
    private FileLock ownerLock;
    private FileLock waiterLock;

    private OwnerLock(final FileChannel ownerFile, final FileChannel waiterFile) {
        this.ownerFile = ownerFile;
        this.waiterFile = waiterFile;
    }

    static OwnerLock inFolder(final Path folder) throws IOException {
        Files.createDirectories(folder);
        final FileChannel ownerFile = open(folder.resolve("owner.lock"));
        try {
            return new OwnerLock(ownerFile, open(folder.resolve("next.lock")));
        } catch (final IOException e) {
            ownerFile.close();
            throw e;
        }
    }

    private static FileChannel open(final Path file) throws IOException {
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Acquires the lock if no other process holds it; otherwise this process counts as waiting from now on. */
    boolean tryAcquire() throws IOException {
        ownerLock = ownerFile.tryLock();
        if (ownerLock == null) {
            waiterLock = waiterLock == null ? waiterFile.tryLock() : waiterLock;
        }
        return ownerLock != null;
    }

    /** True from a successful {@link #tryAcquire} until {@link #release}. */
    boolean isHeld() {
        return ownerLock != null && ownerLock.isValid();
    }

    /** This process serves clients now and no longer counts as waiting. */
    void stopWaiting() throws IOException {
        if (waiterLock != null) {
            waiterLock.release();
            waiterLock = null;
        }
    }

    /** True while another process waits for the lock, or holds it and does not serve clients yet. */
    boolean hasWaiter() {
        try (FileLock probe = waiterFile.tryLock()) {
            return probe == null;
        } catch (final IOException e) {
            Log.info("cannot check whether another process waits, assuming that none does: " + e.getMessage());
            return false;
        }
    }

    /** Releases the lock, so that the waiting process can acquire it. */
    void release() throws IOException {
        ownerLock.release();
    }
}
