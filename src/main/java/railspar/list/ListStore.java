package railspar.list;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import railspar.Courier;

/**
 * Persists the list in the state folder: a snapshot followed by the changes since. A restarted process loads it and
 * requests only the changes after its version. The file is never synced: what was written outlasts the process, even
 * after SIGKILL, and if the machine is lost, the folder is lost with it.
 *
 * <p>Once the changes are as large as the snapshot, a new snapshot is written, so that each byte of a change costs one
 * more byte of a snapshot. If the budget leaves less room for changes, that ratio may grow up to
 * {@value #MAX_SNAPSHOT_BYTES_PER_CHANGE_BYTE}. If it leaves even less, no copy is kept.
 */
public final class ListStore {
    private static final String FILE = "list";
    private static final String NEXT_FILE = "list.next";
    /** Disk usage is counted in whole blocks of this size. */
    private static final long DISK_BLOCK_BYTES = 512;
    /** Changes may always grow to this size, or a small list would need a new snapshot after every few changes. */
    private static final long MIN_CHANGE_BYTES = 4096;
    /** Limit for the bytes of snapshots that are written for each byte of a change. */
    private static final int MAX_SNAPSHOT_BYTES_PER_CHANGE_BYTE = 8;
    /** Limit for changes buffered in memory while another process owns the file or a snapshot is being written. */
    private static final long MAX_PENDING_BYTES = 1 << 18;

    private final Path path;
    private final Path nextPath;
    private final long fingerprint;
    private final long budgetBytes;
    private final Consumer<String> log;

    private boolean owner;
    private boolean closed;
    /** Null while there is no file or this process may not write to it. */
    private FileChannel file;

    private long fileBytes;
    private long snapshotBytes;
    /** Size of the file when it was loaded; 0 if no usable file was found. */
    private long loadedFileBytes;
    /** Size of the loaded file up to the end of its last complete change; 0 if no usable file was found. */
    private long loadedCompleteBytes;

    private SnapshotWriter writer;
    /** Records of changes that are not in the file yet. */
    private final List<ByteBuffer> pending = new ArrayList<>();

    private long pendingBytes;
    /** Changes have been dropped that are not in the file, so that a new snapshot is needed. */
    private boolean snapshotNeeded;
    /** The last write has failed. */
    private boolean suspended;
    /** The snapshot being written is the first one after a failed write. */
    private boolean resumedSnapshot;

    private StoredRecord.Builder record = new StoredRecord.Builder();
    private final StagedEntry entry = new StagedEntry();

    /**
     * Creates a store in a folder.
     *
     * @param fingerprint of the settings; a copy that was written under different settings is not used
     * @param budgetBytes limit for all files of the store together, each counted in whole blocks of the disk
     * @param log receives log messages
     */
    public ListStore(final Path folder, final long fingerprint, final long budgetBytes, final Consumer<String> log) {
        this.path = folder.resolve(FILE);
        this.nextPath = folder.resolve(NEXT_FILE);
        this.fingerprint = fingerprint;
        this.budgetBytes = budgetBytes;
        this.log = log;
    }

    // ---------------------------------------------------------------- loading

    /**
     * Loads the stored list without changing the file, which another process may still own. Null if there is no usable
     * list, or if it is older than {@code minVersion}.
     */
    public EndpointTable load(final long minVersion) {
        try {
            final long fileSize = Files.size(path);
            final StoredList stored = StoredList.read(path, fingerprint);
            if (stored.table().version() < minVersion) {
                throw new StoredList.UnusableException("its version "
                        + stored.table().version() + " is older than " + minVersion + " in the configuration");
            }
            loadedFileBytes = fileSize;
            loadedCompleteBytes = stored.completeBytes();
            snapshotBytes = stored.snapshotBytes();
            if (loadedCompleteBytes < fileSize) {
                log.accept("the stored list: ignored " + (fileSize - loadedCompleteBytes)
                        + " bytes of an incomplete last change");
            }
            log.accept("the stored list is at " + stored.table().version() + " with "
                    + stored.table().size() + " endpoints");
            return stored.table();
        } catch (final NoSuchFileException e) {
            return null;
        } catch (final IOException | RuntimeException e) {
            log.accept("the stored list is dropped: " + e.getMessage());
            return null;
        }
    }

    // ---------------------------------------------------------------- ownership

    /** Makes this process the only writer of the stored list. */
    public void takeOwnership(final EndpointTable table) {
        owner = true;
        try {
            Files.createDirectories(path.getParent());
            Files.deleteIfExists(nextPath);
            final boolean unchanged = loadedFileBytes > 0 && Files.exists(path) && Files.size(path) == loadedFileBytes;
            if (!unchanged || roundedToBlocks(loadedFileBytes) > budgetBytes) {
                // Another process has written to the file since it was loaded, or there is no usable file to append to.
                snapshotNeeded |= loadedFileBytes > 0;
                Files.deleteIfExists(path);
            } else {
                file = FileChannel.open(path, StandardOpenOption.WRITE);
                file.truncate(loadedCompleteBytes);
                fileBytes = loadedCompleteBytes;
            }
            save(table);
        } catch (final IOException e) {
            suspend(e);
        }
    }

    /** Suspends writing after a failure of the folder, until {@link #resumeWriting} can start a new snapshot. */
    private void suspend(final IOException cause) {
        if (!suspended) {
            log.accept("the stored list cannot be written for now: " + cause.getMessage());
        }
        suspended = true;
        snapshotNeeded = true;
        clearPending();
        fileBytes = file == null ? 0 : sizeOnDisk();
        closeFiles();
    }

    /** Size of the open file, including the bytes of a failed write. */
    private long sizeOnDisk() {
        try {
            return file.size();
        } catch (final IOException e) {
            return fileBytes;
        }
    }

    /** Starts a new snapshot if writing was suspended after a failure. */
    public void resumeWriting(final EndpointTable table) {
        if (!suspended || closed) {
            return;
        }
        try {
            beginSnapshot(table);
            suspended = false;
            resumedSnapshot = true;
        } catch (final IOException e) {
            suspend(e);
        }
    }

    /** Stops writing for good: another process takes over. */
    public void releaseOwnership() {
        owner = false;
        closed = true;
        clearPending();
        closeFiles();
    }

    private void closeFiles() {
        final SnapshotWriter openWriter = writer;
        final FileChannel openFile = file;
        writer = null;
        file = null;
        try {
            if (openWriter != null) {
                openWriter.abandon();
            }
            if (openFile != null) {
                openFile.close();
            }
        } catch (final IOException e) {
            log.accept("the stored list cannot be closed: " + e.getMessage());
        }
    }

    // ---------------------------------------------------------------- changes

    /** Adds a listed endpoint, as it is in the table now, to the next change. */
    public void put(final EndpointTable table, final long endpoint) {
        addEntry(table, endpoint, table.conditionOf(endpoint));
    }

    /** Adds the removal of an endpoint, which is still in the table, to the next change. */
    public void remove(final EndpointTable table, final long endpoint) {
        addEntry(table, endpoint, Courier.Condition.GONE);
    }

    private void addEntry(final EndpointTable table, final long endpoint, final Courier.Condition condition) {
        if (closed) {
            return;
        }
        table.readEntry(table.row(endpoint), entry);
        entry.condition = condition;
        record.entry(entry, table.zones().textOf(entry.zone), table.kinds().textOf(entry.kind));
        if (record.isFull()) {
            endRecord(StoredRecord.CHANGE_PART);
        }
    }

    /** Buffers the record; if too many are pending, drops them all, and a new snapshot replaces them. */
    private void endRecord(final byte type) {
        final ByteBuffer ended = record.build(type);
        record = new StoredRecord.Builder();
        if (pendingBytes + ended.capacity() > MAX_PENDING_BYTES) {
            clearPending();
            snapshotNeeded = true;
        }
        if (!snapshotNeeded) {
            pending.add(ended);
            pendingBytes += ended.capacity();
        }
    }

    /** Completes the change: the table has reached its version. */
    public void commit(final EndpointTable table) {
        if (closed) {
            return;
        }
        if (record.entries() > 0) {
            endRecord(StoredRecord.CHANGE_PART);
        }
        record.number(table.version());
        endRecord(StoredRecord.CHANGE_END);
        try {
            save(table);
        } catch (final IOException e) {
            suspend(e);
        }
    }

    private void clearPending() {
        pending.clear();
        pendingBytes = 0;
    }

    /** Appends the pending records, or starts a new snapshot. */
    private void save(final EndpointTable table) throws IOException {
        final boolean nothingNew = pending.isEmpty() && !snapshotNeeded;
        if (!owner || closed || suspended || nothingNew || writer != null && !snapshotNeeded) {
            return;
        }
        if (file != null && !snapshotNeeded && fileBytes - snapshotBytes + pendingBytes <= maxChangeBytes()) {
            for (final ByteBuffer change : pending) {
                fileBytes = StoredRecord.write(file, change, fileBytes);
            }
            clearPending();
        } else {
            beginSnapshot(table);
        }
    }

    /** Limit for the changes after the snapshot: the next snapshot must fit on the disk beside both. */
    private long maxChangeBytes() {
        return Math.min(Math.max(snapshotBytes, MIN_CHANGE_BYTES), changeRoomBytes());
    }

    /** Bytes that the budget leaves for changes. If all are additions, the next snapshot is larger by their size. */
    private long changeRoomBytes() {
        return (budgetBytes - 2 * roundedToBlocks(snapshotBytes)) / 2 - DISK_BLOCK_BYTES;
    }

    private static long roundedToBlocks(final long bytes) {
        return (bytes + DISK_BLOCK_BYTES - 1) / DISK_BLOCK_BYTES * DISK_BLOCK_BYTES;
    }

    // ---------------------------------------------------------------- snapshots

    private void beginSnapshot(final EndpointTable table) throws IOException {
        if (writer != null) {
            writer.abandon();
        }
        // The snapshot contains all pending changes.
        clearPending();
        snapshotNeeded = false;
        writer = new SnapshotWriter(nextPath, path, fingerprint, table.version());
    }

    /** True while a snapshot is being written, so that {@link #writeSlice} has to be called. */
    public boolean isWriting() {
        return writer != null;
    }

    /** Writes the next slice of the snapshot. */
    public void writeSlice(final EndpointTable table) {
        if (writer == null) {
            return;
        }
        try {
            final boolean more = writer.writeSlice(table);
            if (!fits(writer.size() + pendingBytes)) {
                disable("it needs more than its budget of " + budgetBytes + " bytes");
            } else if (!more) {
                finishSnapshot(table);
            }
        } catch (final IOException e) {
            suspend(e);
        }
    }

    /** True if a new file of that size, with the record that ends its snapshot, fits beside the old file. */
    private boolean fits(final long bytes) {
        return roundedToBlocks(fileBytes) + roundedToBlocks(bytes) + DISK_BLOCK_BYTES <= budgetBytes;
    }

    private void finishSnapshot(final EndpointTable table) throws IOException {
        final long endedBytes = writer.finish();
        final FileChannel newFile = writer.publish(pending);
        fileBytes = writer.size();
        snapshotBytes = endedBytes;
        writer = null;
        if (file != null) {
            file.close();
        }
        file = newFile;
        clearPending();
        if (resumedSnapshot) {
            resumedSnapshot = false;
            log.accept("the stored list is written anew");
        }
        if (changeRoomBytes() < Math.max(snapshotBytes, MIN_CHANGE_BYTES) / MAX_SNAPSHOT_BYTES_PER_CHANGE_BYTE) {
            disable("it needs more than its budget of " + budgetBytes + " bytes");
        } else {
            save(table);
        }
    }

    /** Stops keeping a copy and deletes its files: an incomplete or outdated copy is of no use. */
    private void disable(final String reason) {
        log.accept("no copy of the list is kept: " + reason);
        releaseOwnership();
        try {
            Files.deleteIfExists(nextPath);
            Files.deleteIfExists(path);
        } catch (final IOException e) {
            log.accept("the stored list cannot be deleted: " + e.getMessage());
        }
        fileBytes = 0;
    }
}
