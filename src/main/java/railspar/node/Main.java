package railspar.node;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.time.ZoneId;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/** Starts a real courier, and ends it in order when the platform asks for that. */
public final class Main {
    /** After SIGTERM new connections still come for up to 0.4 s. */
    private static final long LISTEN_MS = 550;
    /** When the process ends after SIGTERM: SIGKILL comes no sooner than 3.7 s after it. */
    private static final long STOP_MS = 3100;

    private static final long STOP_CHECK_MS = 20;
    /** So long before that no request is waited for any more; its refusal still gets to its client. */
    private static final long FINISH_MS = 700;
    /** How often a process that stands by looks whether it is its turn, and how long it warms up first. */
    private static final long TURN_MS = 3;

    private static final long STAND_BY_MS = 700;
    /** For how long at most a process that hands over goes on accepting. */
    private static final long ACCEPT_US = 1_500_000;

    /** How often it is looked whether the heap was collected: in between, only little is taken on. */
    private static final long COLLECTION_MS = 100;

    /** What a new configuration tells counts as told 4 s after its signal. */
    private static final int RELOAD_TRIES = 35;

    private static final long RELOAD_AGAIN_MS = 100;

    private static final long US_PER_MS = 1000;

    private final EventLoopGroup group =
            new MillisecondTimerLoopGroup(new DefaultThreadFactory("courier"), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final Config config;
    private final OwnerLock turn;
    /** The clients' listening socket if the platform holds it, or null. */
    private final ServerSocketChannel held;

    private MessageService host;
    private ClientServer intake;
    /** What operators are told of this process's health; their thread reads it. */
    private volatile boolean healthy;

    private boolean serving;
    private boolean ending;
    private long lockFailures;

    private Main(final Config config, final Clock clock, final OwnerLock turn, final ServerSocketChannel held) {
        this.config = config;
        this.clock = clock;
        this.turn = turn;
        this.held = held;
    }

    /** Runs a courier with what the environment tells, until it is ended. */
    public static void main(final String[] args) {
        try {
            start(System.getenv());
        } catch (final Config.BadConfigException | IOException e) {
            System.err.println("cannot start: " + e.getMessage());
            System.exit(1);
        }
    }

    private static void start(final Map<String, String> environment) throws Config.BadConfigException, IOException {
        final Config config = Config.read(environment);
        final ServerSocketChannel held = held(environment);
        final CompletableFuture<Main> started = new CompletableFuture<>();
        ReloadSignal.handle(() -> started.thenAccept(main -> main.reload(environment)));
        final OwnerLock turn = StartRetry.blocking("open the locks", () -> OwnerLock.inFolder(config.state()));
        final Clock clock = StartRetry.blocking("read the clock file", () -> clock(config));
        final Main main = StartRetry.blocking("begin an event loop", () -> main(config, clock, turn, held));
        Runtime.getRuntime().addShutdownHook(new Thread(main::stop, "stop"));
        main.loop.execute(main::orGiveUp);
        started.complete(main);
    }

    private static Clock clock(final Config config) throws IOException {
        final Clock clock = new Clock();
        ClockFile.in(config.state()).apply(clock);
        return clock;
    }

    /** An event loop needs descriptors; the framework tells a lack of them by an unchecked exception. */
    private static Main main(
            final Config config, final Clock clock, final OwnerLock turn, final ServerSocketChannel held)
            throws IOException {
        try {
            return new Main(config, clock, turn, held);
        } catch (final IllegalStateException | ChannelException e) {
            throw new IOException(e);
        }
    }

    /**
     * The clients' listening socket, where the platform holds it and every process inherits it as descriptor 0. It is
     * never closed here: that would also turn the log to nowhere.
     */
    private static ServerSocketChannel held(final Map<String, String> environment) throws IOException {
        if (!environment.containsKey("PROXY_ACCEPT_FD")) {
            return null;
        }
        if (System.inheritedChannel() instanceof ServerSocketChannel inherited) {
            return inherited;
        }
        throw new IOException("PROXY_ACCEPT_FD is set, but descriptor 0 is no listening socket");
    }

    private static void giveUp(final String reason) {
        System.err.println("cannot start: " + reason);
        Runtime.getRuntime().halt(1);
    }

    private void orGiveUp() {
        try {
            run();
        } catch (final IllegalArgumentException e) {
            // On the loop's thread this would be swallowed, and a courier left that is never ready.
            giveUp(e.getMessage());
        }
    }

    /** Builds everything on the event loop, which owns it all from then on. */
    private void run() {
        host = new MessageService(config, loop, clock);
        intake = new ClientServer(config, clock, host);
        host.onDescriptorShortage(intake::relieveDescriptorShortage);
        host.decideOnlyWhile(turn::isHeld);
        if (config.mgmt() != null) {
            final OperatorServer operators = new OperatorServer(new Desk());
            listenForOperators(operators, 0);
        }
        StartRetry.onExecutor(loop, "take the lock", () -> {
            begin(turn.tryAcquire());
            return null;
        });
    }

    private void begin(final boolean alone) {
        host.startListWatch();
        if (alone) {
            host.whenListReady(this::serve);
        } else {
            Log.info(config.name() + " stands by: another process of this courier serves");
            loop.schedule(() -> healthy = true, STAND_BY_MS, TimeUnit.MILLISECONDS);
            standBy();
        }
    }

    private void listenForOperators(final OperatorServer operators, final long failures) {
        operators.listen(config.mgmt()).addListener(bound -> {
            if (bound.isSuccess()) {
                StartRetry.succeeded("listen for operators", failures);
                final Channel channel = ((ChannelFuture) bound).channel();
                Log.info(
                        "operators call at " + channel.localAddress().toString().replaceFirst(".*/", ""));
            } else {
                StartRetry.failed("listen for operators on " + config.mgmt(), bound.cause(), failures);
                StartRetry.scheduleRetry(loop, () -> listenForOperators(operators, failures + 1));
            }
        });
    }

    /** Waits until the process before this one lets go, or dies. */
    private void standBy() {
        boolean mine = false;
        try {
            mine = turn.tryAcquire();
        } catch (final IOException e) {
            // The next look tells.
            StartRetry.failed("take the lock", e, lockFailures++);
        }
        if (ending || mine) {
            host.whenListReady(this::serve);
        } else {
            loop.schedule(this::standBy, TURN_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** It is this process's turn: it owns the journal, decides and takes clients. */
    private void serve() {
        if (ending) {
            return;
        }
        final MemoryBudget memory = MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory());
        final GcMonitor collections = new GcMonitor(memory);
        loop.scheduleWithFixedDelay(
                collections::checkForCollection, COLLECTION_MS, COLLECTION_MS, TimeUnit.MILLISECONDS);
        StartRetry.onExecutor(loop, "open the journal", () -> {
            if (!ending) {
                takeUp(memory);
            }
            return null;
        });
    }

    private void takeUp(final MemoryBudget memory) throws IOException {
        final Journal journal = Journal.open(config.state(), config.diskBytes(), memory);
        try {
            host.start(journal);
        } catch (final IOException e) {
            journal.close();
            throw e;
        }
        serving = true;
        intake.startSweeping(loop);
        listen(0);
    }

    private void listen(final long failures) {
        if (ending) {
            return;
        }
        intake.listen(group, held).addListener(bound -> {
            if (bound.isSuccess()) {
                StartRetry.succeeded("listen", failures);
                healthy = !ending;
                arrive();
                Log.info(config.name() + " is ready at " + intake.address());
                // Where descriptors run out, the JDK's logger could not read these any more: that ends the event loop.
                loop.execute(() -> ZoneId.systemDefault().getRules());
            } else {
                StartRetry.failed("listen on " + config.listen(), bound.cause(), failures);
                StartRetry.scheduleRetry(loop, () -> listen(failures + 1));
            }
        });
    }

    private void arrive() {
        try {
            turn.stopWaiting();
        } catch (final IOException e) {
            Log.info("cannot tell that clients are taken: " + e.getMessage());
        }
    }

    /** What operators call for, carried over to the event loop that owns all. */
    private final class Desk implements OperatorServer.Commands {
        @Override
        public boolean isHealthy() {
            return healthy;
        }

        @Override
        public String metrics() {
            return host.metrics().render();
        }

        @Override
        public void overrideEndpoint(final String host, final boolean out, final Consumer<String> refusal) {
            loop.execute(() -> refusal.accept(Main.this.host.overrideEndpoint(host, out)));
        }

        @Override
        public void setDrained(final boolean away, final Consumer<String> refusal) {
            loop.execute(() -> {
                intake.setDrained(away);
                healthy = !away && !ending;
                refusal.accept(null);
            });
        }
    }

    /**
     * On SIGHUP, on a thread of its own: what the file says now goes. One that cannot be read changes nothing, and
     * never ends the courier; it is read again for a while, as it may be about to be written or its folder may fail.
     */
    private void reload(final Map<String, String> environment) {
        for (int tries = 0; tries < RELOAD_TRIES; tries++) {
            try {
                final Config fresh = Config.reread(environment);
                loop.execute(() -> host.reload(fresh));
                return;
            } catch (final Config.BadConfigException e) {
                if (tries == 0) {
                    Log.info("reload: kept what was known before: " + e.getMessage());
                }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RELOAD_AGAIN_MS));
            }
        }
    }

    /** On SIGTERM: hands over to a process that waits, or goes on for a while and leaves the rest to the next one. */
    private void stop() {
        loop.execute(() -> {
            ending = true;
            healthy = false;
            if (!serving) {
                stopped.countDown();
                return;
            }
            final long stopUs = clock.nowUs() + STOP_MS * US_PER_MS;
            if (!turn.hasWaiter() || !handOver()) {
                intake.drain();
                host.stopping(stopUs);
                loop.schedule(intake::stopListening, LISTEN_MS, TimeUnit.MILLISECONDS);
            }
            loop.schedule(intake::rejectIncompleteRequests, STOP_MS - FINISH_MS, TimeUnit.MILLISECONDS);
            loop.scheduleWithFixedDelay(
                    () -> {
                        if (clock.nowUs() >= stopUs || host.isIdle() && intake.isDone()) {
                            stopped.countDown();
                        }
                    },
                    LISTEN_MS,
                    STOP_CHECK_MS,
                    TimeUnit.MILLISECONDS);
        });
        try {
            if (!stopped.await(STOP_MS + LISTEN_MS / 2, TimeUnit.MILLISECONDS)) {
                Log.info("the event loop did not stop in time");
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Nobody is left at the door: this process lets clients in until the other one does. */
    private void stopAccepting(final long latestUs) {
        if (turn.hasWaiter() && clock.nowUs() < latestUs) {
            loop.schedule(() -> stopAccepting(latestUs), TURN_MS, TimeUnit.MILLISECONDS);
        } else {
            intake.stopAccepting();
        }
    }

    /** The process that waits owns journal and door from now on; false if it could not be told. */
    private boolean handOver() {
        try {
            host.handOver(HandoverWriter.create(config.state(), clock, config.diskBytes()));
        } catch (final IOException e) {
            Log.failure("cannot hand over", e);
            return false;
        }
        intake.handOver();
        passTurn(0);
        stopAccepting(clock.nowUs() + ACCEPT_US);
        return true;
    }

    /** A lock that could not be let go may be free or not: it is let go again, until that has worked. */
    private void passTurn(final long failures) {
        try {
            turn.release();
        } catch (final IOException e) {
            if (failures == 0) {
                Log.info("the lock cannot be let go, tried again until it can: " + e.getMessage());
            }
            loop.schedule(() -> passTurn(failures + 1), TURN_MS, TimeUnit.MILLISECONDS);
        }
    }
}
