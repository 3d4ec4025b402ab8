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
 * The write-ahead log of accepted messages, in the state folder, which outlasts the process. It is a file of
 * {@link Records}; an incomplete record at its end, left by a kill, is dropped. When the file reaches its maximum
 * size, the open messages are written to a new file that replaces it atomically. Nothing is synced: the folder
 * outlasts the process, and if the machine is lost, so is the folder.
 *
 * <p>Writes to the folder may fail for a while. A message is accepted, and an attempt started, only after its record
 * is written. Records of outcomes are queued until they can be written: they stay in order, and nothing is written
 * ahead of them.
 */
final class Journal implements AutoCloseable {
    private static final String FILE = "journal";
    private static final String NEXT_FILE = "journal.next";
    /** Share of the disk limit for one file. During a compaction two files exist and use at most four fifths. */
    private static final double FILE_SHARE = 0.4;
    /** Share of a file for accepted messages; the rest is for records of attempts and outcomes, which must fit. */
    private static final double ACCEPTED_SHARE = 0.6;
    /** Share of a file for the records of ended messages. */
    private static final double ENDED_SHARE = 0.1;
    /** Length of the record of an ended message without its id. */
    private static final int ENDED_RECORD_BYTES = 20;
    /** The length of most ids, at least, by which the number of ended messages is reckoned. */
    private static final int USUAL_ID_CHARS = 16;
    /** Space reserved per message for the records of its attempts and notice, which are few and short. */
    private static final int OUTCOME_RESERVE_BYTES = 256;

    static final byte ACCEPTED = 1;
    private static final byte ATTEMPT_STARTED = 2;
    private static final byte ATTEMPT_ENDED = 3;
    private static final byte NOTICE_PENDING = 4;
    private static final byte COMPLETED = 5;
    private static final byte READ_POSITION = 6;
    private static final byte ENDED = 7;
    /** A time before the end of all remembered messages: while the file is read, only their number is limited. */
    private static final long NEVER_OVER = Long.MIN_VALUE;
    /** For {@link #recordReadPosition}: the file has been removed. */
    static final long FILE_REMOVED = -1;

    private final Path folder;
    private final long maxFileBytes;
    /** The heap limit for open messages. */
    private final MemoryBudget memory;

    private final Map<String, AcceptedMessage> openMessages = new LinkedHashMap<>();
    private final EndedMessages endedMessages;
    /** How far the handover files of predecessor processes have been read, by file name. */
    private final Map<String, Long> readPositions = new LinkedHashMap<>();

    /** Records of outcomes that could not be written yet. */
    private final Deque<ByteBuffer> unwrittenRecords = new ArrayDeque<>();

    private RecordFile file;
    /** A compacted file whose rename failed, while it is unknown whether the rename took effect; otherwise null. */
    private RecordFile replacement;

    private long openMessageBytes;
    private boolean writesFailing;

    private Journal(final Path folder, final long diskBytes, final MemoryBudget memory) {
        this.folder = folder;
        this.memory = memory;
        this.maxFileBytes = (long) (FILE_SHARE * diskBytes);
        final long endedBytes = (long) (ENDED_SHARE * maxFileBytes);
        final long endedOnDisk = endedBytes / (ENDED_RECORD_BYTES + USUAL_ID_CHARS);
        this.endedMessages =
                new EndedMessages((int) Math.min(memory.maxEndedMessages(), endedOnDisk), USUAL_ID_CHARS * endedOnDisk);
    }

    /** Opens or creates the journal of a folder, and reads the open messages. */
    static Journal open(final Path folder, final long diskBytes) throws IOException {
        return open(folder, diskBytes, MemoryBudget.unlimited());
    }

    /**
     * As above, with a heap limit for accepting messages. The messages in the folder are loaded even if they exceed
     * the limit.
     */
    static Journal open(final Path folder, final long diskBytes, final MemoryBudget memory) throws IOException {
        final Journal journal = new Journal(folder, diskBytes, memory);
        Files.createDirectories(folder);
        // Left by a kill during a compaction; the old file is still complete.
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

    /** The messages that have no outcome yet, or whose notice is not yet confirmed, in the order of acceptance. */
    Collection<AcceptedMessage> openMessages() {
        return List.copyOf(openMessages.values());
    }

    /** Whether a submitted message is accepted. */
    enum Admission {
        /** The message is recorded. */
        ACCEPTED,
        /** There is no space for it, or it could not be recorded; a restarted process does not know of it. */
        REJECTED,
        /** It is not open in this process, but a restarted process may find its record. */
        UNCERTAIN
    }

    /** Records and accepts a message, unless it exceeds the disk or heap limit. */
    Admission accept(final AcceptedMessage message) {
        final long bytes = journalBytes(message);
        if (openMessageBytes + bytes > ACCEPTED_SHARE * maxFileBytes || !memory.admit(message)) {
            return Admission.REJECTED;
        }
        final RecordFile.AppendResult append = append(acceptedRecord(message));
        if (append != RecordFile.AppendResult.WRITTEN) {
            memory.release(message);
            return append == RecordFile.AppendResult.UNCERTAIN ? Admission.UNCERTAIN : Admission.REJECTED;
        }
        endedMessages.remove(message.id);
        openMessages.put(message.id, message);
        openMessageBytes += bytes;
        return Admission.ACCEPTED;
    }

    /** Records a message accepted by a predecessor process. It is taken over even if the limits are exceeded. */
    boolean acceptInherited(final AcceptedMessage message) {
        if (append(acceptedRecord(message)) != RecordFile.AppendResult.WRITTEN) {
            return false;
        }
        endedMessages.remove(message.id);
        openMessages.put(message.id, message);
        openMessageBytes += journalBytes(message);
        memory.charge(message);
        return true;
    }

    /** Records an attempt before the first byte of its call; if that fails (false), the call must not be made. */
    boolean beginAttempt(final AcceptedMessage message, final long persistentUs, final String zone) {
        final ByteBuffer record = Records.encode(ATTEMPT_STARTED, message.id, out -> {
            out.writeLong(persistentUs);
            out.writeUTF(zone);
        });
        if (append(record) != RecordFile.AppendResult.WRITTEN) {
            return false;
        }
        message.beginAttempt(persistentUs, zone);
        return true;
    }

    /** Records the outcome of an attempt. */
    void endAttempt(final AcceptedMessage message, final boolean hadNoEffect) {
        message.endAttempt(hadNoEffect);
        writeOrQueue(Records.encode(ATTEMPT_ENDED, message.id, out -> out.writeBoolean(hadNoEffect)));
    }

    /**
     * Records that a message has ended and only its notice is pending. False while the record is not written: until
     * then a restarted process would continue with the message.
     */
    boolean recordNotice(final AcceptedMessage message, final AcceptedMessage.Notice notice) {
        message.setNotice(notice);
        return writeOrQueue(noticeRecord(message));
    }

    /** Records that a message is complete and needs no notice; false while the record is not written. */
    boolean complete(final AcceptedMessage message) {
        return !removeOpen(message) || writeOrQueue(Records.encode(COMPLETED, message.id, out -> {}));
    }

    /** As {@link #complete(AcceptedMessage)}, for a message that may have been carried out: its id is remembered. */
    boolean complete(final AcceptedMessage message, final EndedMessages.End end, final long nowPersistentUs) {
        if (!removeOpen(message)) {
            return true;
        }
        endedMessages.add(message.id, end, nowPersistentUs);
        return writeOrQueue(endRecord(COMPLETED, message.id, end));
    }

    private boolean removeOpen(final AcceptedMessage message) {
        if (openMessages.remove(message.id) == null) {
            return false;
        }
        openMessageBytes -= journalBytes(message);
        memory.release(message);
        return true;
    }

    /** How a message that may have been carried out has ended; null if that is not remembered. */
    EndedMessages.End findEnd(final String id, final long nowPersistentUs) {
        return endedMessages.find(id, nowPersistentUs);
    }

    /** Records how far the handover file of a predecessor has been processed, or that the file was removed. */
    void recordReadPosition(final String name, final long position) {
        setReadPosition(name, position);
        writeOrQueue(Records.encode(READ_POSITION, name, out -> out.writeLong(position)));
    }

    /** How far the handover file of a predecessor has been processed. */
    long readPosition(final String name) {
        return readPositions.getOrDefault(name, 0L);
    }

    private void setReadPosition(final String name, final long position) {
        if (position == FILE_REMOVED) {
            readPositions.remove(name);
        } else {
            readPositions.put(name, position);
        }
    }

    /** True for an open message: one without an outcome, or with a pending notice. */
    boolean contains(final String id) {
        return openMessages.containsKey(id);
    }

    /** Closes the file, and releases the memory charged for the open messages. */
    @Override
    public void close() throws IOException {
        openMessages.values().forEach(memory::release);
        file.close();
    }

    private static long journalBytes(final AcceptedMessage message) {
        final int keys = (message.idempotencyKey == null ? 0 : message.idempotencyKey.length())
                + (message.orderKey == null ? 0 : message.orderKey.length());
        return message.body.length + 2L * message.id.length() + keys + OUTCOME_RESERVE_BYTES;
    }

    // ---------------------------------------------------------------- writing

    /** The record of a message with its attempts so far, so that one record is enough after a compaction. */
    static ByteBuffer acceptedRecord(final AcceptedMessage message) {
        return Records.encode(ACCEPTED, message.id, out -> {
            out.writeUTF(message.className);
            out.writeBoolean(message.idempotencyKey != null);
            out.writeUTF(message.idempotencyKey == null ? "" : message.idempotencyKey);
            out.writeLong(message.destination);
            out.writeLong(message.validUntilPersistentUs);
            out.writeInt(message.body.length);
            out.write(message.body);
            out.writeInt(message.attempts() - (message.hasAttemptInFlight() ? 1 : 0));
            out.writeLong(message.firstEffectPersistentUs());
            out.writeUTF(message.effectZone());
            // After the fields of the older format: after a program update a journal may still lack this one.
            out.writeBoolean(message.orderKey != null);
            out.writeUTF(message.orderKey == null ? "" : message.orderKey);
        });
    }

    /** A completed message with its end, which older programs ignore; or, after a compaction, the end alone. */
    private static ByteBuffer endRecord(final byte type, final String id, final EndedMessages.End end) {
        return Records.encode(type, id, out -> {
            out.writeBoolean(end.delivered());
            out.writeLong(end.untilPersistentUs());
        });
    }

    private static ByteBuffer noticeRecord(final AcceptedMessage message) {
        return Records.encode(NOTICE_PENDING, message.id, out -> {
            out.writeBoolean(message.notice().failed());
            out.writeLong(message.notice().retryAfterMs());
        });
    }

    private RecordFile.AppendResult append(final ByteBuffer record) {
        return flush() ? write(record) : RecordFile.AppendResult.NOT_WRITTEN;
    }

    /** Writes a record now, or queues it until it can be written; true if it is written. */
    private boolean writeOrQueue(final ByteBuffer record) {
        unwrittenRecords.add(record);
        return flush();
    }

    /** Writes the queued records, and truncates what a failed write left; true if nothing is left to do. */
    boolean flush() {
        while (!unwrittenRecords.isEmpty() && write(unwrittenRecords.peek()) == RecordFile.AppendResult.WRITTEN) {
            unwrittenRecords.remove();
        }
        return unwrittenRecords.isEmpty() && file.truncateFailedWrite(this::writeFailed);
    }

    private RecordFile.AppendResult write(final ByteBuffer record) {
        try {
            resolveReplacement();
            if (file.size() + record.capacity() > maxFileBytes) {
                compact();
            }
        } catch (final IOException e) {
            writeFailed(e);
            return RecordFile.AppendResult.NOT_WRITTEN;
        }
        final RecordFile.AppendResult append = file.append(record, this::writeFailed);
        if (append == RecordFile.AppendResult.WRITTEN && writesFailing) {
            writesFailing = false;
            Log.info("journal: can be written again");
        }
        return append;
    }

    private void writeFailed(final IOException cause) {
        if (!writesFailing) {
            Log.info("journal: cannot write: " + cause.getMessage());
        }
        writesFailing = true;
    }

    /** Writes the open messages to a new file, which replaces the old one atomically. */
    private void compact() throws IOException {
        final Path next = folder.resolve(NEXT_FILE);
        final FileChannel newFile = FileChannel.open(
                next,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        final RecordFile compacted;
        try {
            compacted = new RecordFile(newFile, writeOpenMessages(newFile));
        } catch (final IOException e) {
            newFile.close();
            throw e;
        }
        try {
            Files.move(next, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE);
        } catch (final IOException e) {
            replacement = compacted;
            writeFailed(e);
            resolveReplacement();
            return;
        }
        replaceWith(compacted);
    }

    /** Finds out whether a failed rename took effect, by checking if the file still exists under its old name. */
    private void resolveReplacement() throws IOException {
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
            throw new IOException("the compacted file could not be renamed to " + FILE);
        }
    }

    private void replaceWith(final RecordFile compacted) {
        final RecordFile old = file;
        file = compacted;
        try {
            old.close();
        } catch (final IOException e) {
            writeFailed(e);
        }
    }

    private long writeOpenMessages(final FileChannel newFile) throws IOException {
        long written = 0;
        for (final AcceptedMessage message : openMessages.values()) {
            written = writeRecord(newFile, acceptedRecord(message), written);
            if (message.hasAttemptInFlight()) {
                written = writeRecord(
                        newFile,
                        Records.encode(ATTEMPT_STARTED, message.id, out -> {
                            out.writeLong(message.attemptStartPersistentUs());
                            out.writeUTF(message.attemptZone());
                        }),
                        written);
            }
            if (message.notice() != null) {
                written = writeRecord(newFile, noticeRecord(message), written);
            }
        }
        for (final EndedMessages.Entry entry : endedMessages.entries()) {
            written = writeRecord(newFile, endRecord(ENDED, entry.id(), entry.end()), written);
        }
        for (final Map.Entry<String, Long> entry : readPositions.entrySet()) {
            written = writeRecord(
                    newFile,
                    Records.encode(READ_POSITION, entry.getKey(), out -> out.writeLong(entry.getValue())),
                    written);
        }
        return written;
    }

    private static long writeRecord(final FileChannel to, final ByteBuffer record, final long at) throws IOException {
        Records.write(to, record, at);
        return at + record.capacity();
    }

    // ---------------------------------------------------------------- reading

    private void load(final FileChannel channel) throws IOException {
        final long size = Records.read(channel, 0, this::apply);
        // A kill during a write leaves a partial record; no response or call was made on the basis of it.
        if (size < channel.size()) {
            Log.info("journal: truncated " + (channel.size() - size) + " bytes of an incomplete record at " + size);
            channel.truncate(size);
        }
        file = new RecordFile(channel, size);
        openMessageBytes =
                openMessages.values().stream().mapToLong(Journal::journalBytes).sum();
        openMessages.values().forEach(memory::charge);
        if (memory.usedBytes() > memory.capacityBytes()) {
            Log.info("journal: " + openMessages.size() + " messages are held, reckoned at " + memory.usedBytes()
                    + " bytes of memory of " + memory.capacityBytes() + ": nothing new is taken on until enough end");
        }
    }

    private void apply(final byte type, final String id, final DataInputStream in) throws IOException {
        final AcceptedMessage message = openMessages.get(id);
        if (type == ACCEPTED) {
            openMessages.put(id, parseAccepted(id, in));
            endedMessages.remove(id);
        } else if (type == ENDED) {
            applyEnd(id, in);
        } else if (type == READ_POSITION) {
            setReadPosition(id, in.readLong());
        } else if (message != null) {
            switch (type) {
                case ATTEMPT_STARTED -> message.beginAttempt(in.readLong(), in.readUTF());
                case ATTEMPT_ENDED -> message.endAttempt(in.readBoolean());
                case NOTICE_PENDING -> message.setNotice(new AcceptedMessage.Notice(in.readBoolean(), in.readLong()));
                case COMPLETED -> {
                    openMessages.remove(id);
                    applyEnd(id, in);
                }
                default -> Log.info("journal: ignored a record of unknown type " + type);
            }
        }
    }

    private void applyEnd(final String id, final DataInputStream in) throws IOException {
        if (in.available() > 0) {
            endedMessages.add(id, new EndedMessages.End(in.readBoolean(), in.readLong()), NEVER_OVER);
        }
    }

    /** Parses a record written by {@link #acceptedRecord(AcceptedMessage)}. */
    static AcceptedMessage parseAccepted(final String id, final DataInputStream in) throws IOException {
        final String className = in.readUTF();
        final boolean hasIdempotencyKey = in.readBoolean();
        final String idempotencyKey = in.readUTF();
        final long destination = in.readLong();
        final long validUntilPersistentUs = in.readLong();
        final byte[] body = in.readNBytes(in.readInt());
        final int attempts = in.readInt();
        final long firstEffectPersistentUs = in.readLong();
        final String effectZone = in.readUTF();
        final boolean hasOrderKey = in.available() > 0 && in.readBoolean();
        final String orderKey = hasOrderKey ? in.readUTF() : null;
        final AcceptedMessage message = new AcceptedMessage(
                id,
                className,
                hasIdempotencyKey ? idempotencyKey : null,
                orderKey,
                destination,
                validUntilPersistentUs,
                body);
        message.restoreAttempts(attempts, firstEffectPersistentUs, effectZone);
        return message;
    }
}
