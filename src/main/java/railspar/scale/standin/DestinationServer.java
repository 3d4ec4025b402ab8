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
 * Simulates many destinations on a few loopback ports. The destination of a call is found by the ids of its messages,
 * which must be registered before a client submits them. All calls are served on one event loop; the methods may be
 * called from any thread.
 */
public final class DestinationServer implements AutoCloseable {
    /** Room for the largest call: the protocol limits each body, and a bulk call has several, in Base64 with keys. */
    private static final int MAX_CALL_BYTES = 1 << 17;

    private final LongFunction<DestinationSettings> settings;
    private final LongSupplier clockNs;
    private final Random random;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("destinations", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<LoopbackListener> listeners = new ArrayList<>();
    private final Map<Long, Destination> destinations = new HashMap<>();
    private final Set<DestinationConnection> connections = new HashSet<>();
    private final CallRuleChecker ruleChecker = new CallRuleChecker();
    private final List<Consumer<String>> acceptedListeners = new CopyOnWriteArrayList<>();

    /**
     * Starts listening on loopback.
     *
     * @param ports number of ports to listen on
     * @param settings the settings of each destination, by its number
     * @param seed determines the execution times of the calls
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
                                    new HttpObjectAggregator(MAX_CALL_BYTES),
                                    new DestinationConnection(DestinationServer.this));
                }
            }));
        }
    }

    /** The addresses that it listens on. */
    public List<InetSocketAddress> addresses() {
        return listeners.stream().map(LoopbackListener::address).toList();
    }

    /** Makes the endpoint reachable at the address with the index, and returns its entry with that address. */
    public EndpointEntry addEndpoint(final EndpointEntry entry, final int addressIndex) {
        final InetSocketAddress dialAddress = addresses().get(addressIndex);
        ruleChecker.addEndpoint(entry.block(), dialAddress);
        return entry.withDial(dialAddress.getAddress().getHostAddress() + ":" + dialAddress.getPort());
    }

    /** Marks all endpoints of a destination at the address with the index as draining from now on. */
    public void startDrain(final long destination, final int addressIndex) {
        ruleChecker.startDrain(destination, addresses().get(addressIndex), clockNs.getAsLong());
    }

    /** Registers a message that a client is about to submit. */
    public void register(final RegisteredMessage message) {
        ruleChecker.register(message);
    }

    /** Removes a message that has ended; a further call with it counts as a violation. */
    public void forget(final String id) {
        ruleChecker.forget(id);
    }

    /** Adds a listener for accepted message ids, called on the event loop before the response is written. */
    public void onAccepted(final Consumer<String> listener) {
        acceptedListeners.add(listener);
    }

    /** Sets whether a destination leaves all calls unanswered. */
    public void setHung(final long destination, final boolean hanging) {
        onLoop(() -> {
            destination(destination).setHung(hanging);
            return null;
        });
    }

    /** Ends an outage of a destination: its warm-up starts now. */
    public void recover(final long destination) {
        onLoop(() -> {
            destination(destination).recover(clockNs.getAsLong());
            return null;
        });
    }

    /** The counts of a destination so far. */
    public DestinationCounts counts(final long destination) {
        return onLoop(() -> destination(destination).counts());
    }

    /** The counts so far of all destinations that had a call, by destination number. */
    public Map<Long, DestinationCounts> counts() {
        return onLoop(() -> {
            final Map<Long, DestinationCounts> counts = new HashMap<>();
            destinations.forEach((number, destination) -> counts.put(number, destination.counts()));
            return counts;
        });
    }

    /** The violations of the delivery rules so far. */
    public CallViolations violations() {
        return onLoop(ruleChecker::violations);
    }

    private <T> T onLoop(final Callable<T> work) {
        return loop.submit(work).syncUninterruptibly().getNow();
    }

    Destination destination(final long number) {
        return destinations.computeIfAbsent(number, added -> new Destination(settings.apply(added)));
    }

    DestinationSettings settingsOf(final long destination) {
        return settings.apply(destination);
    }

    CallRuleChecker ruleChecker() {
        return ruleChecker;
    }

    long nowNs() {
        return clockNs.getAsLong();
    }

    /** Draws the execution time of the next call of a destination from a log-normal distribution. */
    long latencyNs(final long destination) {
        final DestinationSettings latency = settings.apply(destination);
        return (long) (latency.medianLatency().toNanos() * Math.exp(latency.latencySigma() * random.nextGaussian()));
    }

    void notifyAccepted(final String id) {
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
