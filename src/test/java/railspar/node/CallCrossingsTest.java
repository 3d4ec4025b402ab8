package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Calls that race with a deadline, a deduplication window, a descriptor shortage or a client's disconnect. */
final class CallCrossingsTest extends AbstractCourierProcessTest {
    private static final long WINDOW_MS = 300;
    private static final long MESSAGE_TIMEOUT_US = 20_000_000;

    /** A server that accepts no connection until {@link #open}, because its backlog is full. */
    private static final class LateServer implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        private final List<Socket> fillers = new ArrayList<>();
        private final List<String> firstLines = new CopyOnWriteArrayList<>();

        LateServer() throws IOException {
            for (int count = 0; count < 4; count++) {
                final Socket filler = new Socket();
                fillers.add(filler);
                try {
                    filler.connect(server.getLocalSocketAddress(), 200);
                } catch (final SocketTimeoutException e) {
                    break;
                }
            }
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        /** Accepts all connections from now on and records the first line of each. */
        void open() {
            final Thread thread = new Thread(() -> {
                try {
                    while (true) {
                        final Socket socket = server.accept();
                        final Thread reader = new Thread(() -> {
                            try {
                                final String line = FakeServer.readLine(socket.getInputStream());
                                if (!line.isEmpty()) {
                                    firstLines.add(line);
                                }
                            } catch (final IOException e) {
                                assertTrue(e.getMessage() != null);
                            }
                        });
                        reader.setDaemon(true);
                        reader.start();
                    }
                } catch (final IOException e) {
                    assertTrue(server.isClosed());
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        @Override
        public void close() throws IOException {
            for (final Socket filler : fillers) {
                filler.close();
            }
            server.close();
        }
    }

    @Test
    void aRetryWhoseConnectionIsEstablishedAfterTheDeduplicationWindowIsNotWritten() throws IOException {
        fixture.connectTimeoutUs = 60_000_000;
        fixture.first.script((request, connection) -> connection.reset());
        try (LateServer lateServer = new LateServer()) {
            fixture.hosts = CourierProcessFixture.hostEntry("e1", fixture.first, "Ready") + ","
                    + CourierProcessFixture.hostEntry("e2", lateServer.address(), "Ready");
            fixture.start();
            assertEquals(202, fixture.submit("m1", "brief").status());
            fixture.await("the first attempt, which may have taken effect", () -> fixture.first.requests.size() == 1);
            final long firstNs = fixture.first.requests.get(0).atNs();
            fixture.await(
                    "the end of the window",
                    () -> System.nanoTime() - firstNs > TimeUnit.MILLISECONDS.toNanos(WINDOW_MS));
            lateServer.open();
            fixture.await("its end", () -> fixture.hasNotice("m1", "deferred"));
            assertEquals(List.of(), lateServer.firstLines, "nothing is sent after the window");
            assertEquals(1, fixture.first.requests.size());
        }
    }

    @Test
    void aMessageThatHasNotTakenEffectIsRetriedForSevenTenthsOfItsTimeoutHoweverShort() throws IOException {
        final FakeServer closedServer = new FakeServer((request, connection) -> {});
        closedServer.close();
        fixture.hosts = CourierProcessFixture.hostEntry("e0", closedServer, "Ready");
        fixture.start();
        final long timeoutMs = 2000;
        final long submittedNs = System.nanoTime();
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.message("m1", "once").replace("20000", Long.toString(timeoutMs)))
                        .status());
        fixture.await("its notice", () -> fixture.hasNotice("m1", "deferred"));
        final long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - submittedNs);
        assertTrue(tookMs >= timeoutMs * 7 / 10, "ended after " + tookMs + " ms");
    }

    @Test
    void anIdWithAnUnconfirmedNoticeIsNotAcceptedAgain() throws IOException {
        fixture.noticeStatus = 503;
        fixture.first.script((request, connection) -> connection.reset());
        fixture.start();
        assertEquals(202, fixture.submit("m1", "once").status());
        fixture.await("its notice, which is not confirmed", () -> fixture.hasNotice("m1", "undeliverable"));
        assertEquals(409, fixture.submit("m1", "once").status());
        assertEquals(1, fixture.first.requests.size());
    }

    @Test
    void aMessageWhoseClientDisconnectsBeforeItsAnswerIsNotSent() throws IOException, Config.BadConfigException {
        final Config config = fixture.config();
        final Clock clock = new Clock();
        final EventLoopGroup group =
                new MillisecondTimerLoopGroup(new DefaultThreadFactory("withdrawn"), NioIoHandler.newFactory());
        final EventLoop loop = group.next();
        final MessageService messageService = new MessageService(config, loop, clock);
        loop.execute(() -> {
            messageService.startListWatch();
            try {
                messageService.start(Journal.open(config.state(), config.diskBytes()));
            } catch (final IOException e) {
                throw new UncheckedIOException(e);
            }
            messageService.submit(
                    acceptedMessage("gone", clock),
                    clock.nowUs() + MESSAGE_TIMEOUT_US,
                    replyThatRuns(() -> messageService.withdraw("gone")));
            messageService.submit(
                    acceptedMessage("stays", clock), clock.nowUs() + MESSAGE_TIMEOUT_US, replyThatRuns(() -> {}));
        });
        fixture.await("the other one's call", () -> fixture.first.requests.size() == 1);
        assertEquals(List.of("stays"), fixture.first.requests.get(0).ids());
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static AcceptedMessage acceptedMessage(final String id, final Clock clock) {
        return new AcceptedMessage(id, "safe", null, null, 7, clock.persistentUs() + MESSAGE_TIMEOUT_US, new byte[0]);
    }

    /** A reply that runs an action when the client is answered. */
    private static MessageService.Reply replyThatRuns(final Runnable action) {
        return new MessageService.Reply() {
            @Override
            public void accepted() {
                action.run();
            }

            @Override
            public void refused(final int status, final long retryAfterUs) {
                action.run();
            }

            @Override
            public void failed() {
                action.run();
            }
        };
    }

    /** Keeps many idle connections open, and reopens each one that is closed, until {@code stopped} is set. */
    private Thread idleClients(final AtomicBoolean stopped) {
        final Thread thread = new Thread(() -> {
            final List<Socket> sockets = new ArrayList<>();
            try {
                while (!stopped.get()) {
                    sockets.removeIf(socket -> {
                        try {
                            socket.setSoTimeout(1);
                            return socket.getInputStream().read() < 0;
                        } catch (final SocketTimeoutException e) {
                            return false;
                        } catch (final IOException e) {
                            return true;
                        }
                    });
                    while (sockets.size() < 120 && !stopped.get()) {
                        sockets.add(fixture.connect());
                    }
                }
                for (final Socket socket : sockets) {
                    socket.close();
                }
            } catch (final IOException e) {
                assertFalse(fixture.isAlive(), "the courier still listens");
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /**
     * Delivers a message and waits for the first report, so that the classes of both are loaded. Loading a class from a
     * folder, as in tests, needs a descriptor, and a class that failed to load is never loaded again. In production the
     * classes are in one file that is open from the start.
     */
    private void warmUp() throws IOException {
        assertEquals(202, fixture.submit("m0", "once").status());
        fixture.await("its notice", () -> fixture.hasNotice("m0", "undeliverable"));
        fixture.await("the first report", () -> fixture.log.stream().anyMatch(line -> line.contains("; open ")));
    }

    @Test
    void whenIdleClientsUseUpAllDescriptorsTheWatchTheNoticesAndOtherClientsAreServed()
            throws IOException, InterruptedException {
        fixture.discovery = "pushed";
        // Fewer than configured, so that clients use them up long before they reach their configured share.
        fixture.shellPrefix = "ulimit -n 100";
        fixture.first.script((request, connection) -> connection.reset());
        fixture.start();
        fixture.await("the watch", () -> fixture.watches.size() == 1);
        warmUp();
        final AtomicBoolean stopped = new AtomicBoolean();
        final Thread idleClients = idleClients(stopped);
        fixture.await(
                "the descriptor shortage", () -> fixture.log.stream().anyMatch(line -> line.contains("cannot accept")));
        // The idle clients compete for the descriptor that this watch frees.
        fixture.watches.get(0).reset();
        fixture.await("another watch", () -> fixture.watches.size() >= 2);
        assertEquals(202, fixture.submit("m1", "once").status());
        fixture.await("its call", () -> fixture.first.requests.size() == 2);
        fixture.await("its notice", () -> fixture.hasNotice("m1", "undeliverable"));
        stopped.set(true);
        idleClients.join(TimeUnit.SECONDS.toMillis(CourierProcessFixture.TIMEOUT_S));
        assertFalse(
                fixture.log.stream().anyMatch(line -> line.contains("IllegalStateException")), fixture.log.toString());
    }

    @Test
    void aMessageWhoseCallGetsNoDescriptorEndsInTime() throws IOException, InterruptedException {
        fixture.shellPrefix = "ulimit -n 100";
        fixture.first.script((request, connection) -> connection.reset());
        fixture.start();
        warmUp();
        final AtomicBoolean stopped = new AtomicBoolean();
        final Thread idleClients = idleClients(stopped);
        fixture.await(
                "the descriptor shortage", () -> fixture.log.stream().anyMatch(line -> line.contains("cannot accept")));
        final String message = CourierProcessFixture.message("m1", "once").replace("20000", "4000");
        assertEquals(202, fixture.send(message).status());
        fixture.await("its end", () -> fixture.hasNotice("m1", "undeliverable") || fixture.hasNotice("m1", "deferred"));
        stopped.set(true);
        idleClients.join(TimeUnit.SECONDS.toMillis(CourierProcessFixture.TIMEOUT_S));
    }
}
