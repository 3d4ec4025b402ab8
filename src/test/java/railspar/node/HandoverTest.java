package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A process takes over from one that still runs: to clients and endpoints the two processes are one courier. */
final class HandoverTest extends AbstractCourierProcessTest {
    private static final long STOP_LIMIT_MS = 3700;

    private int oldOperatorPort;

    private static void neverAnswer(final FakeServer server, final String id) {
        server.script((request, connection) -> {
            if (!request.ids().contains(id)) {
                connection.accept(request);
            }
        });
    }

    @Test
    void callInFlightContinuesAndTheNextMessageOfItsKeyWaitsInTheSuccessor() throws IOException, InterruptedException {
        neverAnswer(fixture.first, "m1");
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
        fixture.await(
                "the call of the message without a key",
                () -> fixture.first.ids().contains("m3"));
        assertEquals(List.of("m1", "m3"), fixture.first.ids(), "the key has a call in flight");
        fixture.first.requests.get(0).connection().answer(200, "");
        fixture.await("the next call of the key", () -> fixture.first.ids().contains("m2"));
        assertEquals(1, fixture.first.ids().stream().filter("m1"::equals).count());
        assertTrue(old.waitFor(STOP_LIMIT_MS, TimeUnit.MILLISECONDS), "the old process ends once no call is in flight");
        assertTrue(fixture.notices.isEmpty(), fixture.notices.toString());
    }

    @Test
    void callsInFlightWhenTheOldProcessIsKilledCountAsPossiblyDelivered() throws IOException, InterruptedException {
        fixture.first.script((request, connection) -> {});
        fixture.start();
        assertEquals(202, fixture.submit("m1", "once").status());
        assertEquals(202, fixture.submit("m2", "safe").status());
        fixture.await("the calls", () -> fixture.first.requests.size() == 2);
        final Process old = fixture.startSuccessor();
        fixture.first.script((request, connection) -> connection.accept(request));
        fixture.endOldProcess(old, true);
        fixture.await("the notice", () -> fixture.hasNotice("m1", "undeliverable"));
        fixture.await(
                "the second call of the safe message", () -> fixture.first.ids().size() == 3);
        assertEquals(List.of("m1", "m2", "m2"), fixture.first.ids());
    }

    @Test
    void callsInFlightWhenTheOldProcessIsKilledDuringHandoverCountAsPossiblyDelivered()
            throws IOException, InterruptedException {
        fixture.hasOperatorAddress = true;
        fixture.first.script((request, connection) -> {});
        fixture.start();
        assertEquals(202, fixture.submit("m1", "once").status());
        // The calls use separate connections; waiting for the first call fixes the order in which they are read.
        fixture.await("the first call", () -> fixture.first.requests.size() == 1);
        assertEquals(202, fixture.submit("m2", "safe").status());
        fixture.await("the calls", () -> fixture.first.requests.size() == 2);
        final Process old = fixture.startSuccessor();
        fixture.endOldProcess(old, false);
        assertTrue(fixture.notices.isEmpty(), "the calls are still in flight");
        assertEquals(2, fixture.first.requests.size());
        fixture.first.script((request, connection) -> connection.accept(request));
        old.destroyForcibly();
        fixture.await("the notice", () -> fixture.hasNotice("m1", "undeliverable"));
        fixture.awaitMetric("results.safe.succeeded", 1);
        fixture.killAndRestart();
        assertEquals(202, fixture.submit("m3", "safe").status());
        fixture.await("m3", () -> fixture.first.ids().contains("m3"));
        assertEquals(
                List.of("m1", "m2", "m2", "m3"),
                fixture.first.ids(),
                "a third process knows the state of all messages");
    }

    @Test
    void retryAfterReceivedByTheOldProcessAppliesToTheSuccessor() throws IOException {
        final long retryAfterS = 4;
        fixture.first.script((request, connection) -> connection.answer(429, "", "Retry-After: " + retryAfterS));
        fixture.start();
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the rejected call", () -> fixture.first.requests.size() == 1);
        final long rejectedNs = fixture.first.requests.get(0).atNs();
        fixture.first.script((request, connection) -> connection.accept(request));
        fixture.endOldProcess(fixture.startSuccessor(), false);
        assertEquals(202, fixture.submit("m2", "safe").status());
        fixture.await("the next call", () -> fixture.first.requests.size() > 1);
        assertTrue(fixture.first.requests.get(1).atNs() - rejectedNs >= TimeUnit.SECONDS.toNanos(retryAfterS));
    }

    @Test
    void messageOnAConnectionKeptToTheOldProcessIsAcceptedAndDeliveredOnce() throws IOException {
        neverAnswer(fixture.first, "m1");
        fixture.start();
        final Socket kept = fixture.connect();
        assertEquals(
                202,
                CourierProcessFixture.send(kept, CourierProcessFixture.orderedMessage("m1", "k"))
                        .status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
        fixture.endOldProcess(fixture.startSuccessor(), false);
        final CourierProcessFixture.Answer lateAnswer =
                CourierProcessFixture.send(kept, CourierProcessFixture.orderedMessage("m2", "k"));
        assertEquals(202, lateAnswer.status());
        assertTrue(
                lateAnswer.head().contains("connection: close"),
                "the response closes the connection, so the client moves to the successor");
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("m3", "k")).status());
        fixture.first.requests.get(0).connection().answer(200, "");
        fixture.await("all three deliveries", () -> fixture.first.ids().size() == 3);
        assertEquals(List.of("m1", "m2", "m3"), fixture.first.ids(), "in the order of acceptance, by either process");
    }

    private static String briefMessage(final String id) {
        return CourierProcessFixture.message(id, "safe").replace("X-Timeout-Ms: 20000", "X-Timeout-Ms: 2000");
    }

    /** A new process whose agent says nothing: discovery is down. */
    private Process startSuccessorWithSilentDiscovery() throws IOException {
        fixture.hasOperatorAddress = true;
        fixture.discovery = "pushed";
        fixture.start();
        oldOperatorPort = fixture.operatorPort();
        fixture.firstWatchLine = "";
        return fixture.startSuccessor();
    }

    private boolean isHealthy(final int operatorPort) {
        try {
            return fixture.operatorCommand(operatorPort, "HEALTH").startsWith("+OK");
        } catch (final IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** A connection that the process has accepted. */
    private Socket connectedToTheOldProcess() throws IOException {
        final Socket socket = fixture.connect();
        assertEquals(
                200,
                CourierProcessFixture.send(socket, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                        .status());
        return socket;
    }

    private void assertDelivered(final String id) {
        fixture.await(
                "the end of " + id,
                () -> fixture.first.ids().contains(id)
                        || fixture.notices.stream().anyMatch(line -> line.contains(id)));
        assertEquals(List.of(), fixture.notices);
    }

    /** Guards against a successor that is healthy, and so gets its predecessor ended, before it can serve. */
    @Test
    void messagesAreDeliveredInTimeWhenTheProcessIsReplacedWhileDiscoveryIsDown() throws IOException {
        final Process old = startSuccessorWithSilentDiscovery();
        fixture.await("the successor to be healthy", () -> isHealthy(fixture.operatorPort()));
        final Socket kept = connectedToTheOldProcess();
        old.destroy();
        assertEquals(202, CourierProcessFixture.send(kept, briefMessage("m1")).status());
        assertDelivered("m1");
    }

    /** Guards against a predecessor that stops deciding although its successor is not ready. */
    @Test
    void theOldProcessServesUntilASuccessorThatWaitsForDiscoveryIsReady() throws IOException {
        final Process old = startSuccessorWithSilentDiscovery();
        final Socket kept = connectedToTheOldProcess();
        old.destroy();
        fixture.await("the signal to be handled", () -> !isHealthy(oldOperatorPort));
        assertEquals(202, CourierProcessFixture.send(kept, briefMessage("m1")).status());
        assertDelivered("m1");
    }

    /** Guards against a drain that is forgotten when the process that stood by begins to serve. */
    @Test
    void aStandbyProcessThatWasDrainedIsNotHealthyAfterItsTakeover() throws IOException {
        fixture.hasOperatorAddress = true;
        fixture.start();
        final Process old = fixture.startSuccessor();
        assertEquals("+OK\n", fixture.operatorCommand("LEAVE"));
        fixture.endOldProcess(old, false);
        assertFalse(isHealthy(fixture.operatorPort()));
        assertEquals("+OK\n", fixture.operatorCommand("JOIN"));
        assertTrue(isHealthy(fixture.operatorPort()));
    }

    @Test
    void idleConnectionIsClosedAndTheOldProcessEndsBeforeSigkill() throws IOException, InterruptedException {
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
    void operatorCommandToEitherProcessAppliesToBoth() throws IOException {
        fixture.hasOperatorAddress = true;
        fixture.hosts = CourierProcessFixture.hostEntry("e1", fixture.first, "Ready") + ","
                + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready");
        fixture.start();
        final Process old = fixture.startSuccessor();
        assertEquals("+OK\n", fixture.operatorCommand("OFFLINE e1"), "the command went to the standby process");
        fixture.await(
                "the override in the old process",
                () -> fixture.log.stream()
                                .filter(line -> line.startsWith("by hand: 1"))
                                .count()
                        == 2);
        assertEquals(202, fixture.submit("m1", "safe").status());
        assertEquals(202, fixture.submit("m2", "safe").status());
        fixture.await("the two calls", () -> fixture.second.requests.size() == 2);
        fixture.endOldProcess(old, false);
        assertEquals(202, fixture.submit("m3", "safe").status());
        fixture.await("the third call", () -> fixture.second.requests.size() == 3);
        assertEquals(0, fixture.first.requests.size());
    }

    @Test
    void leftoverLockAndHandoverFilesDoNotPreventAStart() throws IOException {
        final Path state = Files.createDirectories(folder.resolve("state"));
        Files.writeString(state.resolve("owner.lock"), "123");
        Files.writeString(state.resolve("next.lock"), "124");
        final Path tornFile = state.resolve("leaving-17-1");
        Files.writeString(tornFile, "torn in the middle of some");
        fixture.start();
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
        fixture.await("the deletion of the file", () -> !Files.exists(tornFile));
    }

    @Test
    void inheritedListenerIsAcceptedFromAndNeverClosed() throws Exception {
        final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocketChannel shared = ServerSocketChannel.open()) {
            shared.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            final EventLoop loop = group.next();
            final Config config = fixture.config();
            final Clock clock = new Clock();
            final ClientServer clientServer = new ClientServer(config, clock, new MessageService(config, loop, clock));
            loop.submit(() -> {
                        clientServer.startSweeping(loop);
                        clientServer.listen(group, shared);
                    })
                    .sync();
            final InetSocketAddress address = (InetSocketAddress) shared.getLocalAddress();
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(CourierProcessFixture.TIMEOUT_S));
                assertEquals(
                        200,
                        CourierProcessFixture.send(client, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                                .status());
            }
            assertNull(shared.accept(), "the connection was accepted already");
            loop.submit(() -> clientServer.handOver()).sync();
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(CourierProcessFixture.TIMEOUT_S));
                assertEquals(
                        200,
                        CourierProcessFixture.send(client, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                                .status(),
                        "a client is served while the successor does not accept yet");
            }
            loop.submit(() -> clientServer.stopAccepting()).sync();
            try (Socket client = new Socket(address.getAddress(), address.getPort());
                    SocketChannel accepted = acceptNext(shared)) {
                assertEquals(
                        client.getLocalPort(),
                        ((InetSocketAddress) accepted.getRemoteAddress()).getPort(),
                        "the connection is left to the process that accepts next");
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }

    private SocketChannel acceptNext(final ServerSocketChannel shared) throws IOException {
        final SocketChannel[] accepted = new SocketChannel[1];
        fixture.await("the next connection", () -> {
            try {
                accepted[0] = accepted[0] == null ? shared.accept() : accepted[0];
                return accepted[0] != null;
            } catch (final IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        return accepted[0];
    }

    private static String listOfDestinations(final String address, final int destinations) {
        final List<String> entries = new ArrayList<>();
        for (int number = 0; number < 2 * destinations; number++) {
            entries.add(CourierProcessFixture.hostEntry("s-%08x".formatted(number), address, "Ready")
                    .replace("\"block\":7", "\"block\":" + (100 + number / 2)));
        }
        return String.join(",", entries);
    }

    private long bytesInStateFolder(final String prefix) throws IOException {
        long bytes = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder.resolve("state"), prefix + "*")) {
            for (final Path file : files) {
                bytes += Files.size(file);
            }
        }
        return bytes;
    }

    /** Guards against a handover file that grows with the list and the classes beyond the limit of the folder. */
    @Test
    void handoverFileStaysWithinItsShareOfTheDiskHoweverMuchWasLearned() throws IOException, InterruptedException {
        final int destinations = 600;
        final int megabyte = 1_000_000;
        fixture.diskMb = 1;
        fixture.maxOpen = 1_000_000;
        fixture.hosts = CourierProcessFixture.hostEntry("e1", fixture.second, "Ready") + ","
                + listOfDestinations(fixture.first.address(), destinations);
        neverAnswer(fixture.second, "pending");
        fixture.start();
        try (Socket client = fixture.connect()) {
            for (int number = 0; number < destinations; number++) {
                final String message =
                        CourierProcessFixture.message("m" + number, "safe").replace("dest=7", "dest=" + (100 + number));
                assertEquals(202, CourierProcessFixture.send(client, message).status());
            }
        }
        fixture.await("the deliveries", () -> fixture.first.ids().size() == destinations);
        assertEquals(202, fixture.submit("pending", "once").status());
        fixture.await("the call that keeps the old process", () -> fixture.second.requests.size() == 1);
        final Process old = fixture.startSuccessor();
        fixture.endOldProcess(old, false);
        assertTrue(old.isAlive());
        final long fileBytes = bytesInStateFolder(HandoverWriter.FILE_PREFIX);
        assertTrue(fileBytes > 0 && fileBytes <= 0.15 * megabyte, "the handover file holds " + fileBytes + " bytes");
        assertTrue(bytesInStateFolder("") <= megabyte);
        assertEquals(202, fixture.submit("after", "safe").status());
        fixture.await("the next call", () -> fixture.second.ids().contains("after"));
    }
}
