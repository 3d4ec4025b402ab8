package railspar.node;

import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import railspar.Courier;

/**
 * Writes what a process that hands over tells its successor, to a file of {@link Records} that only it writes and
 * that it holds a lock on for as long as it lives. First the state of its endpoints and the calls in flight, then,
 * until its end, the outcomes of those calls and the messages that clients still hand in on connections that they
 * keep. {@link HandoverReader} reads the file.
 */
final class HandoverWriter {
    static final String FILE_PREFIX = "leaving-";
    static final byte ENDPOINT_SNAPSHOT = 11;
    static final byte CALL_IN_FLIGHT = 12;
    static final byte OUTCOME = 13;
    static final byte WITHDRAWN = 14;
    /** Share of the disk for it; beside it lie the journal and the one that takes its place. */
    private static final double FILE_SHARE = 0.15;

    private final Clock clock;
    private final RecordFile file;
    /** Held until the process ends, by whatever end: nothing in it ever lets go. */
    private final FileLock alive;

    private final long mostBytes;

    private HandoverWriter(final Clock clock, final RecordFile file, final FileLock alive, final long mostBytes) {
        this.clock = clock;
        this.file = file;
        this.alive = alive;
        this.mostBytes = mostBytes;
    }

    /** Begins a file of its own in that folder. */
    static HandoverWriter create(final Path folder, final Clock clock, final long diskBytes) throws IOException {
        final Path path = folder.resolve(FILE_PREFIX + clock.persistentUs() + "-"
                + ProcessHandle.current().pid());
        final FileChannel file = FileChannel.open(
                path, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ, StandardOpenOption.WRITE);
        return new HandoverWriter(clock, new RecordFile(file, 0), file.lock(), (long) (FILE_SHARE * diskBytes));
    }

    /** False once the lock is lost, by which the successor sees that this process lives. */
    boolean holdsLock() {
        return alive.isValid();
    }

    /**
     * Writes the state of an endpoint and its destination; times are written as persistent time, which the successor
     * shares.
     */
    void writeSnapshot(final String host, final Courier.EndpointSnapshot standing) throws IOException {
        append(ENDPOINT_SNAPSHOT, host, out -> {
            out.writeInt(standing.values().size());
            for (final Map.Entry<String, Double> figure : standing.values().entrySet()) {
                out.writeUTF(figure.getKey());
                out.writeDouble(figure.getValue());
            }
            out.writeInt(standing.timesUs().size());
            for (final Map.Entry<String, Long> time : standing.timesUs().entrySet()) {
                out.writeUTF(time.getKey());
                out.writeLong(clock.toPersistentUs(time.getValue()));
            }
        });
    }

    /** Writes that a message is in a call that is still in flight in this process. */
    void writeCallInFlight(final String id, final String host) throws IOException {
        append(CALL_IN_FLIGHT, id, out -> out.writeUTF(host));
    }

    /** Writes the outcome of a message's call. */
    void writeOutcome(final String id, final EndpointClient.AttemptOutcome answer, final long durationUs)
            throws IOException {
        append(OUTCOME, id, out -> write(out, answer, durationUs));
    }

    private static void write(
            final DataOutputStream out, final EndpointClient.AttemptOutcome answer, final long durationUs)
            throws IOException {
        out.writeUTF(answer.result().name());
        out.writeBoolean(answer.isFinal());
        out.writeLong(durationUs);
        out.writeLong(answer.retryAfterUs());
        out.writeBoolean(answer.reportedLimit() != null);
        if (answer.reportedLimit() != null) {
            out.writeDouble(answer.reportedLimit().remainingShare());
            out.writeDouble(answer.reportedLimit().callsPerSecond());
        }
    }

    /** Writes a message that a client handed in during the handover; it is rejected if there is no room for it. */
    Journal.Admission accept(final AcceptedMessage held) {
        final ByteBuffer record = Journal.acceptedRecord(held);
        if (file.size() + record.capacity() > mostBytes) {
            return Journal.Admission.REJECTED;
        }
        return switch (file.append(record, HandoverWriter::failed)) {
            case WRITTEN -> Journal.Admission.ACCEPTED;
            case NOT_WRITTEN -> Journal.Admission.REJECTED;
            case UNCERTAIN -> Journal.Admission.UNCERTAIN;
        };
    }

    private static void failed(final IOException cause) {
        Log.info("leaving: cannot write: " + cause.getMessage());
    }

    /** Writes that a message's client disconnected before it was answered. */
    void writeWithdrawn(final String id) throws IOException {
        append(WITHDRAWN, id, out -> {});
    }

    private void append(final byte type, final String id, final Records.Content content) throws IOException {
        final RecordFile.AppendResult append = file.append(Records.encode(type, id, content), HandoverWriter::failed);
        if (append != RecordFile.AppendResult.WRITTEN) {
            throw new IOException("the file of a process that leaves takes no record");
        }
    }
}
