package railspar.node;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import railspar.Courier;

/** Reads the file that a predecessor process writes with {@link HandoverWriter}. */
final class HandoverReader {
    /** Receives the records of the file. */
    interface Events {
        void onSnapshot(String host, Courier.EndpointSnapshot snapshot);

        void onOutcome(String id, EndpointClient.AttemptOutcome outcome, long durationUs);

        void onAccepted(AcceptedMessage message);

        void onWithdrawn(String id);
    }

    private final Path path;
    private final Clock clock;
    private final FileChannel file;
    /** Calls in flight in the predecessor: the endpoints' names by the messages' ids. */
    private final Map<String, String> callsInFlight = new LinkedHashMap<>();
    /** Position up to which this process or an earlier one has applied the file. */
    private long position;

    /** This process's lock on the file, acquired once the predecessor has ended; null before. */
    private FileLock endedLock;

    private long endedSinceUs;

    private HandoverReader(final Path path, final Clock clock, final long appliedPosition) throws IOException {
        this.path = path;
        this.clock = clock;
        this.file = FileChannel.open(path, StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            this.position = Records.read(file, 0, appliedPosition, this::trackCall);
            Records.read(file, appliedPosition, (type, id, content) -> {
                if (type == HandoverWriter.CALL_IN_FLIGHT) {
                    trackCall(type, id, content);
                }
            });
        } catch (final IOException e) {
            file.close();
            throw e;
        }
    }

    /** Tracks which calls are in flight, without applying the records. */
    private void trackCall(final byte type, final String id, final DataInputStream content) throws IOException {
        if (type == HandoverWriter.CALL_IN_FLIGHT) {
            callsInFlight.put(id, content.readUTF());
        } else if (type == HandoverWriter.OUTCOME) {
            callsInFlight.remove(id);
        }
    }

    /** Opens the files of all processes that have handed over or are doing so, with their calls in flight so far. */
    static List<HandoverReader> openAll(final Path folder, final Clock clock, final Journal journal)
            throws IOException {
        final List<HandoverReader> readers = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, HandoverWriter.FILE_PREFIX + "*")) {
            for (final Path path : files) {
                readers.add(new HandoverReader(
                        path, clock, journal.readPosition(path.getFileName().toString())));
            }
        } catch (final IOException | DirectoryIteratorException e) {
            for (final HandoverReader reader : readers) {
                reader.file.close();
            }
            throw e instanceof DirectoryIteratorException iteration ? iteration.getCause() : (IOException) e;
        }
        readers.sort((first, second) -> first.path.compareTo(second.path));
        return readers;
    }

    String fileName() {
        return path.getFileName().toString();
    }

    /** The endpoint of the message's call that is in flight in the predecessor, or null. */
    String endpointOfCall(final String id) {
        return callsInFlight.get(id);
    }

    /** Messages whose calls are in flight in the predecessor. */
    List<String> callsInFlight() {
        return List.copyOf(callsInFlight.keySet());
    }

    /** Reads the new records; false if there were none. */
    boolean read(final Events events) throws IOException {
        if (file.size() <= position) {
            return false;
        }
        final long previousPosition = position;
        position = Records.read(file, position, (type, id, content) -> {
            switch (type) {
                case HandoverWriter.ENDPOINT_SNAPSHOT -> events.onSnapshot(id, readSnapshot(content));
                case HandoverWriter.OUTCOME -> readOutcome(id, content, events);
                case Journal.ACCEPTED -> events.onAccepted(Journal.parseAccepted(id, content));
                case HandoverWriter.WITHDRAWN -> events.onWithdrawn(id);
                default -> {}
            }
        });
        return position > previousPosition;
    }

    private void readOutcome(final String id, final DataInputStream in, final Events events) throws IOException {
        callsInFlight.remove(id);
        final Courier.Result result = Courier.Result.valueOf(in.readUTF());
        final boolean isFinal = in.readBoolean();
        final long durationUs = in.readLong();
        final long retryAfterUs = in.readLong();
        final Courier.ReportedLimit reportedLimit =
                in.readBoolean() ? new Courier.ReportedLimit(in.readDouble(), in.readDouble()) : null;
        events.onOutcome(
                id, new EndpointClient.AttemptOutcome(result, isFinal, retryAfterUs, reportedLimit), durationUs);
    }

    private Courier.EndpointSnapshot readSnapshot(final DataInputStream in) throws IOException {
        final Map<String, Double> values = new HashMap<>();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            values.put(in.readUTF(), in.readDouble());
        }
        final Map<String, Long> timesUs = new HashMap<>();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            timesUs.put(in.readUTF(), clock.fromPersistentUs(in.readLong()));
        }
        return new Courier.EndpointSnapshot(values, timesUs);
    }

    long position() {
        return position;
    }

    /** True once this time has passed since the predecessor ended, in any way: the kernel then frees its lock. */
    boolean hasBeenDeadFor(final long us) throws IOException {
        if (endedLock == null) {
            endedLock = file.tryLock();
            endedSinceUs = clock.nowUs();
        }
        return endedLock != null && clock.nowUs() - endedSinceUs >= us;
    }

    /** Closes and deletes the file after all of its records were read. */
    void closeAndDelete() throws IOException {
        file.close();
        Files.deleteIfExists(path);
    }
}
