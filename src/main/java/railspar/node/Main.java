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
import java.util.function.Consumer;

/** Starts the courier process, and shuts it down in order when the platform sends SIGTERM. */
public final class Main {
    /** How long the process keeps listening after SIGTERM: new connections arrive for up to 0.4 s after it. */
    private static final long LISTEN_MS = 550;
    /** Time from SIGTERM to the end of the process: SIGKILL follows SIGTERM no sooner than 3.7 s later. */
    private static final long STOP_MS = 3100;

    private static final long STOP_CHECK_MS = 20;
    /** Incomplete requests are rejected this long before the end, so that the response still reaches the client. */
    private static final long REJECT_BEFORE_END_MS = 700;
    /** Interval at which a standby process tries the owner lock, and the old process checks on its successor. */
    private static final long LOCK_POLL_MS = 3;
    /** A standby process warms up for this time before it reports itself healthy. */
    private static final long STANDBY_WARMUP_MS = 700;
    /**
     * How long a standby process waits for the list, as it has to be healthy 6 s after its start. The old process
     * serves meanwhile.
     */
    private static final int STANDBY_LIST_WAIT_MS = 4000;
    /** How long at most the old process goes on after SIGTERM while its successor is not ready. */
    private static final long MAX_SUCCESSOR_WAIT_US = 1_500_000;
    /** Longest time for which a process that hands over keeps accepting connections. */
    private static final long MAX_HANDOVER_ACCEPT_US = 1_500_000;

    /** Interval of the checks for a garbage collection: only few messages are accepted between two of them. */
    private static final long GC_CHECK_MS = 100;

    private static final long US_PER_MS = 1000;

    private final EventLoopGroup group =
            new MillisecondTimerLoopGroup(new DefaultThreadFactory("courier"), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final Config config;
    private final OwnerLock ownerLock;
    /** The listening socket for clients if the process inherits it from the platform, or null. */
    private final ServerSocketChannel inheritedListener;

    private MessageService messageService;
    private ClientServer clientServer;
    /** This process serves clients, or will once it owns the state folder. The operators' thread reads it. */
    private volatile boolean ready;
    /** An operator has drained the courier. The operators' thread reads it. */
    private volatile boolean drained;
    /** SIGTERM has been received. The operators' thread reads it. */
    private volatile boolean ending;

    private boolean serving;
    /** This standby process can serve as soon as it owns the state folder. */
    private boolean readyToTakeOver;

    private long lockFailures;

    private Main(
            final Config config,
            final Clock clock,
            final OwnerLock ownerLock,
            final ServerSocketChannel inheritedListener) {
        this.config = config;
        this.clock = clock;
        this.ownerLock = ownerLock;
        this.inheritedListener = inheritedListener;
    }

    /** Runs a courier with the configuration that the environment names, until the process is stopped. */
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
        final ServerSocketChannel inheritedListener = inheritedListener(environment);
        final CompletableFuture<Main> started = new CompletableFuture<>();
        final ConfigReloader reloader = new ConfigReloader(
                () -> Config.reread(environment), reread -> started.thenAccept(main -> main.reload(reread)));
        ReloadSignal.handle(() -> started.thenRun(reloader::reload));
        final OwnerLock ownerLock =
                StartRetry.blocking("open the lock files", () -> OwnerLock.inFolder(config.state()));
        final Clock clock = StartRetry.blocking("read the clock file", () -> clock(config));
        final Main main =
                StartRetry.blocking("create an event loop", () -> main(config, clock, ownerLock, inheritedListener));
        Runtime.getRuntime().addShutdownHook(new Thread(main::stop, "stop"));
        main.loop.execute(main::runOrExit);
        started.complete(main);
    }

    private static Clock clock(final Config config) throws IOException {
        final Clock clock = new Clock();
        ClockFile.in(config.state()).apply(clock);
        return clock;
    }

    /** An event loop needs file descriptors; Netty reports a lack of them by an unchecked exception. */
    private static Main main(
            final Config config,
            final Clock clock,
            final OwnerLock ownerLock,
            final ServerSocketChannel inheritedListener)
            throws IOException {
        try {
            return new Main(config, clock, ownerLock, inheritedListener);
        } catch (final IllegalStateException | ChannelException e) {
            throw new IOException(e);
        }
    }

    /**
     * The listening socket for clients, where the platform holds it and every process inherits it as descriptor 0. It
     * is never closed here, because closing it would also discard the output of the log.
     */
    private static ServerSocketChannel inheritedListener(final Map<String, String> environment) throws IOException {
        if (!environment.containsKey("PROXY_ACCEPT_FD")) {
            return null;
        }
        if (System.inheritedChannel() instanceof ServerSocketChannel inherited) {
            return inherited;
        }
        throw new IOException("PROXY_ACCEPT_FD is set, but descriptor 0 is not a listening socket");
    }

    private static void exitWithError(final String reason) {
        System.err.println("cannot start: " + reason);
        Runtime.getRuntime().halt(1);
    }

    private void runOrExit() {
        try {
            run();
        } catch (final IllegalArgumentException e) {
            // The event loop would swallow the exception and leave a courier that never becomes ready.
            exitWithError(e.getMessage());
        }
    }

    /** Creates all parts on the event loop, which owns them from then on. */
    private void run() {
        messageService = new MessageService(config, loop, clock);
        clientServer = new ClientServer(config, clock, messageService);
        messageService.onDescriptorShortage(clientServer::relieveDescriptorShortage);
        messageService.decideOnlyWhile(ownerLock::isHeld);
        if (config.mgmt() != null) {
            final OperatorServer operators = new OperatorServer(new OperatorCommands());
            listenForOperators(operators, 0);
        }
        StartRetry.onExecutor(loop, "acquire the owner lock", () -> {
            startAsOwnerOrStandby(ownerLock.tryAcquire());
            return null;
        });
    }

    private void startAsOwnerOrStandby(final boolean isOwner) {
        messageService.startListWatch();
        if (isOwner) {
            messageService.whenListReady(this::serve);
        } else {
            standBy();
        }
    }

    /**
     * Prepares to take over, and reports itself healthy only then: at that the old process is told to end, and nobody
     * serves from its handover until this process is ready.
     */
    private void standBy() {
        Log.info(config.name() + " stands by: another process of this courier serves");
        final long sinceUs = clock.nowUs();
        messageService.whenListReady(() -> {
            readyToTakeOver = true;
            final long elapsedMs = (clock.nowUs() - sinceUs) / US_PER_MS;
            loop.schedule(() -> ready = true, STANDBY_WARMUP_MS - elapsedMs, TimeUnit.MILLISECONDS);
        });
        loop.schedule(this::stopStandbyWaitForList, STANDBY_LIST_WAIT_MS, TimeUnit.MILLISECONDS);
        waitForOwnerLock();
    }

    /** If the old process has died meanwhile, this one is the owner and waits for the list like any start. */
    private void stopStandbyWaitForList() {
        if (!ownerLock.isHeld()) {
            messageService.stopWaitingForList(STANDBY_LIST_WAIT_MS);
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

    /** Waits until the predecessor process releases the owner lock or dies. */
    private void waitForOwnerLock() {
        boolean acquired = false;
        try {
            acquired = ownerLock.tryAcquire();
            if (!acquired && readyToTakeOver) {
                ownerLock.setReady();
            }
        } catch (final IOException e) {
            // The next poll tries again.
            StartRetry.failed("acquire the owner lock", e, lockFailures++);
        }
        if (ending || acquired) {
            messageService.whenListReady(this::serve);
        } else {
            loop.schedule(this::waitForOwnerLock, LOCK_POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** This process holds the owner lock: it opens the journal, makes the decisions and serves clients. */
    private void serve() {
        if (ending) {
            return;
        }
        final MemoryBudget memoryBudget =
                MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory());
        final GcMonitor gcMonitor = new GcMonitor(memoryBudget);
        loop.scheduleWithFixedDelay(gcMonitor::checkForCollection, GC_CHECK_MS, GC_CHECK_MS, TimeUnit.MILLISECONDS);
        StartRetry.onExecutor(loop, "open the journal", () -> {
            if (!ending) {
                startService(memoryBudget);
            }
            return null;
        });
    }

    private void startService(final MemoryBudget memoryBudget) throws IOException {
        final Journal journal = Journal.open(config.state(), config.diskBytes(), memoryBudget);
        try {
            messageService.start(journal);
        } catch (final IOException e) {
            journal.close();
            throw e;
        }
        serving = true;
        clientServer.startSweeping(loop);
        listen(0);
    }

    private void listen(final long failures) {
        if (ending) {
            return;
        }
        clientServer.listen(group, inheritedListener).addListener(bound -> {
            if (bound.isSuccess()) {
                StartRetry.succeeded("listen", failures);
                ready = true;
                stopWaiting();
                Log.info(config.name() + " is ready at " + clientServer.address());
                // Loads the time zone rules. Without free descriptors the JDK's logger could not load them later, which
                // would end the event loop.
                loop.execute(() -> ZoneId.systemDefault().getRules());
            } else {
                StartRetry.failed("listen on " + config.listen(), bound.cause(), failures);
                StartRetry.scheduleRetry(loop, () -> listen(failures + 1));
            }
        });
    }

    private void stopWaiting() {
        try {
            ownerLock.stopWaiting();
        } catch (final IOException e) {
            Log.info("cannot release next.lock, this process still counts as waiting: " + e.getMessage());
        }
    }

    /** Carries the operators' commands over to the event loop, which owns the state. */
    private final class OperatorCommands implements OperatorServer.Commands {
        @Override
        public boolean isHealthy() {
            return ready && !drained && !ending;
        }

        @Override
        public String metrics() {
            return messageService.metrics().render();
        }

        @Override
        public void overrideEndpoint(final String host, final boolean disabled, final Consumer<String> result) {
            loop.execute(() -> result.accept(Main.this.messageService.overrideEndpoint(host, disabled)));
        }

        @Override
        public void setDrained(final boolean drained, final Consumer<String> result) {
            loop.execute(() -> {
                clientServer.setDrained(drained);
                Main.this.drained = drained;
                result.accept(null);
            });
        }
    }

    private void reload(final Config reread) {
        loop.execute(() -> messageService.reload(reread));
    }

    /** On SIGTERM: hands over to a waiting process, or drains for a while and leaves the rest to the next process. */
    private void stop() {
        loop.execute(() -> {
            ending = true;
            if (!serving) {
                stopped.countDown();
                return;
            }
            final long stopUs = clock.nowUs() + STOP_MS * US_PER_MS;
            messageService.stopping(stopUs);
            handOverOrDrain(clock.nowUs() + MAX_SUCCESSOR_WAIT_US);
            loop.schedule(
                    clientServer::rejectIncompleteRequests, STOP_MS - REJECT_BEFORE_END_MS, TimeUnit.MILLISECONDS);
            loop.scheduleWithFixedDelay(
                    () -> {
                        if (clock.nowUs() >= stopUs || messageService.isIdle() && clientServer.isDone()) {
                            stopped.countDown();
                        }
                    },
                    LISTEN_MS,
                    STOP_CHECK_MS,
                    TimeUnit.MILLISECONDS);
        });
        try {
            if (!stopped.await(STOP_MS + LISTEN_MS / 2, TimeUnit.MILLISECONDS)) {
                Log.info("the event loop did not stop in time; the process ends without it");
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Hands over to a waiting process once that is ready, or after the deadline if it is not; this process serves
     * meanwhile. Without a waiting process, drains.
     */
    private void handOverOrDrain(final long deadlineUs) {
        final boolean hasWaiter = ownerLock.hasWaiter();
        if (hasWaiter && !ownerLock.hasReadyWaiter() && clock.nowUs() < deadlineUs) {
            loop.schedule(() -> handOverOrDrain(deadlineUs), LOCK_POLL_MS, TimeUnit.MILLISECONDS);
        } else if (!hasWaiter || !handOver()) {
            clientServer.drain();
            loop.schedule(clientServer::stopListening, LISTEN_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Accepts until the successor does or the deadline passes, so that clients always find a listener. */
    private void stopAccepting(final long deadlineUs) {
        if (ownerLock.hasWaiter() && clock.nowUs() < deadlineUs) {
            loop.schedule(() -> stopAccepting(deadlineUs), LOCK_POLL_MS, TimeUnit.MILLISECONDS);
        } else {
            clientServer.stopAccepting();
        }
    }

    /** Hands the journal and the listening socket over to the waiting process; false if that failed. */
    private boolean handOver() {
        try {
            messageService.handOver(HandoverWriter.create(config.state(), clock, config.diskBytes()));
        } catch (final IOException e) {
            Log.failure("cannot hand over to the waiting process; draining instead", e);
            return false;
        }
        clientServer.handOver();
        releaseOwnerLock(0);
        stopAccepting(clock.nowUs() + MAX_HANDOVER_ACCEPT_US);
        return true;
    }

    /** Releases the owner lock. A failed release may or may not have freed it, so it is repeated until it succeeds. */
    private void releaseOwnerLock(final long failures) {
        try {
            ownerLock.release();
        } catch (final IOException e) {
            if (failures == 0) {
                Log.info("cannot release owner.lock, retrying until it succeeds: " + e.getMessage());
            }
            loop.schedule(() -> releaseOwnerLock(failures + 1), LOCK_POLL_MS, TimeUnit.MILLISECONDS);
        }
    }
}
