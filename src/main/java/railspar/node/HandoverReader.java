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

/** Reads the file that a process which hands over writes as {@link HandoverWriter}. */
final class HandoverReader {
    /** Receives what the file reports. */
    interface Events {
        void onSnapshot(String host, Courier.EndpointSnapshot standing);

        void onOutcome(String id, EndpointClient.AttemptOutcome answer, long durationUs);

        void onAccepted(AcceptedMessage held);

        void onWithdrawn(String id);
    }

    private final Path path;
    private final Clock clock;
    private final FileChannel file;
    /** Calls in flight in that process: the endpoints' names by the messages' ids. */
    private final Map<String, String> callsInFlight = new LinkedHashMap<>();
    /** Up to here the file was taken up, by this process or one before it. */
    private long position;

    private FileLock dead;
    private long deadSinceUs;

    private HandoverReader(final Path path, final Clock clock, final long takenUp) throws IOException {
        this.path = path;
        this.clock = clock;
        this.file = FileChannel.open(path, StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            this.position = Records.read(file, 0, takenUp, this::call);
            Records.read(file, takenUp, (type, id, rest) -> {
                if (type == HandoverWriter.CALL_IN_FLIGHT) {
                    call(type, id, rest);
                }
            });
        } catch (final IOException e) {
            file.close();
            throw e;
        }
    }

    /** Keeps which calls are out, without taking anything up. */
    private void call(final byte type, final String id, final DataInputStream rest) throws IOException {
        if (type == HandoverWriter.CALL_IN_FLIGHT) {
            callsInFlight.put(id, rest.readUTF());
        } else if (type == HandoverWriter.OUTCOME) {
            callsInFlight.remove(id);
        }
    }

    /** Readers for all processes that have handed over or are doing so, with their calls in flight so far. */
    static List<HandoverReader> openAll(final Path folder, final Clock clock, final Journal journal)
            throws IOException {
        final List<HandoverReader> found = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, HandoverWriter.FILE_PREFIX + "*")) {
            for (final Path path : files) {
                found.add(new HandoverReader(
                        path, clock, journal.readPosition(path.getFileName().toString())));
            }
        } catch (final IOException | DirectoryIteratorException e) {
            for (final HandoverReader one : found) {
                one.file.close();
            }
            throw e instanceof DirectoryIteratorException iteration ? iteration.getCause() : (IOException) e;
        }
        found.sort((one, other) -> one.path.compareTo(other.path));
        return found;
    }

    String fileName() {
        return path.getFileName().toString();
    }

    /** The endpoint of the call that a message is in, or null. */
    String endpointOfCall(final String id) {
        return callsInFlight.get(id);
    }

    /** Messages whose calls are in flight in that process. */
    List<String> callsInFlight() {
        return List.copyOf(callsInFlight.keySet());
    }

    /** Reads what is new; false if nothing was. */
    boolean read(final Events events) throws IOException {
        if (file.size() <= position) {
            return false;
        }
        final long before = position;
        position = Records.read(file, position, (type, id, rest) -> {
            switch (type) {
                case HandoverWriter.ENDPOINT_SNAPSHOT -> events.onSnapshot(id, standing(rest));
                case HandoverWriter.OUTCOME -> carried(id, rest, events);
                case Journal.ACCEPTED -> events.onAccepted(Journal.parseAccepted(id, rest));
                case HandoverWriter.WITHDRAWN -> events.onWithdrawn(id);
                default -> {}
            }
        });
        return position > before;
    }

    private void carried(final String id, final DataInputStream in, final Events events) throws IOException {
        callsInFlight.remove(id);
        final Courier.Result result = Courier.Result.valueOf(in.readUTF());
        final boolean over = in.readBoolean();
        final long durationUs = in.readLong();
        final long waitUs = in.readLong();
        final Courier.ReportedLimit allowance =
                in.readBoolean() ? new Courier.ReportedLimit(in.readDouble(), in.readDouble()) : null;
        events.onOutcome(id, new EndpointClient.AttemptOutcome(result, over, waitUs, allowance), durationUs);
    }

    private Courier.EndpointSnapshot standing(final DataInputStream in) throws IOException {
        final Map<String, Double> figures = new HashMap<>();
        for (int left = in.readInt(); left > 0; left--) {
            figures.put(in.readUTF(), in.readDouble());
        }
        final Map<String, Long> times = new HashMap<>();
        for (int left = in.readInt(); left > 0; left--) {
            times.put(in.readUTF(), clock.fromPersistentUs(in.readLong()));
        }
        return new Courier.EndpointSnapshot(figures, times);
    }

    long position() {
        return position;
    }

    /** True once that process has ended so long ago, by whatever end: the kernel has freed its lock. */
    boolean hasBeenDeadFor(final long us) throws IOException {
        if (dead == null) {
            dead = file.tryLock();
            deadSinceUs = clock.nowUs();
        }
        return dead != null && clock.nowUs() - deadSinceUs >= us;
    }

    /** Closes and deletes the file once everything in it has been read. */
    void closeAndDelete() throws IOException {
        file.close();
        Files.deleteIfExists(path);
    }
}
