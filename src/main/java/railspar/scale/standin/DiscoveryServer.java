package railspar.scale.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Simulates the discovery agent and the platform that receives notices, on loopback: {@code GET /discovery/hosts},
 * watches on it, and {@code POST /v1/outcomes}. All connections run on one event loop; the methods may be called from
 * any thread.
 */
public final class DiscoveryServer implements AutoCloseable {
    /** Interval at which watches get an empty line as a heartbeat. */
    public static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(2);
    /** How long connections to the old address stay open after a move. */
    public static final Duration MOVE_GRACE = Duration.ofMillis(1500);

    private static final int MAX_REQUEST_BYTES = 1 << 16;

    private final ListHistory history;
    private final Duration heartbeatInterval;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("discovery", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Runnable changeListener = this::sendPendingToAll;
    private final AtomicLong acceptedConnections = new AtomicLong();
    private final List<TrafficCounter> counters = new CopyOnWriteArrayList<>();
    private final List<Consumer<Outcome>> outcomeListeners = new CopyOnWriteArrayList<>();
    /** Guarded by itself. */
    private final List<Outcome> outcomes = new ArrayList<>();

    private final Set<DiscoveryConnection> connections = new HashSet<>();
    private volatile DiscoveryMode mode = DiscoveryMode.NORMAL;
    private volatile LoopbackListener listener;
    /** The line that many connections send, off the heap so that each connection writes it without a copy. */
    private ByteBuf sharedLine = Unpooled.EMPTY_BUFFER;

    private byte[] sharedLineSource;

    /** Serves the history on a free port. */
    public DiscoveryServer(final ListHistory history) {
        this(history, HEARTBEAT_INTERVAL);
    }

    /** Serves the history on a free port, with its own heartbeat interval. */
    public DiscoveryServer(final ListHistory history, final Duration heartbeatInterval) {
        this.history = history;
        this.heartbeatInterval = heartbeatInterval;
        this.listener = listen();
        history.addListener(changeListener);
    }

    private LoopbackListener listen() {
        return new LoopbackListener(group, new ChannelInitializer<>() {
            @Override
            protected void initChannel(final Channel channel) {
                final TrafficCounter counter = new TrafficCounter(acceptedConnections.incrementAndGet());
                counters.add(counter);
                channel.pipeline()
                        .addLast(
                                counter,
                                new HttpServerCodec(),
                                new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                new DiscoveryConnection(DiscoveryServer.this, counter));
            }
        });
    }

    /** The address that it listens on. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** The current behaviour. */
    public DiscoveryMode mode() {
        return mode;
    }

    /** Changes the behaviour. Once updates are sent again, watches and waiting requests get what they missed. */
    public void setMode(final DiscoveryMode newMode) {
        mode = newMode;
        sendPendingToAll();
    }

    /** Becomes unavailable for the given time, and normal after that. */
    public void outage(final Duration duration) {
        setMode(DiscoveryMode.UNAVAILABLE);
        loop.schedule(() -> setMode(DiscoveryMode.NORMAL), duration.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Moves to another port. The old address refuses new connections from now on, and open connections are closed
     * after {@link #MOVE_GRACE}.
     */
    public InetSocketAddress move() {
        final LoopbackListener old = listener;
        listener = listen();
        old.close();
        loop.execute(() -> {
            final List<DiscoveryConnection> oldConnections = List.copyOf(connections);
            loop.schedule(
                    () -> oldConnections.forEach(DiscoveryConnection::close),
                    MOVE_GRACE.toMillis(),
                    TimeUnit.MILLISECONDS);
        });
        return address();
    }

    /** Closes all open connections. */
    public void disconnectAll() {
        loop.submit(() -> List.copyOf(connections).forEach(DiscoveryConnection::close))
                .syncUninterruptibly();
    }

    /** The traffic of each connection so far, in the order of acceptance. */
    public List<ConnectionTraffic> traffic() {
        return counters.stream().map(TrafficCounter::snapshot).toList();
    }

    /** Adds a listener for received notices, which is called on the event loop. */
    public void onOutcome(final Consumer<Outcome> listener) {
        outcomeListeners.add(listener);
    }

    /** The notices received so far, in the order of arrival. */
    public List<Outcome> outcomes() {
        synchronized (outcomes) {
            return List.copyOf(outcomes);
        }
    }

    /** The number of notices received so far. */
    public int outcomeCount() {
        synchronized (outcomes) {
            return outcomes.size();
        }
    }

    @Override
    public void close() {
        history.removeListener(changeListener);
        listener.close();
        disconnectAll();
        loop.submit(() -> sharedLine.release()).syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void sendPendingToAll() {
        loop.execute(() -> connections.forEach(DiscoveryConnection::sendPending));
    }

    ListHistory history() {
        return history;
    }

    Duration heartbeatInterval() {
        return heartbeatInterval;
    }

    void opened(final DiscoveryConnection connection) {
        connections.add(connection);
    }

    void closed(final DiscoveryConnection connection) {
        connections.remove(connection);
    }

    void receiveOutcomes(final List<Outcome> received) {
        synchronized (outcomes) {
            outcomes.addAll(received);
        }
        received.forEach(outcome -> outcomeListeners.forEach(listener -> listener.accept(outcome)));
    }

    /** The line as a buffer, which the caller releases. Called on the event loop only. */
    ByteBuf sharedBuffer(final byte[] line) {
        if (sharedLineSource != line) {
            sharedLine.release();
            sharedLine = Unpooled.directBuffer(line.length).writeBytes(line);
            sharedLineSource = line;
        }
        return sharedLine.retainedDuplicate();
    }
}
