package railspar.node;

import railspar.Courier;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;

/**
 * What a process that leaves tells the one that takes over, in a file of {@link Records} that only it writes and that
 * it
 * holds a lock on for as long as it lives. First how its endpoints stand and which calls are out, then, until its end,
 * how those fare and what clients still handed in on connections that they keep. {@link Predecessor} reads it.
 */
final class Leaving {
    static final String PREFIX = "leaving-";
    static final byte STANDING = 11;
    static final byte OUT = 12;
    static final byte OUTCOME = 13;
    static final byte WITHDRAWN = 14;
    /** Share of the disk for it; beside it lie the journal and the one that takes its place. */
    private static final double FILE_SHARE = 0.15;

    private final Clock clock;
    private final RecordFile file;
    /** Held until the process ends, by whatever end: nothing in it ever lets go. */
    private final FileLock alive;

    private final long mostBytes;

    private Leaving(final Clock clock, final RecordFile file, final FileLock alive, final long mostBytes) {
        this.clock = clock;
        this.file = file;
        this.alive = alive;
        this.mostBytes = mostBytes;
    }

    /** Begins a file of its own in that folder. */
    static Leaving begin(final Path folder, final Clock clock, final long diskBytes) throws IOException {
        final Path path = folder.resolve(
                PREFIX + clock.persistentUs() + "-" + ProcessHandle.current().pid());
        final FileChannel file = FileChannel.open(
                path, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ, StandardOpenOption.WRITE);
        return new Leaving(clock, new RecordFile(file, 0), file.lock(), (long) (FILE_SHARE * diskBytes));
    }

    /** False once the lock is lost, and with it what tells that this process lives. */
    boolean isAlive() {
        return alive.isValid();
    }

    /** How an endpoint and its destination stand; times go as persistent time, which the next process knows as well. */
    void standing(final String host, final Courier.EndpointSnapshot standing) throws IOException {
        append(STANDING, host, out -> {
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

    /** A message of a call that is out goes on from here. */
    void out(final String id, final String host) throws IOException {
        append(OUT, id, out -> out.writeUTF(host));
    }

    /** How a message that was out fared. */
    void outcome(final String id, final Endpoints.Answer answer, final long durationUs) throws IOException {
        append(OUTCOME, id, out -> write(out, answer, durationUs));
    }

    private static void write(final DataOutputStream out, final Endpoints.Answer answer, final long durationUs)
            throws IOException {
        out.writeUTF(answer.result().name());
        out.writeBoolean(answer.over());
        out.writeLong(durationUs);
        out.writeLong(answer.waitUs());
        out.writeBoolean(answer.allowance() != null);
        if (answer.allowance() != null) {
            out.writeDouble(answer.allowance().remainingShare());
            out.writeDouble(answer.allowance().callsPerSecond());
        }
    }

    /** A message that a client handed in here after all; nothing is taken if there is no room for it. */
    Journal.Admission take(final Held held) {
        final ByteBuffer record = Journal.taken(held);
        if (file.size() + record.capacity() > mostBytes) {
            return Journal.Admission.REFUSED;
        }
        return switch (file.append(record, Leaving::failed)) {
            case WRITTEN -> Journal.Admission.TAKEN;
            case NOT_WRITTEN -> Journal.Admission.REFUSED;
            case UNCERTAIN -> Journal.Admission.UNCERTAIN;
        };
    }

    private static void failed(final IOException cause) {
        Log.info("leaving: cannot write: " + cause.getMessage());
    }

    /** Its client went before it was answered. */
    void withdrawn(final String id) throws IOException {
        append(WITHDRAWN, id, out -> {});
    }

    private void append(final byte type, final String id, final Records.Content content) throws IOException {
        final RecordFile.Append append = file.append(Records.of(type, id, content), Leaving::failed);
        if (append != RecordFile.Append.WRITTEN) {
            throw new IOException("the file of a process that leaves takes no record");
        }
    }
}
