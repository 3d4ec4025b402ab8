package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A process that takes over from one that still runs: to clients and endpoints the two are one courier. */
final class HandoverTest extends AbstractCourierProcessTest {
    private static final long STOP_LIMIT_MS = 3700;

    private static void silentTo(final FakeServer server, final String id) {
        server.script((request, connection) -> {
            if (!request.ids().contains(id)) {
                connection.accept(request);
            }
        });
    }

    @Test
    void aCallThatIsOutGoesOnAndTheNextOfItsKeyWaitsForItAcrossTheTwo() throws IOException, InterruptedException {
        silentTo(fixture.first, "m1");
        fixture.start();
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("m1", "k")).status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
        final Process old = fixture.startSuccessor();
        fixture.endOldProcess(old, false);
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("m2", "k")).status());
        assertEquals(202, fixture.submit("m3", "safe").status());
        fixture.await("another one's call", () -> fixture.first.ids().contains("m3"));
        assertEquals(List.of("m1", "m3"), fixture.first.ids(), "the key is taken");
        fixture.first.requests.get(0).connection().answer(200, "");
        fixture.await("its turn", () -> fixture.first.ids().contains("m2"));
        assertEquals(1, fixture.first.ids().stream().filter("m1"::equals).count());
        assertTrue(old.waitFor(STOP_LIMIT_MS, TimeUnit.MILLISECONDS), "with nothing out, the old one ends");
        assertTrue(fixture.notices.isEmpty(), fixture.notices.toString());
    }

    @Test
    void whatWasOutWhenTheOldOneIsKilledMayHaveRun() throws IOException, InterruptedException {
        fixture.first.script((request, connection) -> {});
        fixture.start();
        assertEquals(202, fixture.submit("m1", "once").status());
        assertEquals(202, fixture.submit("m2", "safe").status());
        fixture.await("the calls", () -> fixture.first.requests.size() == 2);
        final Process old = fixture.startSuccessor();
        fixture.first.script((request, connection) -> connection.accept(request));
        fixture.endOldProcess(old, true);
        fixture.await("its notice", () -> fixture.hasNotice("m1", "undeliverable"));
        fixture.await("the safe one's second call", () -> fixture.first.ids().size() == 3);
        assertEquals(List.of("m1", "m2", "m2"), fixture.first.ids());
    }

    @Test
    void whatIsOutWhenTheOldOneIsKilledWhileItLeavesMayHaveRun() throws IOException, InterruptedException {
        fixture.hasOperatorAddress = true;
        fixture.first.script((request, connection) -> {});
        fixture.start();
        assertEquals(202, fixture.submit("m1", "once").status());
        // They travel on connections of their own: the order in which they are read is forced, not hoped for.
        fixture.await("the first call", () -> fixture.first.requests.size() == 1);
        assertEquals(202, fixture.submit("m2", "safe").status());
        fixture.await("the calls", () -> fixture.first.requests.size() == 2);
        final Process old = fixture.startSuccessor();
        fixture.endOldProcess(old, false);
        assertTrue(fixture.notices.isEmpty(), "they are still out");
        assertEquals(2, fixture.first.requests.size());
        fixture.first.script((request, connection) -> connection.accept(request));
        old.destroyForcibly();
        fixture.await("its notice", () -> fixture.hasNotice("m1", "undeliverable"));
        fixture.awaitMetric("results.safe.succeeded", 1);
        fixture.killAndRestart();
        assertEquals(202, fixture.submit("m3", "safe").status());
        fixture.await("m3", () -> fixture.first.ids().contains("m3"));
        assertEquals(List.of("m1", "m2", "m2", "m3"), fixture.first.ids(), "a third process knows all of it");
    }

    @Test
    void aWaitThatTheOldOneWasToldBindsTheNewOne() throws IOException {
        final long waitS = 4;
        fixture.first.script((request, connection) -> connection.answer(429, "", "Retry-After: " + waitS));
        fixture.start();
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the refusal", () -> fixture.first.requests.size() == 1);
        final long toldNs = fixture.first.requests.get(0).atNs();
        fixture.first.script((request, connection) -> connection.accept(request));
        fixture.endOldProcess(fixture.startSuccessor(), false);
        assertEquals(202, fixture.submit("m2", "safe").status());
        fixture.await("the next call", () -> fixture.first.requests.size() > 1);
        assertTrue(fixture.first.requests.get(1).atNs() - toldNs >= TimeUnit.SECONDS.toNanos(waitS));
    }

    @Test
    void aMessageOnAConnectionThatIsKeptToTheOldOneIsTakenAndDeliveredOnce() throws IOException {
        silentTo(fixture.first, "m1");
        fixture.start();
        final Socket kept = fixture.connect();
        assertEquals(
                202,
                CourierProcessFixture.send(kept, CourierProcessFixture.orderedMessage("m1", "k"))
                        .status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
        fixture.endOldProcess(fixture.startSuccessor(), false);
        final CourierProcessFixture.Answer late =
                CourierProcessFixture.send(kept, CourierProcessFixture.orderedMessage("m2", "k"));
        assertEquals(202, late.status());
        assertTrue(late.head().contains("connection: close"), "and the client is sent to the new one");
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("m3", "k")).status());
        fixture.first.requests.get(0).connection().answer(200, "");
        fixture.await("all of them", () -> fixture.first.ids().size() == 3);
        assertEquals(List.of("m1", "m2", "m3"), fixture.first.ids(), "in the order taken, by whichever process");
    }

    @Test
    void anIdleConnectionIsClosedAndTheOldOneEndsBeforeTheKill() throws IOException, InterruptedException {
        fixture.start();
        final Socket idle = fixture.connect();
        assertEquals(
                202,
                CourierProcessFixture.send(idle, CourierProcessFixture.message("m1", "safe"))
                        .status());
        final Process old = fixture.startSuccessor();
        fixture.endOldProcess(old, false);
        assertEquals(-1, idle.getInputStream().read());
        assertTrue(old.waitFor(STOP_LIMIT_MS, TimeUnit.MILLISECONDS));
    }

    @Test
    void aCallToEitherProcessHoldsForBoth() throws IOException {
        fixture.hasOperatorAddress = true;
        fixture.hosts = CourierProcessFixture.hostEntry("e1", fixture.first, "Ready") + ","
                + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready");
        fixture.start();
        final Process old = fixture.startSuccessor();
        assertEquals("+OK\n", fixture.operatorCommand("OFFLINE e1"), "the new one, which only stands by, was called");
        fixture.await(
                "the old one to know",
                () -> fixture.log.stream()
                                .filter(line -> line.startsWith("by hand: 1"))
                                .count()
                        == 2);
        assertEquals(202, fixture.submit("m1", "safe").status());
        assertEquals(202, fixture.submit("m2", "safe").status());
        fixture.await("their calls", () -> fixture.second.requests.size() == 2);
        fixture.endOldProcess(old, false);
        assertEquals(202, fixture.submit("m3", "safe").status());
        fixture.await("its call", () -> fixture.second.requests.size() == 3);
        assertEquals(0, fixture.first.requests.size());
    }

    @Test
    void filesThatWereLeftBehindDoNotStopAStart() throws IOException {
        final Path state = Files.createDirectories(folder.resolve("state"));
        Files.writeString(state.resolve("owner.lock"), "123");
        Files.writeString(state.resolve("next.lock"), "124");
        final Path torn = state.resolve("leaving-17-1");
        Files.writeString(torn, "torn in the middle of some");
        fixture.start();
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
        fixture.await("the file to go", () -> !Files.exists(torn));
    }

    @Test
    void aSocketThatThePlatformHoldsIsReadFromAndNeverClosed() throws Exception {
        final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocketChannel shared = ServerSocketChannel.open()) {
            shared.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            final EventLoop loop = group.next();
            final Config config = fixture.config();
            final Clock clock = new Clock();
            final ClientServer intake = new ClientServer(config, clock, new MessageService(config, loop, clock));
            loop.submit(() -> {
                        intake.startSweeping(loop);
                        intake.listen(group, shared);
                    })
                    .sync();
            final InetSocketAddress at = (InetSocketAddress) shared.getLocalAddress();
            try (Socket client = new Socket(at.getAddress(), at.getPort())) {
                client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(CourierProcessFixture.TIMEOUT_S));
                assertEquals(
                        200,
                        CourierProcessFixture.send(client, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                                .status());
            }
            assertNull(shared.accept(), "it was accepted already");
            loop.submit(() -> intake.handOver()).sync();
            try (Socket client = new Socket(at.getAddress(), at.getPort())) {
                client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(CourierProcessFixture.TIMEOUT_S));
                assertEquals(
                        200,
                        CourierProcessFixture.send(client, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                                .status(),
                        "nobody waits while the other process is not at the door yet");
            }
            loop.submit(() -> intake.stopAccepting()).sync();
            try (Socket client = new Socket(at.getAddress(), at.getPort());
                    SocketChannel taken = acceptSoon(shared)) {
                assertEquals(
                        client.getLocalPort(),
                        ((InetSocketAddress) taken.getRemoteAddress()).getPort(),
                        "left to whoever accepts next");
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }

    private SocketChannel acceptSoon(final ServerSocketChannel shared) throws IOException {
        final SocketChannel[] taken = new SocketChannel[1];
        fixture.await("the next connection", () -> {
            try {
                taken[0] = taken[0] == null ? shared.accept() : taken[0];
                return taken[0] != null;
            } catch (final IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        return taken[0];
    }
}
