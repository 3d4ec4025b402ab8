package railspar.node;

import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import railspar.Courier;

/**
 * Writes the handover file, in which a process that hands over reports to its successor. The file consists of
 * {@link Records}; only this process writes it, and holds a lock on it until it ends. It starts with snapshots of the
 * endpoints and the calls in flight. Outcomes of those calls, and messages that clients still submit on kept
 * connections, follow until the process ends. {@link HandoverReader} reads the file.
 */
final class HandoverWriter {
    static final String FILE_PREFIX = "leaving-";
    static final byte ENDPOINT_SNAPSHOT = 11;
    static final byte CALL_IN_FLIGHT = 12;
    static final byte OUTCOME = 13;
    static final byte WITHDRAWN = 14;
    /**
     * Share of the disk budget for the handover files of all predecessor processes; the journal and its replacement
     * need space beside them.
     */
    private static final double FILE_SHARE = 0.15;
    /** Share of a file for the snapshots; the rest is for calls, outcomes and messages. */
    private static final double SNAPSHOT_SHARE = 2.0 / 3;

    private final Clock clock;
    private final RecordFile file;
    /** Held until the process ends in any way; the code never releases it. */
    private final FileLock aliveLock;

    private final long maxBytes;

    private HandoverWriter(final Clock clock, final RecordFile file, final FileLock aliveLock, final long maxBytes) {
        this.clock = clock;
        this.file = file;
        this.aliveLock = aliveLock;
        this.maxBytes = maxBytes;
    }

    /** Creates a new file in that folder. */
    static HandoverWriter create(final Path folder, final Clock clock, final long diskBytes) throws IOException {
        final Path path = folder.resolve(FILE_PREFIX + clock.persistentUs() + "-"
                + ProcessHandle.current().pid());
        final FileChannel file = FileChannel.open(
                path, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ, StandardOpenOption.WRITE);
        return new HandoverWriter(
                clock, new RecordFile(file, 0), file.lock(), (long) (FILE_SHARE * diskBytes) - bytesOfAll(folder));
    }

    /** The size of the handover files in the folder, which processes before this one have written. */
    private static long bytesOfAll(final Path folder) throws IOException {
        long bytes = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FILE_PREFIX + "*")) {
            for (final Path path : files) {
                bytes += sizeIfExists(path);
            }
        } catch (final DirectoryIteratorException e) {
            throw e.getCause();
        }
        return bytes;
    }

    private static long sizeIfExists(final Path path) throws IOException {
        try {
            return Files.size(path);
        } catch (final NoSuchFileException e) {
            return 0;
        }
    }

    /** False once the lock is lost that shows the successor that this process is alive. */
    boolean holdsLock() {
        return aliveLock.isValid();
    }

    /**
     * Writes the snapshot of an endpoint and its destination. Times are written as persistent time, which the successor
     * shares. Returns false and writes nothing if the file has no room for it.
     */
    boolean writeSnapshot(final String host, final Courier.EndpointSnapshot snapshot) throws IOException {
        final ByteBuffer record = snapshotRecord(host, snapshot);
        if (file.size() + record.capacity() > SNAPSHOT_SHARE * maxBytes) {
            return false;
        }
        append(record);
        return true;
    }

    private ByteBuffer snapshotRecord(final String host, final Courier.EndpointSnapshot snapshot) {
        return Records.encode(ENDPOINT_SNAPSHOT, host, out -> {
            out.writeInt(snapshot.values().size());
            for (final Map.Entry<String, Double> value : snapshot.values().entrySet()) {
                out.writeUTF(value.getKey());
                out.writeDouble(value.getValue());
            }
            out.writeInt(snapshot.timesUs().size());
            for (final Map.Entry<String, Long> time : snapshot.timesUs().entrySet()) {
                out.writeUTF(time.getKey());
                out.writeLong(clock.toPersistentUs(time.getValue()));
            }
        });
    }

    /** Writes that a message is part of a call that is still in flight in this process. */
    void writeCallInFlight(final String id, final String host) throws IOException {
        append(CALL_IN_FLIGHT, id, out -> out.writeUTF(host));
    }

    /** Writes the outcome of a message's call. */
    void writeOutcome(final String id, final EndpointClient.AttemptOutcome outcome, final long durationUs)
            throws IOException {
        append(OUTCOME, id, out -> write(out, outcome, durationUs));
    }

    private static void write(
            final DataOutputStream out, final EndpointClient.AttemptOutcome outcome, final long durationUs)
            throws IOException {
        out.writeUTF(outcome.result().name());
        out.writeBoolean(outcome.isFinal());
        out.writeLong(durationUs);
        out.writeLong(outcome.retryAfterUs());
        out.writeBoolean(outcome.reportedLimit() != null);
        if (outcome.reportedLimit() != null) {
            out.writeDouble(outcome.reportedLimit().remainingShare());
            out.writeDouble(outcome.reportedLimit().callsPerSecond());
        }
    }

    /** Writes a message that a client submitted during the handover; rejects it if the file has no room for it. */
    Journal.Admission accept(final AcceptedMessage message) {
        final ByteBuffer record = Journal.acceptedRecord(message);
        if (file.size() + record.capacity() > maxBytes) {
            return Journal.Admission.REJECTED;
        }
        return switch (file.append(record, HandoverWriter::logWriteFailure)) {
            case WRITTEN -> Journal.Admission.ACCEPTED;
            case NOT_WRITTEN -> Journal.Admission.REJECTED;
            case UNCERTAIN -> Journal.Admission.UNCERTAIN;
        };
    }

    private static void logWriteFailure(final IOException cause) {
        Log.info("handover file: cannot write: " + cause.getMessage());
    }

    /** Writes that a message's client disconnected before it got its response. */
    void writeWithdrawn(final String id) throws IOException {
        append(WITHDRAWN, id, out -> {});
    }

    private void append(final byte type, final String id, final Records.Content content) throws IOException {
        append(Records.encode(type, id, content));
    }

    private void append(final ByteBuffer record) throws IOException {
        final RecordFile.AppendResult result = file.append(record, HandoverWriter::logWriteFailure);
        if (result != RecordFile.AppendResult.WRITTEN) {
            throw new IOException("cannot append a record to the handover file");
        }
    }
}
