package railspar.scale.standin;

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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

/**
 * A stand-in of many destinations on a few ports of loopback. What a call is for is known by its messages' ids, which
 * whoever plays the clients registers before handing them in. All calls are served on one event loop; the methods may
 * be called from any thread.
 */
public final class DestinationServer implements AutoCloseable {
    /** Bodies are bound by the protocol; several of them come in Base64 with their keys. */
    private static final int MOST_CALL_BYTES = 1 << 17;

    private final LongFunction<DestinationSettings> settings;
    private final LongSupplier clockNs;
    private final Random random;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("destinations", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<LoopbackListener> listeners = new ArrayList<>();
    private final Map<Long, Destination> destinations = new HashMap<>();
    private final Set<DestinationConnection> connections = new HashSet<>();
    private final CallChecks checks = new CallChecks();
    private final List<Consumer<String>> acceptedListeners = new CopyOnWriteArrayList<>();

    /**
     * Listens at so many ports.
     *
     * @param ports how many ports to listen at
     * @param settings what each destination bears
     * @param seed decides how long each call runs
     */
    public DestinationServer(final int ports, final LongFunction<DestinationSettings> settings, final long seed) {
        this(ports, settings, seed, System::nanoTime);
    }

    DestinationServer(
            final int ports,
            final LongFunction<DestinationSettings> settings,
            final long seed,
            final LongSupplier clockNs) {
        this.settings = settings;
        this.clockNs = clockNs;
        this.random = new Random(seed);
        for (int count = 0; count < ports; count++) {
            listeners.add(new LoopbackListener(group, new ChannelInitializer<>() {
                @Override
                protected void initChannel(final Channel channel) {
                    channel.pipeline()
                            .addLast(
                                    new HttpServerCodec(),
                                    new HttpObjectAggregator(MOST_CALL_BYTES),
                                    new DestinationConnection(DestinationServer.this));
                }
            }));
        }
    }

    /** Where it listens. */
    public List<InetSocketAddress> addresses() {
        return listeners.stream().map(LoopbackListener::address).toList();
    }

    /** The entry as it is dialled here, at the address of that number, which serves its destination from now on. */
    public EndpointEntry place(final EndpointEntry entry, final int address) {
        final InetSocketAddress at = addresses().get(address);
        checks.serves(entry.block(), at);
        return entry.withDial(at.getAddress().getHostAddress() + ":" + at.getPort());
    }

    /** All endpoints of a destination at the address of that number drain from now on. */
    public void drain(final long destination, final int address) {
        checks.drains(destination, addresses().get(address), clockNs.getAsLong());
    }

    /** A client is about to hand this message in. */
    public void register(final RegisteredMessage message) {
        checks.register(message);
    }

    /** A message is over, and a call with it would be one too many. */
    public void forget(final String id) {
        checks.forget(id);
    }

    /**
     * Calls this with the id of each message that is accepted, on the event loop and before the answer is written.
     */
    public void onAccepted(final Consumer<String> listener) {
        acceptedListeners.add(listener);
    }

    /** From now on a destination answers no call, or answers again. */
    public void hang(final long destination, final boolean hangs) {
        onLoop(() -> {
            destination(destination).hang(hangs);
            return null;
        });
    }

    /** An outage of a destination ends now: it is cold. */
    public void recover(final long destination) {
        onLoop(() -> {
            destination(destination).recover(clockNs.getAsLong());
            return null;
        });
    }

    /** What a destination has seen so far. */
    public DestinationCounts counts(final long destination) {
        return onLoop(() -> destination(destination).counts());
    }

    /** What all destinations that had a call have seen so far, by their numbers. */
    public Map<Long, DestinationCounts> counts() {
        return onLoop(() -> {
            final Map<Long, DestinationCounts> counts = new HashMap<>();
            destinations.forEach((number, destination) -> counts.put(number, destination.counts()));
            return counts;
        });
    }

    /** Calls so far that a courier may not make. */
    public CallFaults faults() {
        return onLoop(checks::faults);
    }

    private <T> T onLoop(final Callable<T> work) {
        return loop.submit(work).syncUninterruptibly().getNow();
    }

    Destination destination(final long number) {
        return destinations.computeIfAbsent(number, unknown -> new Destination(settings.apply(unknown)));
    }

    DestinationSettings settingsOf(final long destination) {
        return settings.apply(destination);
    }

    CallChecks checks() {
        return checks;
    }

    long nowNs() {
        return clockNs.getAsLong();
    }

    /** How long the next call of a destination runs: drawn from a log-normal distribution. */
    long latencyNs(final long destination) {
        final DestinationSettings bears = settings.apply(destination);
        return (long) (bears.medianLatency().toNanos() * Math.exp(bears.latencySpread() * random.nextGaussian()));
    }

    void accepted(final String id) {
        acceptedListeners.forEach(listener -> listener.accept(id));
    }

    void opened(final DestinationConnection connection) {
        connections.add(connection);
    }

    void closed(final DestinationConnection connection) {
        connections.remove(connection);
    }

    @Override
    public void close() {
        listeners.forEach(LoopbackListener::close);
        onLoop(() -> {
            List.copyOf(connections).forEach(DestinationConnection::close);
            return null;
        });
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
