package railspar.scale.fleet;

import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Models the watch of one courier process on the endpoint list, through the discovery agent on its machine. As in the
 * real courier, a silent watch times out, and a watch that ended reconnects with backoff. The agent receives a change
 * with a delay after discovery.
 */
final class ListWatch {
    /** Counts what watches fetched: whole lists by occasion, lines of changes, and the watches themselves. */
    static final class Fetches {
        long wholeListsAtFirstStart, wholeListsAtRestart, wholeListsLater, changeLines, watches;
    }

    /** Requests lines of the list from the control machines. */
    @FunctionalInterface
    interface Downloads {
        /** Requests this number of bytes; the completion is called between two time slices when they have been sent. */
        ControlUplink.Transfer request(long bytes, ControlUplink.Completion completion);
    }

    /** The timeouts and delays are those of the real courier ({@code railspar.node.Discovery}). */
    private static final long SILENCE_TIMEOUT_US = 3_000 * Units.US_PER_MS;

    private static final long FIRST_RESPONSE_TIMEOUT_US = 1_000 * Units.US_PER_MS;
    private static final long MIN_BACKOFF_US = 300 * Units.US_PER_MS;
    private static final long MAX_BACKOFF_US = 1_200 * Units.US_PER_MS;
    private static final double BACKOFF_JITTER = 0.3;
    private static final int MAX_BACKOFF_DOUBLINGS = 2;

    private static final long HEARTBEAT_INTERVAL_US = 2_000 * Units.US_PER_MS;
    private static final double BYTES_PER_MB = 1e6;
    private static final long AGENT_RESPONSE_US = Units.US_PER_MS;

    private final EventQueue events;
    private final Discovery discovery;
    private final ControlTraffic traffic;
    private final Fetches fetches;
    private final Random random;
    private final SurroundingsModel model;
    private final Downloads downloads;
    /** True while the control machines are unreachable because of a network partition. */
    private final BooleanSupplier partitioned;

    private final boolean firstStart;
    private final boolean emptyFolder;
    private final Consumer<byte[]> lineConsumer;

    private boolean closed;
    /** Number of the current connection; events of earlier ones are ignored. */
    private int connection;

    private boolean established, connectionSilent, transferring;
    /** The current transfer, or null. */
    private ControlUplink.Transfer download;

    private long version;
    private long lastReceivedUs;
    /** Number of reconnects since the last heartbeat or complete line. */
    private int failedConnections;

    private boolean receivedWholeList;

    ListWatch(
            final EventQueue events,
            final Discovery discovery,
            final ControlTraffic traffic,
            final Fetches fetches,
            final Random random,
            final SurroundingsModel model,
            final Downloads downloads,
            final BooleanSupplier partitioned,
            final boolean firstStart,
            final boolean emptyFolder,
            final long version,
            final Consumer<byte[]> lineConsumer) {
        this.events = events;
        this.discovery = discovery;
        this.traffic = traffic;
        this.fetches = fetches;
        this.random = random;
        this.model = model;
        this.downloads = downloads;
        this.partitioned = partitioned;
        this.firstStart = firstStart;
        this.emptyFolder = emptyFolder;
        this.version = version;
        this.lineConsumer = lineConsumer;
    }

    /** Opens a connection and requests a watch. */
    void begin() {
        connection++;
        established = false;
        connectionSilent = false;
        transferring = false;
        download = null;
        lastReceivedUs = events.nowUs();
        fetches.watches++;
        traffic.count(events.nowUs(), ControlTraffic.WATCH_REQUEST_BYTES);
        onConnection(AGENT_RESPONSE_US, this::onResponse);
        onConnection(FIRST_RESPONSE_TIMEOUT_US, this::checkFirstResponse);
    }

    /** Ends the watch because the process has ended. */
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

    /** The connection stays open, but nothing arrives on it any more. */
    void fallSilent() {
        connectionSilent = true;
    }

    /** Ends the connection and opens another one after a backoff. */
    void reconnect() {
        endConnection();
        established = false;
        final long backoffUs =
                Math.min(MAX_BACKOFF_US, MIN_BACKOFF_US << Math.min(failedConnections++, MAX_BACKOFF_DOUBLINGS));
        final long delayUs = (long) (backoffUs * (1 + BACKOFF_JITTER * random.nextDouble()));
        events.after(delayUs, () -> {
            if (!closed) {
                begin();
            }
        });
    }

    /** Discovery has a new version or is no longer silent; the agent sends the changes after a random delay. */
    void onNewVersion() {
        if (established) {
            final long delayUs = (long) (model.agentDelayMs() * Units.US_PER_MS * random.nextDouble());
            onConnection(delayUs, this::sendUpdate);
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

    private boolean isUnreachable() {
        return discovery.isSilent() || connectionSilent || partitioned.getAsBoolean();
    }

    private void onResponse() {
        if (isUnreachable()) {
            return;
        }
        established = true;
        received(ControlTraffic.RESPONSE_HEAD_BYTES);
        sendUpdate();
        onConnection(HEARTBEAT_INTERVAL_US, this::onHeartbeat);
        onConnection(SILENCE_TIMEOUT_US, this::checkSilence);
    }

    private void checkFirstResponse() {
        if (!established) {
            reconnect();
        }
    }

    private void checkSilence() {
        final long silentUntilUs = lastReceivedUs + SILENCE_TIMEOUT_US;
        if (!transferring && events.nowUs() >= silentUntilUs) {
            reconnect();
        } else {
            onConnection(Math.max(Units.US_PER_MS, silentUntilUs - events.nowUs()), this::checkSilence);
        }
    }

    private void onHeartbeat() {
        if (!isUnreachable()) {
            received(ControlTraffic.HEARTBEAT_BYTES);
            failedConnections = 0;
        }
        onConnection(HEARTBEAT_INTERVAL_US, this::onHeartbeat);
    }

    private void received(final long bytes) {
        lastReceivedUs = events.nowUs();
        traffic.count(events.nowUs(), bytes);
    }

    /** Sends the changes since the version of the courier; they are in force once the line was read completely. */
    private void sendUpdate() {
        if (isUnreachable() || transferring || version == discovery.version()) {
            return;
        }
        final boolean whole = discovery.isWholeAfter(version);
        final byte[] line = discovery.lineAfter(version);
        final long newVersion = discovery.version();
        final long bytes = line.length + ControlTraffic.CHUNK_FRAMING_BYTES;
        count(whole, bytes);
        transferring = true;
        final double readSeconds = line.length / (model.listMegabytesPerSecond() * BYTES_PER_MB);
        final long readAtUs = events.nowUs() + Units.fromSeconds(readSeconds);
        final int number = connection;
        download = downloads.request(
                bytes,
                sentAtUs -> events.atOrNext(
                        Math.max(sentAtUs, readAtUs),
                        () -> runOnConnection(number, () -> onTransferred(line, newVersion))));
    }

    private void count(final boolean whole, final long bytes) {
        final boolean first = whole && !receivedWholeList;
        if (first && emptyFolder) {
            lastReceivedUs = events.nowUs();
            traffic.countInitialList(bytes);
        } else {
            received(bytes);
        }
        fetches.wholeListsAtFirstStart += first && firstStart ? 1 : 0;
        fetches.wholeListsAtRestart += first && !firstStart ? 1 : 0;
        fetches.wholeListsLater += whole && !first ? 1 : 0;
        fetches.changeLines += whole ? 0 : 1;
        receivedWholeList |= whole;
    }

    private void onTransferred(final byte[] line, final long newVersion) {
        transferring = false;
        lastReceivedUs = events.nowUs();
        failedConnections = 0;
        version = newVersion;
        lineConsumer.accept(line);
        sendUpdate();
    }
}
