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
        silentTo(rig.first, "m1");
        rig.start();
        assertEquals(202, rig.send(Rig.inTurn("m1", "k")).status());
        rig.await("the call", () -> rig.first.requests.size() == 1);
        final Process old = rig.startBeside();
        rig.replace(old, false);
        assertEquals(202, rig.send(Rig.inTurn("m2", "k")).status());
        assertEquals(202, rig.handIn("m3", "safe").status());
        rig.await("another one's call", () -> rig.first.ids().contains("m3"));
        assertEquals(List.of("m1", "m3"), rig.first.ids(), "the key is taken");
        rig.first.requests.get(0).connection().answer(200, "");
        rig.await("its turn", () -> rig.first.ids().contains("m2"));
        assertEquals(1, rig.first.ids().stream().filter("m1"::equals).count());
        assertTrue(old.waitFor(STOP_LIMIT_MS, TimeUnit.MILLISECONDS), "with nothing out, the old one ends");
        assertTrue(rig.notices.isEmpty(), rig.notices.toString());
    }

    @Test
    void whatWasOutWhenTheOldOneIsKilledMayHaveRun() throws IOException, InterruptedException {
        rig.first.script((request, connection) -> {});
        rig.start();
        assertEquals(202, rig.handIn("m1", "once").status());
        assertEquals(202, rig.handIn("m2", "safe").status());
        rig.await("the calls", () -> rig.first.requests.size() == 2);
        final Process old = rig.startBeside();
        rig.first.script((request, connection) -> connection.accept(request));
        rig.replace(old, true);
        rig.await("its notice", () -> rig.noticed("m1", "undeliverable"));
        rig.await("the safe one's second call", () -> rig.first.ids().size() == 3);
        assertEquals(List.of("m1", "m2", "m2"), rig.first.ids());
    }

    @Test
    void whatIsOutWhenTheOldOneIsKilledWhileItLeavesMayHaveRun() throws IOException, InterruptedException {
        rig.mgmt = true;
        rig.first.script((request, connection) -> {});
        rig.start();
        assertEquals(202, rig.handIn("m1", "once").status());
        // They travel on connections of their own: the order in which they are read is forced, not hoped for.
        rig.await("the first call", () -> rig.first.requests.size() == 1);
        assertEquals(202, rig.handIn("m2", "safe").status());
        rig.await("the calls", () -> rig.first.requests.size() == 2);
        final Process old = rig.startBeside();
        rig.replace(old, false);
        assertTrue(rig.notices.isEmpty(), "they are still out");
        assertEquals(2, rig.first.requests.size());
        rig.first.script((request, connection) -> connection.accept(request));
        old.destroyForcibly();
        rig.await("its notice", () -> rig.noticed("m1", "undeliverable"));
        rig.awaitFigure("results.safe.succeeded", 1);
        rig.killAndRestart();
        assertEquals(202, rig.handIn("m3", "safe").status());
        rig.await("m3", () -> rig.first.ids().contains("m3"));
        assertEquals(List.of("m1", "m2", "m2", "m3"), rig.first.ids(), "a third process knows all of it");
    }

    @Test
    void aWaitThatTheOldOneWasToldBindsTheNewOne() throws IOException {
        final long waitS = 4;
        rig.first.script((request, connection) -> connection.answer(429, "", "Retry-After: " + waitS));
        rig.start();
        assertEquals(202, rig.handIn("m1", "safe").status());
        rig.await("the refusal", () -> rig.first.requests.size() == 1);
        final long toldNs = rig.first.requests.get(0).atNs();
        rig.first.script((request, connection) -> connection.accept(request));
        rig.replace(rig.startBeside(), false);
        assertEquals(202, rig.handIn("m2", "safe").status());
        rig.await("the next call", () -> rig.first.requests.size() > 1);
        assertTrue(rig.first.requests.get(1).atNs() - toldNs >= TimeUnit.SECONDS.toNanos(waitS));
    }

    @Test
    void aMessageOnAConnectionThatIsKeptToTheOldOneIsTakenAndDeliveredOnce() throws IOException {
        silentTo(rig.first, "m1");
        rig.start();
        final Socket kept = rig.connect();
        assertEquals(202, Rig.send(kept, Rig.inTurn("m1", "k")).status());
        rig.await("the call", () -> rig.first.requests.size() == 1);
        rig.replace(rig.startBeside(), false);
        final Rig.Answer late = Rig.send(kept, Rig.inTurn("m2", "k"));
        assertEquals(202, late.status());
        assertTrue(late.head().contains("connection: close"), "and the client is sent to the new one");
        assertEquals(202, rig.send(Rig.inTurn("m3", "k")).status());
        rig.first.requests.get(0).connection().answer(200, "");
        rig.await("all of them", () -> rig.first.ids().size() == 3);
        assertEquals(List.of("m1", "m2", "m3"), rig.first.ids(), "in the order taken, by whichever process");
    }

    @Test
    void anIdleConnectionIsClosedAndTheOldOneEndsBeforeTheKill() throws IOException, InterruptedException {
        rig.start();
        final Socket idle = rig.connect();
        assertEquals(202, Rig.send(idle, Rig.message("m1", "safe")).status());
        final Process old = rig.startBeside();
        rig.replace(old, false);
        assertEquals(-1, idle.getInputStream().read());
        assertTrue(old.waitFor(STOP_LIMIT_MS, TimeUnit.MILLISECONDS));
    }

    @Test
    void aCallToEitherProcessHoldsForBoth() throws IOException {
        rig.mgmt = true;
        rig.hosts = Rig.host("e1", rig.first, "Ready") + "," + Rig.host("e2", rig.second, "Ready");
        rig.start();
        final Process old = rig.startBeside();
        assertEquals("+OK\n", rig.call("OFFLINE e1"), "the new one, which only stands by, was called");
        rig.await(
                "the old one to know",
                () -> rig.log.stream()
                                .filter(line -> line.startsWith("by hand: 1"))
                                .count()
                        == 2);
        assertEquals(202, rig.handIn("m1", "safe").status());
        assertEquals(202, rig.handIn("m2", "safe").status());
        rig.await("their calls", () -> rig.second.requests.size() == 2);
        rig.replace(old, false);
        assertEquals(202, rig.handIn("m3", "safe").status());
        rig.await("its call", () -> rig.second.requests.size() == 3);
        assertEquals(0, rig.first.requests.size());
    }

    @Test
    void filesThatWereLeftBehindDoNotStopAStart() throws IOException {
        final Path state = Files.createDirectories(folder.resolve("state"));
        Files.writeString(state.resolve("owner.lock"), "123");
        Files.writeString(state.resolve("next.lock"), "124");
        final Path torn = state.resolve("leaving-17-1");
        Files.writeString(torn, "torn in the middle of some");
        rig.start();
        assertEquals(202, rig.handIn("m1", "safe").status());
        rig.await("the call", () -> rig.first.requests.size() == 1);
        rig.await("the file to go", () -> !Files.exists(torn));
    }

    @Test
    void aSocketThatThePlatformHoldsIsReadFromAndNeverClosed() throws Exception {
        final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocketChannel shared = ServerSocketChannel.open()) {
            shared.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            final EventLoop loop = group.next();
            final Config config = rig.config();
            final Clock clock = new Clock();
            final ClientServer intake = new ClientServer(config, clock, new MessageService(config, loop, clock));
            loop.submit(() -> {
                        intake.startSweeping(loop);
                        intake.listen(group, shared);
                    })
                    .sync();
            final InetSocketAddress at = (InetSocketAddress) shared.getLocalAddress();
            try (Socket client = new Socket(at.getAddress(), at.getPort())) {
                client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Rig.PATIENCE_S));
                assertEquals(
                        200,
                        Rig.send(client, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status());
            }
            assertNull(shared.accept(), "it was accepted already");
            loop.submit(() -> intake.handOver()).sync();
            try (Socket client = new Socket(at.getAddress(), at.getPort())) {
                client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Rig.PATIENCE_S));
                assertEquals(
                        200,
                        Rig.send(client, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status(),
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
        rig.await("the next connection", () -> {
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
