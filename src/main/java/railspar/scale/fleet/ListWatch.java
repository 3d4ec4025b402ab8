package railspar.scale.fleet;

import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The watch of one courier process on its list, over the agent on its machine: silence is noticed, and a watch that
 * ended is begun again after a pause, as the real courier does. The agent has news some time after discovery.
 */
final class ListWatch {
    /** Whole lists fetched, by what they were fetched for. */
    static final class Fetches {
        long wholeAtFirstStart, wholeAtRestart, wholeLater, changeLines, watches;
    }

    /** Asks the control machines for a line of the list. */
    @FunctionalInterface
    interface Downloads {
        /** So many bytes are wanted; the completion is told, between two slices, when they have been sent. */
        ControlUplink.Transfer request(long bytes, ControlUplink.Completion completion);
    }

    /** These are the pauses of the real courier ({@code railspar.node.Discovery}). */
    private static final long SILENT_US = 3_000 * Units.US_PER_MS;

    private static final long FIRST_WORD_US = 1_000 * Units.US_PER_MS;
    private static final long AGAIN_US = 300 * Units.US_PER_MS;
    private static final long AGAIN_MOST_US = 1_200 * Units.US_PER_MS;
    private static final double AGAIN_JITTER = 0.3;
    private static final int MOST_DOUBLINGS = 2;

    private static final long EMPTY_LINE_EVERY_US = 2_000 * Units.US_PER_MS;
    private static final double BYTES_PER_MB = 1e6;
    private static final long AGENT_ANSWERS_US = Units.US_PER_MS;

    private final EventQueue events;
    private final Discovery discovery;
    private final ControlTraffic traffic;
    private final Fetches fetches;
    private final Random random;
    private final SurroundingsModel model;
    private final Downloads downloads;
    /** Whether the control machines cannot be reached. */
    private final BooleanSupplier cutOff;

    private final boolean firstStart;
    private final boolean emptyFolder;
    private final Consumer<byte[]> lines;

    private boolean closed;
    /** The number of the connection; what belongs to an earlier one is void. */
    private int connection;

    private boolean standing, connectionSilent, reading;
    /** What is being read, or null. */
    private ControlUplink.Transfer download;

    private long version;
    private long lastWordUs;
    private int barren;
    private boolean hadWhole;

    ListWatch(
            final EventQueue events,
            final Discovery discovery,
            final ControlTraffic traffic,
            final Fetches fetches,
            final Random random,
            final SurroundingsModel model,
            final Downloads downloads,
            final BooleanSupplier cutOff,
            final boolean firstStart,
            final boolean emptyFolder,
            final long version,
            final Consumer<byte[]> lines) {
        this.events = events;
        this.discovery = discovery;
        this.traffic = traffic;
        this.fetches = fetches;
        this.random = random;
        this.model = model;
        this.downloads = downloads;
        this.cutOff = cutOff;
        this.firstStart = firstStart;
        this.emptyFolder = emptyFolder;
        this.version = version;
        this.lines = lines;
    }

    /** Asks for a watch. */
    void begin() {
        connection++;
        standing = false;
        connectionSilent = false;
        reading = false;
        download = null;
        lastWordUs = events.nowUs();
        fetches.watches++;
        traffic.count(events.nowUs(), ControlTraffic.REQUEST_BYTES);
        onConnection(AGENT_ANSWERS_US, this::answer);
        onConnection(FIRST_WORD_US, this::expectFirstWord);
    }

    /** The process has ended. */
    void close() {
        closed = true;
        endConnection();
    }

    private void endConnection() {
        connection++;
        if (download != null) {
            download.abandon();
            download = null;
        }
    }

    /** The connection stays open and says nothing any more. */
    void fallSilent() {
        connectionSilent = true;
    }

    /** The connection ends; another is begun after a pause. */
    void breakOff() {
        endConnection();
        standing = false;
        final long pauseUs = Math.min(AGAIN_MOST_US, AGAIN_US << Math.min(barren++, MOST_DOUBLINGS));
        final long drawnUs = (long) (pauseUs * (1 + AGAIN_JITTER * random.nextDouble()));
        events.after(drawnUs, () -> {
            if (!closed) {
                begin();
            }
        });
    }

    /** Discovery has made a version, or speaks again: the agent has it after a while. */
    void news() {
        if (standing) {
            final long delayUs = (long) (model.agentDelayMs() * Units.US_PER_MS * random.nextDouble());
            onConnection(delayUs, this::tell);
        }
    }

    private void onConnection(final long delayUs, final Runnable action) {
        final int number = connection;
        events.after(delayUs, () -> runOnConnection(number, action));
    }

    private void runOnConnection(final int number, final Runnable action) {
        if (number == connection && !closed) {
            action.run();
        }
    }

    private boolean unheard() {
        return discovery.silent() || connectionSilent || cutOff.getAsBoolean();
    }

    private void answer() {
        if (unheard()) {
            return;
        }
        standing = true;
        word(ControlTraffic.ANSWER_HEAD_BYTES);
        tell();
        onConnection(EMPTY_LINE_EVERY_US, this::emptyLine);
        onConnection(SILENT_US, this::expectWord);
    }

    private void expectFirstWord() {
        if (!standing) {
            breakOff();
        }
    }

    private void expectWord() {
        final long silentUntilUs = lastWordUs + SILENT_US;
        if (!reading && events.nowUs() >= silentUntilUs) {
            breakOff();
        } else {
            onConnection(Math.max(Units.US_PER_MS, silentUntilUs - events.nowUs()), this::expectWord);
        }
    }

    private void emptyLine() {
        if (!unheard()) {
            word(ControlTraffic.EMPTY_LINE_BYTES);
            barren = 0;
        }
        onConnection(EMPTY_LINE_EVERY_US, this::emptyLine);
    }

    private void word(final long bytes) {
        lastWordUs = events.nowUs();
        traffic.count(events.nowUs(), bytes);
    }

    /** Sends what is new; a line is in force once it has been read to its end. */
    private void tell() {
        if (unheard() || reading || version == discovery.version()) {
            return;
        }
        final boolean whole = discovery.isWholeAfter(version);
        final byte[] line = discovery.lineAfter(version);
        final long told = discovery.version();
        final long bytes = line.length + ControlTraffic.CHUNK_BYTES;
        count(whole, bytes);
        reading = true;
        final double readSeconds = line.length / (model.listMegabytesPerSecond() * BYTES_PER_MB);
        final long readUs = events.nowUs() + Units.us(readSeconds);
        final int number = connection;
        download = downloads.request(
                bytes,
                sentUs -> events.atOrNext(
                        Math.max(sentUs, readUs), () -> runOnConnection(number, () -> read(line, told))));
    }

    private void count(final boolean whole, final long bytes) {
        final boolean first = whole && !hadWhole;
        if (first && emptyFolder) {
            lastWordUs = events.nowUs();
            traffic.countFirstList(bytes);
        } else {
            word(bytes);
        }
        fetches.wholeAtFirstStart += first && firstStart ? 1 : 0;
        fetches.wholeAtRestart += first && !firstStart ? 1 : 0;
        fetches.wholeLater += whole && !first ? 1 : 0;
        fetches.changeLines += whole ? 0 : 1;
        hadWhole |= whole;
    }

    private void read(final byte[] line, final long told) {
        reading = false;
        lastWordUs = events.nowUs();
        barren = 0;
        version = told;
        lines.accept(line);
        tell();
    }
}
