package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/**
 * SIGTERM and a client's bytes, in each order: every request is answered, or was never taken on; no answer is lost.
 */
final class ShutdownCrossingsTest extends AbstractCourierProcessTest {
    /** Longer than the process listens after SIGTERM. */
    private static final long LISTENS_MS = 700;

    private static void write(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends SIGTERM, and waits until it has had its effect: a client that asked nothing is sent away. */
    private Process terminate() throws IOException {
        try (Socket idle = fixture.connect()) {
            final Process ending = fixture.terminate();
            assertEquals(-1, idle.getInputStream().read());
            return ending;
        }
    }

    private boolean refusesConnections() {
        try {
            fixture.connect().close();
            return false;
        } catch (final IOException e) {
            return true;
        }
    }

    private static String half(final String message) {
        return message.substring(0, message.length() / 2);
    }

    private static String rest(final String message) {
        return message.substring(message.length() / 2);
    }

    @Test
    void aProcessThatHoldsNoMessageWaitsForAClientThatIsHalfWayThroughOne() throws IOException, InterruptedException {
        fixture.start();
        try (Socket socket = fixture.connect()) {
            final String message = CourierProcessFixture.message("m1", "once");
            write(socket, half(message));
            final Process ending = terminate();
            fixture.await("the end of listening", this::refusesConnections);
            // Where it ended as soon as it held nothing and had stopped listening, it is gone by now.
            assertFalse(ending.waitFor(200, TimeUnit.MILLISECONDS), "it ended under a client's request");
            write(socket, rest(message));
            final CourierProcessFixture.Answer answer = CourierProcessFixture.read(socket.getInputStream());
            assertEquals(202, answer.status());
            assertTrue(answer.head().contains("connection: close"), answer.head());
            assertEquals(-1, socket.getInputStream().read());
            assertTrue(ending.waitFor(CourierProcessFixture.TIMEOUT_S, TimeUnit.SECONDS));
        }
        fixture.start();
        fixture.await(
                "its delivery, by either process", () -> fixture.first.ids().contains("m1"));
        assertEquals(List.of("m1"), fixture.first.ids());
    }

    @Test
    void aRequestThatNeverGetsWholeIsRefusedBeforeTheProcessEnds() throws IOException, InterruptedException {
        fixture.start();
        final Process ending = terminate();
        try (Socket socket = fixture.connect()) {
            write(socket, half(CourierProcessFixture.message("m1", "once")));
            final int status =
                    CourierProcessFixture.read(socket.getInputStream()).status();
            assertTrue(status == 503 || status == 408, "status " + status);
            assertEquals(-1, socket.getInputStream().read());
        }
        assertTrue(ending.waitFor(CourierProcessFixture.TIMEOUT_S, TimeUnit.SECONDS));
    }

    @Test
    void requestsBehindOneAnotherAreAllAnsweredAndTheLastAnswerSaysClose() throws IOException, InterruptedException {
        fixture.start();
        final List<String> messages = List.of(
                CourierProcessFixture.message("m1", "once"),
                CourierProcessFixture.message("m2", "once"),
                CourierProcessFixture.message("m3", "once"));
        final Process ending;
        try (Socket socket = fixture.connect()) {
            write(socket, half(messages.get(0)));
            ending = terminate();
            write(socket, rest(messages.get(0)) + messages.get(1) + half(messages.get(2)));
            for (int count = 0; count < 2; count++) {
                final CourierProcessFixture.Answer answer = CourierProcessFixture.read(socket.getInputStream());
                assertEquals(202, answer.status());
                assertFalse(answer.head().contains("connection: close"), "a request is half here: " + answer.head());
            }
            write(socket, rest(messages.get(2)));
            final CourierProcessFixture.Answer last = CourierProcessFixture.read(socket.getInputStream());
            assertEquals(202, last.status());
            assertTrue(last.head().contains("connection: close"), last.head());
            assertEquals(-1, socket.getInputStream().read());
        }
        assertTrue(ending.waitFor(CourierProcessFixture.TIMEOUT_S, TimeUnit.SECONDS));
        fixture.start();
        fixture.await("all three, by either process", () -> fixture.first.ids().containsAll(List.of("m1", "m2", "m3")));
        assertEquals(3, fixture.first.ids().size());
    }

    @Test
    void anAnswerIsReadThoughItsConnectionEndsOverBytesThatNobodyAskedFor() throws IOException {
        fixture.start();
        try (Socket socket = fixture.connect()) {
            final String last =
                    CourierProcessFixture.message("m1", "safe").replace("Host:", "Connection: close\r\nHost:");
            try {
                // More than the kernel holds for us: some of it lies unread when the answer is written.
                write(socket, last + "x".repeat(1 << 22));
            } catch (final IOException e) {
                assertTrue(e.getMessage() != null, "a close over unread bytes shows here, or in what is read below");
            }
            assertEquals(
                    202, CourierProcessFixture.read(socket.getInputStream()).status());
            assertEquals(-1, socket.getInputStream().read());
        }
        fixture.await("the call", () -> fixture.first.ids().contains("m1"));
    }

    /** The program sets it nowhere: each of its sockets, made or accepted, is one of these. */
    @Test
    void noSocketHoldsSmallWritesBack() {
        final NioSocketChannel channel = new NioSocketChannel();
        assertTrue(channel.config().isTcpNoDelay());
        channel.unsafe().closeForcibly();
    }

    @Test
    void aRequestThatComesBehindOurEndIsNotTakenOn() throws IOException, InterruptedException {
        fixture.start();
        final Process ending;
        try (Socket resting = fixture.connect()) {
            assertEquals(
                    202,
                    CourierProcessFixture.send(resting, CourierProcessFixture.message("m1", "safe"))
                            .status());
            ending = fixture.terminate();
            assertEquals(-1, resting.getInputStream().read(), "the resting client is sent away");
            write(resting, CourierProcessFixture.message("crossed", "safe"));
            assertEquals(-1, resting.getInputStream().read());
        }
        assertEquals(
                202, fixture.submit("again", "safe").status(), "the client sends it once more on a new connection");
        assertTrue(ending.waitFor(CourierProcessFixture.TIMEOUT_S, TimeUnit.SECONDS));
        fixture.start();
        fixture.await("the repeat", () -> fixture.first.ids().contains("again"));
        assertFalse(fixture.first.ids().contains("crossed"));
    }

    @Test
    void aRequestThatLiesInTheKernelAtSigtermIsAnswered() throws IOException, InterruptedException {
        fixture.start();
        try (Socket resting = fixture.connect()) {
            assertEquals(
                    202,
                    CourierProcessFixture.send(resting, CourierProcessFixture.message("m1", "safe"))
                            .status());
            fixture.signal("STOP");
            write(resting, CourierProcessFixture.message("m2", "safe"));
            fixture.signal("TERM");
            fixture.signal("CONT");
            assertEquals(
                    202, CourierProcessFixture.read(resting.getInputStream()).status());
        }
        fixture.await("its delivery", () -> fixture.first.ids().contains("m2"));
    }

    @Test
    void connectionsInTheQueueOfTheListeningSocketAreServedBeforeItIsClosed() throws IOException, InterruptedException {
        fixture.start();
        terminate();
        fixture.signal("STOP");
        final long fromNs = System.nanoTime();
        final int crowd = 50;
        final List<Socket> sockets = new ArrayList<>();
        for (int count = 0; count < crowd; count++) {
            final Socket socket = fixture.connect();
            write(
                    socket,
                    CourierProcessFixture.message("m" + count, "safe")
                            .replace("dest=7", "dest=" + (count % 5 == 0 ? 7 : 8)));
            sockets.add(socket);
        }
        // The end of listening falls due while the process has no core.
        while (System.nanoTime() - fromNs < TimeUnit.MILLISECONDS.toNanos(LISTENS_MS)) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
        fixture.signal("CONT");
        for (final Socket socket : sockets) {
            final int status =
                    CourierProcessFixture.read(socket.getInputStream()).status();
            assertTrue(status == 202 || status == 503 || status == 429, "status " + status);
            socket.close();
        }
    }

    @Test
    void garbageBehindARequestIsRefusedAfterThatRequestHasItsAnswer() throws IOException {
        fixture.start();
        try (Socket socket = fixture.connect()) {
            write(socket, CourierProcessFixture.message("m1", "safe") + "what is this\r\n\r\n");
            assertEquals(
                    202, CourierProcessFixture.read(socket.getInputStream()).status());
            assertEquals(
                    400, CourierProcessFixture.read(socket.getInputStream()).status());
            assertEquals(-1, socket.getInputStream().read());
        }
        fixture.await("the call", () -> fixture.first.ids().contains("m1"));
    }

    @Test
    void halfARequestThatCameInOneReadWithAWholeOneIsGivenUpInItsTime() throws IOException {
        fixture.start();
        try (Socket socket = fixture.connect()) {
            write(socket, CourierProcessFixture.message("m1", "safe") + "POST /safe HTTP/1.1\r\nHo");
            assertEquals(
                    202, CourierProcessFixture.read(socket.getInputStream()).status());
            final long fromNs = System.nanoTime();
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(6));
            assertEquals(
                    408, CourierProcessFixture.read(socket.getInputStream()).status());
            assertTrue(System.nanoTime() - fromNs < TimeUnit.SECONDS.toNanos(6));
        }
    }
}
