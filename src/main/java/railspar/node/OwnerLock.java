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
 * leftover file blocks nothing. Two more locks, on bytes of a second file, show that a process waits, until it owns the
 * folder and serves clients, and that it is ready to take over. A process of an earlier program that waits locks the
 * whole second file, so that it counts as ready from the start.
 */
final class OwnerLock {
    private static final long WAITER_POSITION = 0;
    private static final long READY_POSITION = 1;
    private static final long LOCK_BYTES = 1;
    private static final boolean SHARED = false;

    private final FileChannel ownerFile;
    private final FileChannel waiterFile;
    private FileLock ownerLock;
    private FileLock waiterLock;
    private FileLock readyLock;

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
            waiterLock = waiterLock == null ? tryLockWaiterFile(WAITER_POSITION) : waiterLock;
        }
        return ownerLock != null;
    }

    /** True from a successful {@link #tryAcquire} until {@link #release}. */
    boolean isHeld() {
        return ownerLock != null && ownerLock.isValid();
    }

    private FileLock tryLockWaiterFile(final long position) throws IOException {
        return waiterFile.tryLock(position, LOCK_BYTES, SHARED);
    }

    /** This process, which waits, can serve as soon as it owns the folder. May be called again. */
    void setReady() throws IOException {
        readyLock = readyLock == null ? tryLockWaiterFile(READY_POSITION) : readyLock;
    }

    /** This process serves clients now and no longer counts as waiting. */
    void stopWaiting() throws IOException {
        if (readyLock != null) {
            readyLock.release();
            readyLock = null;
        }
        if (waiterLock != null) {
            waiterLock.release();
            waiterLock = null;
        }
    }

    /** True while another process waits for the lock, or holds it and does not serve clients yet. */
    boolean hasWaiter() {
        return isLockedElsewhere(WAITER_POSITION);
    }

    /** True while another process waits and is ready to take over. */
    boolean hasReadyWaiter() {
        return isLockedElsewhere(READY_POSITION);
    }

    private boolean isLockedElsewhere(final long position) {
        try (FileLock probe = tryLockWaiterFile(position)) {
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
