package railspar.node;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The record of what this courier has taken on, in the folder that outlasts the process. A file of {@link Records};
 * what a kill cut off at its end is dropped. When the file has grown to its bound, what is still owed is written to
 * a new file that takes its place at once. Nothing is synced: the folder outlasts the process, and a machine that is
 * lost loses the folder as well.
 *
 * <p>The folder may fail for a while. A message is taken on and an attempt is begun only where its record is
 * written. How messages fare is recorded as soon as the folder lets it: until then these records wait in their
 * order, and nothing is written ahead of them.
 */
final class Journal implements AutoCloseable {
    private static final String FILE = "journal";
    private static final String NEXT_FILE = "journal.next";
    /** Share of the disk for one file: with the one that takes its place, four fifths are used at most. */
    private static final double FILE_SHARE = 0.4;
    /** Share of a file that messages may fill: the rest is for how they fare, which must always find room. */
    private static final double TAKE_SHARE = 0.6;
    /** Room that is reckoned for how a message fares, and its notice: attempts are few and short. */
    private static final int FATE_BYTES = 256;

    static final byte ACCEPTED = 1;
    private static final byte BEGUN = 2;
    private static final byte SETTLED = 3;
    private static final byte OWED = 4;
    private static final byte OVER = 5;
    private static final byte READ = 6;
    /** For {@link #read}: that file is gone. */
    static final long FILE_REMOVED = -1;

    private final Path folder;
    private final long fileBytes;
    /** What the messages that are held may take of the heap. */
    private final MemoryBudget memory;

    private final Map<String, AcceptedMessage> openMessages = new LinkedHashMap<>();
    /** How far the files of processes that leave have been read, by their names. */
    private final Map<String, Long> readPositions = new LinkedHashMap<>();

    /** Records on how messages fared that could not be written yet. */
    private final Deque<ByteBuffer> backlog = new ArrayDeque<>();

    private RecordFile file;
    /** A compacted file whose renaming failed, while it is not known whether it took effect; or null. */
    private RecordFile replacement;

    private long liveBytes;
    private boolean failing;

    private Journal(final Path folder, final long diskBytes, final MemoryBudget memory) {
        this.folder = folder;
        this.memory = memory;
        this.fileBytes = (long) (FILE_SHARE * diskBytes);
    }

    /** Opens the journal of a folder, or begins it, and reads what the courier still owes. */
    static Journal open(final Path folder, final long diskBytes) throws IOException {
        return open(folder, diskBytes, MemoryBudget.unlimited());
    }

    /**
     * As above, with a bound on the memory of what is taken on. What the folder holds is read whether or not it is
     * within that bound.
     */
    static Journal open(final Path folder, final long diskBytes, final MemoryBudget memory) throws IOException {
        final Journal journal = new Journal(folder, diskBytes, memory);
        Files.createDirectories(folder);
        // A kill in the middle of a compaction leaves this; the old file is still the whole truth.
        Files.deleteIfExists(folder.resolve(NEXT_FILE));
        final FileChannel file = FileChannel.open(
                folder.resolve(FILE), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            journal.load(file);
        } catch (final IOException e) {
            file.close();
            throw e;
        }
        return journal;
    }

    /** What the courier owes an end or a notice, in the order taken. */
    Collection<AcceptedMessage> openMessages() {
        return List.copyOf(openMessages.values());
    }

    /** Whether a message that a client hands in is taken on. */
    enum Admission {
        /** It is recorded. */
        ACCEPTED,
        /** There is no room for it, or it could not be recorded: the next process does not know of it. */
        REJECTED,
        /** It is not held here, but the next process may find it. */
        UNCERTAIN
    }

    /** Records a message that is taken on; nothing is taken if there is no room for it. */
    Admission accept(final AcceptedMessage held) {
        final long bytes = bytes(held);
        if (liveBytes + bytes > TAKE_SHARE * fileBytes || !memory.admit(held)) {
            return Admission.REJECTED;
        }
        final RecordFile.AppendResult append = append(acceptedRecord(held));
        if (append != RecordFile.AppendResult.WRITTEN) {
            memory.release(held);
            return append == RecordFile.AppendResult.UNCERTAIN ? Admission.UNCERTAIN : Admission.REJECTED;
        }
        openMessages.put(held.id, held);
        liveBytes += bytes;
        return Admission.ACCEPTED;
    }

    /** Records a message that a leaving process took on: it is owed its end whether or not it is too much. */
    boolean acceptInherited(final AcceptedMessage held) {
        if (append(acceptedRecord(held)) != RecordFile.AppendResult.WRITTEN) {
            return false;
        }
        openMessages.put(held.id, held);
        liveBytes += bytes(held);
        memory.charge(held);
        return true;
    }

    /** Records an attempt, before its call's first byte; false if that failed, and then it may not be made. */
    boolean beginAttempt(final AcceptedMessage held, final long persistentUs, final String zone) {
        final ByteBuffer begun = Records.encode(BEGUN, held.id, out -> {
            out.writeLong(persistentUs);
            out.writeUTF(zone);
        });
        if (append(begun) != RecordFile.AppendResult.WRITTEN) {
            return false;
        }
        held.beginAttempt(persistentUs, zone);
        return true;
    }

    /** Records the outcome of an attempt. */
    void endAttempt(final AcceptedMessage held, final boolean neverRan) {
        held.endAttempt(neverRan);
        note(Records.encode(SETTLED, held.id, out -> out.writeBoolean(neverRan)));
    }

    /**
     * Records that a message has ended and that only its notice is still owed; false while that waits for the folder:
     * the next process would go on with the message.
     */
    boolean recordNotice(final AcceptedMessage held, final AcceptedMessage.Notice notice) {
        held.setNotice(notice);
        return note(owed(held));
    }

    /** Records that nothing is owed for a message any more; false while that waits for the folder. */
    boolean complete(final AcceptedMessage held) {
        if (openMessages.remove(held.id) == null) {
            return true;
        }
        liveBytes -= bytes(held);
        memory.release(held);
        return note(Records.encode(OVER, held.id, out -> {}));
    }

    /** Records that a leaving process's file is taken up so far, or that it is gone. */
    void recordReadPosition(final String name, final long position) {
        heard(name, position);
        note(Records.encode(READ, name, out -> out.writeLong(position)));
    }

    /** How far a leaving process's file had been taken up. */
    long readPosition(final String name) {
        return readPositions.getOrDefault(name, 0L);
    }

    private void heard(final String name, final long position) {
        if (position == FILE_REMOVED) {
            readPositions.remove(name);
        } else {
            readPositions.put(name, position);
        }
    }

    /** True for a message that is owed an end or a notice. */
    boolean contains(final String id) {
        return openMessages.containsKey(id);
    }

    /** Closes the file; what it held is not charged to the memory any more. */
    @Override
    public void close() throws IOException {
        openMessages.values().forEach(memory::release);
        file.close();
    }

    private static long bytes(final AcceptedMessage held) {
        final int keys = (held.idempotencyKey == null ? 0 : held.idempotencyKey.length())
                + (held.orderKey == null ? 0 : held.orderKey.length());
        return held.body.length + 2L * held.id.length() + keys + FATE_BYTES;
    }

    // ---------------------------------------------------------------- writing

    /** A message with all that became of it, so that one record is enough after a compaction. */
    static ByteBuffer acceptedRecord(final AcceptedMessage held) {
        return Records.encode(ACCEPTED, held.id, out -> {
            out.writeUTF(held.className);
            out.writeBoolean(held.idempotencyKey != null);
            out.writeUTF(held.idempotencyKey == null ? "" : held.idempotencyKey);
            out.writeLong(held.destination);
            out.writeLong(held.validUntilPersistentUs);
            out.writeInt(held.body.length);
            out.write(held.body);
            out.writeInt(held.attempts() - (held.hasAttemptInFlight() ? 1 : 0));
            out.writeLong(held.firstEffectPersistentUs());
            out.writeUTF(held.effectZone());
            // Behind all that an older journal has, which the next process may find when the program is replaced.
            out.writeBoolean(held.orderKey != null);
            out.writeUTF(held.orderKey == null ? "" : held.orderKey);
        });
    }

    private static ByteBuffer owed(final AcceptedMessage held) {
        return Records.encode(OWED, held.id, out -> {
            out.writeBoolean(held.notice().failed());
            out.writeLong(held.notice().retryAfterMs());
        });
    }

    private RecordFile.AppendResult append(final ByteBuffer record) {
        return flush() ? write(record) : RecordFile.AppendResult.NOT_WRITTEN;
    }

    /** Writes a record now or as soon as that can be done; true if it is written. */
    private boolean note(final ByteBuffer record) {
        backlog.add(record);
        return flush();
    }

    /** Writes what waits for the folder; true if nothing waits any more. */
    boolean flush() {
        while (!backlog.isEmpty() && write(backlog.peek()) == RecordFile.AppendResult.WRITTEN) {
            backlog.remove();
        }
        return backlog.isEmpty() && file.truncateFailedWrite(this::failed);
    }

    private RecordFile.AppendResult write(final ByteBuffer record) {
        try {
            settleReplacement();
            if (file.size() + record.capacity() > fileBytes) {
                compact();
            }
        } catch (final IOException e) {
            failed(e);
            return RecordFile.AppendResult.NOT_WRITTEN;
        }
        final RecordFile.AppendResult append = file.append(record, this::failed);
        if (append == RecordFile.AppendResult.WRITTEN && failing) {
            failing = false;
            Log.info("journal: can be written again");
        }
        return append;
    }

    private void failed(final IOException cause) {
        if (!failing) {
            Log.info("journal: cannot write: " + cause.getMessage());
        }
        failing = true;
    }

    /** Writes what is owed to a new file and puts it in the place of the old one in one step. */
    private void compact() throws IOException {
        final Path next = folder.resolve(NEXT_FILE);
        final FileChannel fresh = FileChannel.open(
                next,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        final RecordFile compacted;
        try {
            compacted = new RecordFile(fresh, writeLive(fresh));
        } catch (final IOException e) {
            fresh.close();
            throw e;
        }
        try {
            Files.move(next, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE);
        } catch (final IOException e) {
            replacement = compacted;
            failed(e);
            settleReplacement();
            return;
        }
        replaceWith(compacted);
    }

    /** A rename that failed may have taken effect: the file's new name tells. */
    private void settleReplacement() throws IOException {
        if (replacement == null) {
            return;
        }
        final RecordFile compacted = replacement;
        boolean renamed = false;
        try {
            Files.readAttributes(folder.resolve(NEXT_FILE), BasicFileAttributes.class);
        } catch (final NoSuchFileException e) {
            renamed = true;
        }
        replacement = null;
        if (renamed) {
            replaceWith(compacted);
        } else {
            compacted.close();
            throw new IOException("a compacted file could not be renamed");
        }
    }

    private void replaceWith(final RecordFile compacted) {
        final RecordFile old = file;
        file = compacted;
        try {
            old.close();
        } catch (final IOException e) {
            failed(e);
        }
    }

    private long writeLive(final FileChannel fresh) throws IOException {
        long written = 0;
        for (final AcceptedMessage held : openMessages.values()) {
            written = copy(fresh, acceptedRecord(held), written);
            if (held.hasAttemptInFlight()) {
                written = copy(
                        fresh,
                        Records.encode(BEGUN, held.id, out -> {
                            out.writeLong(held.attemptStartPersistentUs());
                            out.writeUTF(held.attemptZone());
                        }),
                        written);
            }
            if (held.notice() != null) {
                written = copy(fresh, owed(held), written);
            }
        }
        for (final Map.Entry<String, Long> read : readPositions.entrySet()) {
            written = copy(fresh, Records.encode(READ, read.getKey(), out -> out.writeLong(read.getValue())), written);
        }
        return written;
    }

    private static long copy(final FileChannel to, final ByteBuffer record, final long at) throws IOException {
        Records.write(to, record, at);
        return at + record.capacity();
    }

    // ---------------------------------------------------------------- reading

    private void load(final FileChannel found) throws IOException {
        final long size = Records.read(found, 0, this::apply);
        // A kill in the middle of a write leaves half a record; nothing was answered or sent on its strength.
        if (size < found.size()) {
            Log.info("journal: cut " + (found.size() - size) + " bytes of a torn tail at " + size);
            found.truncate(size);
        }
        file = new RecordFile(found, size);
        liveBytes = openMessages.values().stream().mapToLong(Journal::bytes).sum();
        openMessages.values().forEach(memory::charge);
        if (memory.usedBytes() > memory.capacityBytes()) {
            Log.info("journal: " + openMessages.size() + " messages are held, reckoned at " + memory.usedBytes()
                    + " bytes of memory of " + memory.capacityBytes() + ": nothing new is taken on until enough end");
        }
    }

    private void apply(final byte type, final String id, final DataInputStream in) throws IOException {
        final AcceptedMessage held = openMessages.get(id);
        if (type == ACCEPTED) {
            openMessages.put(id, parseAccepted(id, in));
        } else if (type == READ) {
            heard(id, in.readLong());
        } else if (held != null) {
            switch (type) {
                case BEGUN -> held.beginAttempt(in.readLong(), in.readUTF());
                case SETTLED -> held.endAttempt(in.readBoolean());
                case OWED -> held.setNotice(new AcceptedMessage.Notice(in.readBoolean(), in.readLong()));
                case OVER -> openMessages.remove(id);
                default -> Log.info("journal: unknown record " + type);
            }
        }
    }

    /** Reads what {@link #taken(AcceptedMessage)} wrote. */
    static AcceptedMessage parseAccepted(final String id, final DataInputStream in) throws IOException {
        final String className = in.readUTF();
        final boolean keyed = in.readBoolean();
        final String key = in.readUTF();
        final long destination = in.readLong();
        final long validUntilPersistentUs = in.readLong();
        final byte[] body = in.readNBytes(in.readInt());
        final int attempts = in.readInt();
        final long firstRunPersistentUs = in.readLong();
        final String runZone = in.readUTF();
        final boolean ordered = in.available() > 0 && in.readBoolean();
        final String orderKey = ordered ? in.readUTF() : null;
        final AcceptedMessage taken = new AcceptedMessage(
                id, className, keyed ? key : null, orderKey, destination, validUntilPersistentUs, body);
        taken.restoreAttempts(attempts, firstRunPersistentUs, runZone);
        return taken;
    }
}
