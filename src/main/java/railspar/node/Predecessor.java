package railspar.node;

import railspar.Courier;
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

/** A process that leaves, as the one that takes over sees it: the file that it writes as {@link Leaving}. */
final class Predecessor {
    /** What comes to pass there. */
    interface Events {
        void standing(String host, Courier.EndpointSnapshot standing);

        void carried(String id, Endpoints.Answer answer, long durationUs);

        void handedIn(Held held);

        void withdrawn(String id);
    }

    private final Path path;
    private final Clock clock;
    private final FileChannel file;
    /** Calls that are out there: the endpoints' names by the messages' ids. */
    private final Map<String, String> out = new LinkedHashMap<>();
    /** Up to here the file was taken up, by this process or one before it. */
    private long position;

    private FileLock dead;
    private long deadSinceUs;

    private Predecessor(final Path path, final Clock clock, final long takenUp) throws IOException {
        this.path = path;
        this.clock = clock;
        this.file = FileChannel.open(path, StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            this.position = Records.read(file, 0, takenUp, this::call);
            Records.read(file, takenUp, (type, id, rest) -> {
                if (type == Leaving.OUT) {
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
        if (type == Leaving.OUT) {
            out.put(id, rest.readUTF());
        } else if (type == Leaving.OUTCOME) {
            out.remove(id);
        }
    }

    /** The processes that have left or are leaving, with what is out there so far. */
    static List<Predecessor> all(final Path folder, final Clock clock, final Journal journal) throws IOException {
        final List<Predecessor> found = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, Leaving.PREFIX + "*")) {
            for (final Path path : files) {
                found.add(new Predecessor(
                        path, clock, journal.readTo(path.getFileName().toString())));
            }
        } catch (final IOException | DirectoryIteratorException e) {
            for (final Predecessor one : found) {
                one.file.close();
            }
            throw e instanceof DirectoryIteratorException iteration ? iteration.getCause() : (IOException) e;
        }
        found.sort((one, other) -> one.path.compareTo(other.path));
        return found;
    }

    String name() {
        return path.getFileName().toString();
    }

    /** The endpoint that a message's call is out to, or null. */
    String outTo(final String id) {
        return out.get(id);
    }

    /** Messages whose calls are out there. */
    List<String> out() {
        return List.copyOf(out.keySet());
    }

    /** Takes up what is new; false if nothing was. */
    boolean read(final Events events) throws IOException {
        if (file.size() <= position) {
            return false;
        }
        final long before = position;
        position = Records.read(file, position, (type, id, rest) -> {
            switch (type) {
                case Leaving.STANDING -> events.standing(id, standing(rest));
                case Leaving.OUTCOME -> carried(id, rest, events);
                case Journal.TAKEN -> events.handedIn(Journal.taken(id, rest));
                case Leaving.WITHDRAWN -> events.withdrawn(id);
                default -> {}
            }
        });
        return position > before;
    }

    private void carried(final String id, final DataInputStream in, final Events events) throws IOException {
        out.remove(id);
        final Courier.Result result = Courier.Result.valueOf(in.readUTF());
        final boolean over = in.readBoolean();
        final long durationUs = in.readLong();
        final long waitUs = in.readLong();
        final Courier.ReportedLimit allowance =
                in.readBoolean() ? new Courier.ReportedLimit(in.readDouble(), in.readDouble()) : null;
        events.carried(id, new Endpoints.Answer(result, over, waitUs, allowance), durationUs);
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
    boolean isDeadFor(final long us) throws IOException {
        if (dead == null) {
            dead = file.tryLock();
            deadSinceUs = clock.nowUs();
        }
        return dead != null && clock.nowUs() - deadSinceUs >= us;
    }

    /** Everything is taken up: the file goes. */
    void forget() throws IOException {
        file.close();
        Files.deleteIfExists(path);
    }
}
