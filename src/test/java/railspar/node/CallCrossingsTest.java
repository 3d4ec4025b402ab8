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

/** Calls that meet a deadline, a window, a lack of descriptors or a client's going, in each order. */
final class CallCrossingsTest extends AbstractCourierProcessTest {
    private static final long WINDOW_MS = 300;
    private static final long LIFE_US = 20_000_000;

    /** A server that takes no connection up until it is told to: its queue is full. */
    private static final class Late implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        private final List<Socket> fillers = new ArrayList<>();
        private final List<String> lines = new CopyOnWriteArrayList<>();

        Late() throws IOException {
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

        /** Takes up all that come from now on, and keeps the first line of each. */
        void open() {
            final Thread thread = new Thread(() -> {
                try {
                    while (true) {
                        final Socket socket = server.accept();
                        final Thread reader = new Thread(() -> {
                            try {
                                final String line = FakeServer.readLine(socket.getInputStream());
                                if (!line.isEmpty()) {
                                    lines.add(line);
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
    void aRepeatWhoseConnectionComesUpBehindItsKeysWindowIsNotWritten() throws IOException {
        fixture.connectTimeoutUs = 60_000_000;
        fixture.first.script((request, connection) -> connection.reset());
        try (Late late = new Late()) {
            fixture.hosts = CourierProcessFixture.hostEntry("e1", fixture.first, "Ready") + ","
                    + CourierProcessFixture.hostEntry("e2", late.address(), "Ready");
            fixture.start();
            assertEquals(202, fixture.submit("m1", "brief").status());
            fixture.await("the first attempt, which may have run", () -> fixture.first.requests.size() == 1);
            final long firstNs = fixture.first.requests.get(0).atNs();
            fixture.await(
                    "the end of the window",
                    () -> System.nanoTime() - firstNs > TimeUnit.MILLISECONDS.toNanos(WINDOW_MS));
            late.open();
            fixture.await("its end", () -> fixture.hasNotice("m1", "deferred"));
            assertEquals(List.of(), late.lines, "nothing goes out behind the window");
            assertEquals(1, fixture.first.requests.size());
        }
    }

    @Test
    void aMessageThatSurelyHasNotRunIsHeldForSevenTenthsOfItsTimeHoweverShort() throws IOException {
        final FakeServer shut = new FakeServer((request, connection) -> {});
        shut.close();
        fixture.hosts = CourierProcessFixture.hostEntry("e0", shut, "Ready");
        fixture.start();
        final long timeMs = 2000;
        final long handedNs = System.nanoTime();
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.message("m1", "once").replace("20000", Long.toString(timeMs)))
                        .status());
        fixture.await("its notice", () -> fixture.hasNotice("m1", "deferred"));
        final long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - handedNs);
        assertTrue(tookMs >= timeMs * 7 / 10, "given up after " + tookMs + " ms");
    }

    @Test
    void anIdWhoseNoticeIsStillOwedIsNotTakenAgain() throws IOException {
        fixture.noticeStatus = 503;
        fixture.first.script((request, connection) -> connection.reset());
        fixture.start();
        assertEquals(202, fixture.submit("m1", "once").status());
        fixture.await("its notice, which is not confirmed", () -> fixture.hasNotice("m1", "undeliverable"));
        assertEquals(409, fixture.submit("m1", "once").status());
        assertEquals(1, fixture.first.requests.size());
    }

    @Test
    void aMessageWhoseClientIsGoneAtItsAnswerIsNotSent() throws IOException, Config.BadConfigException {
        final Config config = fixture.config();
        final Clock clock = new Clock();
        final EventLoopGroup group =
                new MillisecondTimerLoopGroup(new DefaultThreadFactory("withdrawn"), NioIoHandler.newFactory());
        final EventLoop loop = group.next();
        final MessageService host = new MessageService(config, loop, clock);
        loop.execute(() -> {
            host.startListWatch();
            try {
                host.start(Journal.open(config.state(), config.diskBytes()));
            } catch (final IOException e) {
                throw new UncheckedIOException(e);
            }
            host.submit(held("gone", clock), clock.nowUs() + LIFE_US, answered(() -> host.withdraw("gone")));
            host.submit(held("stays", clock), clock.nowUs() + LIFE_US, answered(() -> {}));
        });
        fixture.await("the other one's call", () -> fixture.first.requests.size() == 1);
        assertEquals(List.of("stays"), fixture.first.requests.get(0).ids());
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static AcceptedMessage held(final String id, final Clock clock) {
        return new AcceptedMessage(id, "safe", null, null, 7, clock.persistentUs() + LIFE_US, new byte[0]);
    }

    /** A client to whom that happens as it is answered. */
    private static MessageService.Reply answered(final Runnable then) {
        return new MessageService.Reply() {
            @Override
            public void accepted() {
                then.run();
            }

            @Override
            public void refused(final int status, final long retryAfterUs) {
                then.run();
            }

            @Override
            public void failed() {
                then.run();
            }
        };
    }

    /** Keeps a crowd of idle connections open, each anew when it is closed, until it is told to stop. */
    private Thread crowd(final AtomicBoolean over) {
        final Thread thread = new Thread(() -> {
            final List<Socket> sockets = new ArrayList<>();
            try {
                while (!over.get()) {
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
                    while (sockets.size() < 120 && !over.get()) {
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
     * A message's whole way, and the first steps and report, so that their classes are loaded: from a folder, as in
     * tests, each takes a descriptor, and one that could not be read never is. In service they come out of one file
     * that is open from the start on.
     */
    private void warmUp() throws IOException {
        assertEquals(202, fixture.submit("m0", "once").status());
        fixture.await("its notice", () -> fixture.hasNotice("m0", "undeliverable"));
        fixture.await("the first report", () -> fixture.log.stream().anyMatch(line -> line.contains("; open ")));
    }

    @Test
    void withAllDescriptorsTakenByIdleClientsTheListNoticesAndHonestClientsAreServed()
            throws IOException, InterruptedException {
        fixture.discovery = "pushed";
        // Fewer than the configuration says: clients fill them long before their share of its figure.
        fixture.shellPrefix = "ulimit -n 100";
        fixture.first.script((request, connection) -> connection.reset());
        fixture.start();
        fixture.await("the watch", () -> fixture.watches.size() == 1);
        warmUp();
        final AtomicBoolean over = new AtomicBoolean();
        final Thread crowd = crowd(over);
        fixture.await(
                "that no descriptor is left",
                () -> fixture.log.stream().anyMatch(line -> line.contains("cannot accept")));
        // The descriptor of this watch is free for a moment, and the crowd waits for it.
        fixture.watches.get(0).reset();
        fixture.await("another watch", () -> fixture.watches.size() >= 2);
        assertEquals(202, fixture.submit("m1", "once").status());
        fixture.await("its call", () -> fixture.first.requests.size() == 2);
        fixture.await("its notice", () -> fixture.hasNotice("m1", "undeliverable"));
        over.set(true);
        crowd.join(TimeUnit.SECONDS.toMillis(CourierProcessFixture.TIMEOUT_S));
        assertFalse(
                fixture.log.stream().anyMatch(line -> line.contains("IllegalStateException")), fixture.log.toString());
    }

    @Test
    void aCallThatFindsNoDescriptorEndsItsMessageInTime() throws IOException, InterruptedException {
        fixture.shellPrefix = "ulimit -n 100";
        fixture.first.script((request, connection) -> connection.reset());
        fixture.start();
        warmUp();
        final AtomicBoolean over = new AtomicBoolean();
        final Thread crowd = crowd(over);
        fixture.await(
                "that no descriptor is left",
                () -> fixture.log.stream().anyMatch(line -> line.contains("cannot accept")));
        final String message = CourierProcessFixture.message("m1", "once").replace("20000", "4000");
        assertEquals(202, fixture.send(message).status());
        fixture.await("its end", () -> fixture.hasNotice("m1", "undeliverable") || fixture.hasNotice("m1", "deferred"));
        over.set(true);
        crowd.join(TimeUnit.SECONDS.toMillis(CourierProcessFixture.TIMEOUT_S));
    }
}
