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
 * A copy of the list in the folder that outlasts the process: a base, and behind it each change. A restart reads it
 * and asks only for what came after its version. Nothing is synced: the folder outlasts the process, SIGKILL too,
 * and a machine that is lost loses the folder as well.
 *
 * <p>Once the changes have grown as large as the base, a new base is written, so that each byte of a change costs
 * one further byte of a base; where the budget leaves less room, up to {@value #MOST_BASE_PER_CHANGE}. Where it does
 * not leave that, no copy is kept.
 */
public final class ListStore {
    private static final String FILE = "list";
    private static final String NEXT_FILE = "list.next";
    /** The disk counts every file in whole blocks of that size. */
    private static final long DISK_BLOCK_BYTES = 512;
    /** Changes of that size may always gather, or a small list would be written anew with every few of them. */
    private static final long LEAST_CHANGE_BYTES = 4096;
    /** Bytes of a base that may be written for each byte of a change. */
    private static final int MOST_BASE_PER_CHANGE = 8;
    /** Bytes of changes that wait in memory while this process does not own the file, or a base is being written. */
    private static final long MOST_WAITING_BYTES = 1 << 18;

    private final Path place;
    private final Path next;
    private final long fingerprint;
    private final long budgetBytes;
    private final Consumer<String> log;

    private boolean owner;
    private boolean closed;
    /** Null while there is no file, or this process may not write it. */
    private FileChannel file;

    private long size;
    private long baseBytes;
    /** The file as it was found: its size on disk, and what of it was whole; 0 where nothing usable was found. */
    private long foundBytes;

    private long foundWholeBytes;
    private SnapshotWriter writer;
    /** Changes that are not in the file yet. */
    private final List<ByteBuffer> waiting = new ArrayList<>();

    private long waitingBytes;
    /** Changes have been dropped that the file does not have: only a new base helps. */
    private boolean behind;
    /** The last write failed. */
    private boolean suspended;
    /** The base that is being written is the first one after such a failure. */
    private boolean resumed;

    private StoredRecord.Builder part = new StoredRecord.Builder();
    private final StagedEntry entry = new StagedEntry();

    /**
     * A store in that folder.
     *
     * @param fingerprint of the settings under which the list is read: a copy from other ones is not used
     * @param budgetBytes all its files together, each counted in whole blocks of the disk, never take more
     * @param log where it says what it dropped
     */
    public ListStore(final Path folder, final long fingerprint, final long budgetBytes, final Consumer<String> log) {
        this.place = folder.resolve(FILE);
        this.next = folder.resolve(NEXT_FILE);
        this.fingerprint = fingerprint;
        this.budgetBytes = budgetBytes;
        this.log = log;
    }

    // ---------------------------------------------------------------- reading

    /**
     * Reads the stored list, without touching the file: another process may still own it. Null where there is none
     * that can be used, or it is older than that version.
     */
    public EndpointTable load(final long leastVersion) {
        try {
            final long onDisk = Files.size(place);
            final StoredList stored = StoredList.read(place, fingerprint);
            if (stored.table().version() < leastVersion) {
                throw new StoredList.UnusableException("its version "
                        + stored.table().version() + " is older than " + leastVersion + " in the configuration");
            }
            foundBytes = onDisk;
            foundWholeBytes = stored.completeBytes();
            baseBytes = stored.snapshotBytes();
            if (foundWholeBytes < onDisk) {
                log.accept("the stored list: " + (onDisk - foundWholeBytes) + " bytes of a torn change are cut off");
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

    // ---------------------------------------------------------------- the owner

    /** From now on this process writes the copy, and nobody else does. */
    public void takeOwnership(final EndpointTable table) {
        owner = true;
        try {
            Files.createDirectories(place.getParent());
            Files.deleteIfExists(next);
            final boolean asFound = foundBytes > 0 && Files.exists(place) && Files.size(place) == foundBytes;
            if (!asFound || rounded(foundBytes) > budgetBytes) {
                // Another process has written since, or there is nothing to go on from.
                behind |= foundBytes > 0;
                Files.deleteIfExists(place);
            } else {
                file = FileChannel.open(place, StandardOpenOption.WRITE);
                file.truncate(foundWholeBytes);
                size = foundWholeBytes;
            }
            save(table);
        } catch (final IOException e) {
            suspend(e);
        }
    }

    /** The folder may fail for a while: a new base is written once it can be. */
    private void suspend(final IOException cause) {
        if (!suspended) {
            log.accept("the stored list cannot be written for now: " + cause.getMessage());
        }
        suspended = true;
        behind = true;
        forgetWaiting();
        size = file == null ? 0 : sizeOnDisk();
        closeFiles();
    }

    /** Bytes that the open file takes, also those of a write that failed. */
    private long sizeOnDisk() {
        try {
            return file.size();
        } catch (final IOException e) {
            return size;
        }
    }

    /** Begins a new base in place of what could not be written, if there is such. */
    public void resumeWriting(final EndpointTable table) {
        if (!suspended || closed) {
            return;
        }
        try {
            beginBase(table);
            suspended = false;
            resumed = true;
        } catch (final IOException e) {
            suspend(e);
        }
    }

    /** This process writes no more: another one takes over. */
    public void releaseOwnership() {
        owner = false;
        closed = true;
        forgetWaiting();
        closeFiles();
    }

    private void closeFiles() {
        final SnapshotWriter begun = writer;
        final FileChannel open = file;
        writer = null;
        file = null;
        try {
            if (begun != null) {
                begun.abandon();
            }
            if (open != null) {
                open.close();
            }
        } catch (final IOException e) {
            log.accept("the stored list cannot be closed: " + e.getMessage());
        }
    }

    // ---------------------------------------------------------------- changes

    /** Part of the next change: a listed endpoint is as the table has it now. */
    public void put(final EndpointTable table, final long endpoint) {
        add(table, endpoint, table.conditionOf(endpoint));
    }

    /** Part of the next change: a listed endpoint is about to leave the table. */
    public void remove(final EndpointTable table, final long endpoint) {
        add(table, endpoint, Courier.Condition.GONE);
    }

    private void add(final EndpointTable table, final long endpoint, final Courier.Condition condition) {
        if (closed) {
            return;
        }
        table.read(table.row(endpoint), entry);
        entry.condition = condition;
        part.entry(entry, table.zones().textOf(entry.zone), table.kinds().textOf(entry.kind));
        if (part.isFull()) {
            endPart(StoredRecord.CHANGE_PART);
        }
    }

    /** A change that is larger than what may wait is not kept in memory: a new base has it. */
    private void endPart(final byte type) {
        final ByteBuffer record = part.build(type);
        part = new StoredRecord.Builder();
        if (waitingBytes + record.capacity() > MOST_WAITING_BYTES) {
            forgetWaiting();
            behind = true;
        }
        if (!behind) {
            waiting.add(record);
            waitingBytes += record.capacity();
        }
    }

    /** The change is whole: the table is at its version. */
    public void commit(final EndpointTable table) {
        if (closed) {
            return;
        }
        if (part.entries() > 0) {
            endPart(StoredRecord.CHANGE_PART);
        }
        part.number(table.version());
        endPart(StoredRecord.CHANGE_END);
        try {
            save(table);
        } catch (final IOException e) {
            suspend(e);
        }
    }

    private void forgetWaiting() {
        waiting.clear();
        waitingBytes = 0;
    }

    /** Appends what waits, or begins a new base. */
    private void save(final EndpointTable table) throws IOException {
        final boolean nothingNew = waiting.isEmpty() && !behind;
        if (!owner || closed || suspended || nothingNew || writer != null && !behind) {
            return;
        }
        if (file != null && !behind && size - baseBytes + waitingBytes <= mostChangeBytes()) {
            for (final ByteBuffer record : waiting) {
                size = StoredRecord.write(file, record, size);
            }
            forgetWaiting();
        } else {
            beginBase(table);
        }
    }

    /** Bytes of changes behind the base: the next base must find room beside both. */
    private long mostChangeBytes() {
        return Math.min(Math.max(baseBytes, LEAST_CHANGE_BYTES), roomBytes());
    }

    /** What the budget leaves for changes: they may all be additions, by which the next base is larger. */
    private long roomBytes() {
        return (budgetBytes - 2 * rounded(baseBytes)) / 2 - DISK_BLOCK_BYTES;
    }

    private static long rounded(final long bytes) {
        return (bytes + DISK_BLOCK_BYTES - 1) / DISK_BLOCK_BYTES * DISK_BLOCK_BYTES;
    }

    // ---------------------------------------------------------------- the base

    private void beginBase(final EndpointTable table) throws IOException {
        if (writer != null) {
            writer.abandon();
        }
        // The base has them all.
        forgetWaiting();
        behind = false;
        writer = new SnapshotWriter(next, place, fingerprint, table.version());
    }

    /** True while a base is being written: {@link #writeSlice} is due. */
    public boolean isWriting() {
        return writer != null;
    }

    /** Writes a small part of the base. */
    public void writeSlice(final EndpointTable table) {
        if (writer == null) {
            return;
        }
        try {
            final boolean more = writer.writeSlice(table);
            if (!fits(writer.size() + waitingBytes)) {
                giveUp("it needs more than the " + budgetBytes + " bytes there are for it");
            } else if (!more) {
                endBase(table);
            }
        } catch (final IOException e) {
            suspend(e);
        }
    }

    /** True if a new file of that size, with what else a base needs at its end, has room beside the old one. */
    private boolean fits(final long bytes) {
        return rounded(size) + rounded(bytes) + DISK_BLOCK_BYTES <= budgetBytes;
    }

    private void endBase(final EndpointTable table) throws IOException {
        final long ended = writer.finish();
        final FileChannel fresh = writer.replace(waiting);
        size = writer.size();
        baseBytes = ended;
        writer = null;
        if (file != null) {
            file.close();
        }
        file = fresh;
        forgetWaiting();
        if (resumed) {
            resumed = false;
            log.accept("the stored list is written anew");
        }
        if (roomBytes() < Math.max(baseBytes, LEAST_CHANGE_BYTES) / MOST_BASE_PER_CHANGE) {
            giveUp("it needs more than the " + budgetBytes + " bytes there are for it");
        } else {
            save(table);
        }
    }

    /** Keeps no copy from now on: a torn or old one would be of no use. */
    private void giveUp(final String reason) {
        log.accept("no copy of the list is kept: " + reason);
        releaseOwnership();
        try {
            Files.deleteIfExists(next);
            Files.deleteIfExists(place);
        } catch (final IOException e) {
            log.accept("the stored list cannot be deleted: " + e.getMessage());
        }
        size = 0;
    }
}
