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
 * A stand-in of discovery and of the platform's notices on loopback: {@code GET /discovery/hosts}, watches on it, and
 * {@code POST /v1/outcomes}. All connections live on one event loop; the methods may be called from any thread.
 */
public final class DiscoveryServer implements AutoCloseable {
    /** How often a watch without news gets an empty line. */
    public static final Duration HEARTBEAT = Duration.ofSeconds(2);
    /** After a move, how long the connections to the old address stay open. */
    public static final Duration MOVE_GRACE = Duration.ofMillis(1500);

    private static final int MOST_REQUEST_BYTES = 1 << 16;

    private final ListHistory history;
    private final Duration heartbeat;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("discovery", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Runnable onChange = this::tellAll;
    private final AtomicLong accepted = new AtomicLong();
    private final List<TrafficCounter> counters = new CopyOnWriteArrayList<>();
    private final List<Consumer<Outcome>> outcomeListeners = new CopyOnWriteArrayList<>();
    /** Guarded by itself. */
    private final List<Outcome> outcomes = new ArrayList<>();

    private final Set<DiscoveryConnection> connections = new HashSet<>();
    private volatile DiscoveryMode mode = DiscoveryMode.NORMAL;
    private volatile LoopbackListener listener;
    /** The line that is sent to many, outside the heap so that each connection writes it without a copy. */
    private ByteBuf sharedLine = Unpooled.EMPTY_BUFFER;

    private byte[] sharedLineSource;

    /** Serves this history at a port of the system's choice. */
    public DiscoveryServer(final ListHistory history) {
        this(history, HEARTBEAT);
    }

    /** Serves this history, with empty lines as often as this. */
    public DiscoveryServer(final ListHistory history, final Duration heartbeat) {
        this.history = history;
        this.heartbeat = heartbeat;
        this.listener = listen();
        history.addListener(onChange);
    }

    private LoopbackListener listen() {
        return new LoopbackListener(group, new ChannelInitializer<>() {
            @Override
            protected void initChannel(final Channel channel) {
                final TrafficCounter counter = new TrafficCounter(accepted.incrementAndGet());
                counters.add(counter);
                channel.pipeline()
                        .addLast(
                                counter,
                                new HttpServerCodec(),
                                new HttpObjectAggregator(MOST_REQUEST_BYTES),
                                new DiscoveryConnection(DiscoveryServer.this, counter));
            }
        });
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** How it behaves now. */
    public DiscoveryMode mode() {
        return mode;
    }

    /** Changes how it behaves. Once it tells changes again, watches and open requests hear what they missed. */
    public void mode(final DiscoveryMode changed) {
        mode = changed;
        tellAll();
    }

    /** Is unavailable for so long, and normal after that. */
    public void outage(final Duration length) {
        mode(DiscoveryMode.UNAVAILABLE);
        loop.schedule(() -> mode(DiscoveryMode.NORMAL), length.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Moves to another port. The old address takes no connection from now on, and its connections end after
     * {@link #MOVE_GRACE}.
     */
    public InetSocketAddress move() {
        final LoopbackListener old = listener;
        listener = listen();
        old.close();
        loop.execute(() -> {
            final List<DiscoveryConnection> toOld = List.copyOf(connections);
            loop.schedule(
                    () -> toOld.forEach(DiscoveryConnection::close), MOVE_GRACE.toMillis(), TimeUnit.MILLISECONDS);
        });
        return address();
    }

    /** Ends all connections that stand now. */
    public void disconnectAll() {
        loop.submit(() -> List.copyOf(connections).forEach(DiscoveryConnection::close))
                .syncUninterruptibly();
    }

    /** What went over each connection so far, in the order in which they were accepted. */
    public List<ConnectionTraffic> traffic() {
        return counters.stream().map(TrafficCounter::snapshot).toList();
    }

    /** Calls this with each notice that comes, on the event loop. */
    public void onOutcome(final Consumer<Outcome> listener) {
        outcomeListeners.add(listener);
    }

    /** The notices that have come, in their order. */
    public List<Outcome> outcomes() {
        synchronized (outcomes) {
            return List.copyOf(outcomes);
        }
    }

    /** How many notices have come. */
    public int outcomeCount() {
        synchronized (outcomes) {
            return outcomes.size();
        }
    }

    @Override
    public void close() {
        history.removeListener(onChange);
        listener.close();
        disconnectAll();
        loop.submit(() -> sharedLine.release()).syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void tellAll() {
        loop.execute(() -> connections.forEach(DiscoveryConnection::tell));
    }

    ListHistory history() {
        return history;
    }

    Duration heartbeat() {
        return heartbeat;
    }

    void opened(final DiscoveryConnection connection) {
        connections.add(connection);
    }

    void closed(final DiscoveryConnection connection) {
        connections.remove(connection);
    }

    void noticed(final List<Outcome> fresh) {
        synchronized (outcomes) {
            outcomes.addAll(fresh);
        }
        fresh.forEach(outcome -> outcomeListeners.forEach(listener -> listener.accept(outcome)));
    }

    /** The line as a buffer that the caller releases; on the event loop only. */
    ByteBuf share(final byte[] line) {
        if (sharedLineSource != line) {
            sharedLine.release();
            sharedLine = Unpooled.directBuffer(line.length).writeBytes(line);
            sharedLineSource = line;
        }
        return sharedLine.retainedDuplicate();
    }
}
