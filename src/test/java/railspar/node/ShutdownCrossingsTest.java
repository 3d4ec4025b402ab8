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
 * SIGTERM and a client's bytes in each order: every request is either answered or never accepted, and no response is
 * lost.
 */
final class ShutdownCrossingsTest extends AbstractCourierProcessTest {
    /** Longer than the process keeps listening after SIGTERM. */
    private static final long AFTER_LISTENING_MS = 700;

    private static void write(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends SIGTERM and waits until the process has reacted, which is when it closes an idle connection. */
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

    private static String firstHalf(final String message) {
        return message.substring(0, message.length() / 2);
    }

    private static String secondHalf(final String message) {
        return message.substring(message.length() / 2);
    }

    @Test
    void processWithoutMessagesWaitsForAnIncompleteRequestBeforeItEnds() throws IOException, InterruptedException {
        fixture.start();
        try (Socket socket = fixture.connect()) {
            final String message = CourierProcessFixture.message("m1", "once");
            write(socket, firstHalf(message));
            final Process ending = terminate();
            fixture.await("the end of listening", this::refusesConnections);
            // A process that ended as soon as it had no message and no listener would have ended by now.
            assertFalse(ending.waitFor(200, TimeUnit.MILLISECONDS), "the process ended during a client's request");
            write(socket, secondHalf(message));
            final CourierProcessFixture.Answer answer = CourierProcessFixture.read(socket.getInputStream());
            assertEquals(202, answer.status());
            assertTrue(answer.head().contains("connection: close"), answer.head());
            assertEquals(-1, socket.getInputStream().read());
            assertTrue(ending.waitFor(CourierProcessFixture.TIMEOUT_S, TimeUnit.SECONDS));
        }
        fixture.start();
        fixture.await(
                "the delivery by either process", () -> fixture.first.ids().contains("m1"));
        assertEquals(List.of("m1"), fixture.first.ids());
    }

    @Test
    void incompleteRequestIsRejectedBeforeTheProcessEnds() throws IOException, InterruptedException {
        fixture.start();
        final Process ending = terminate();
        try (Socket socket = fixture.connect()) {
            write(socket, firstHalf(CourierProcessFixture.message("m1", "once")));
            final int status =
                    CourierProcessFixture.read(socket.getInputStream()).status();
            assertTrue(status == 503 || status == 408, "status " + status);
            assertEquals(-1, socket.getInputStream().read());
        }
        assertTrue(ending.waitFor(CourierProcessFixture.TIMEOUT_S, TimeUnit.SECONDS));
    }

    @Test
    void pipelinedRequestsAreAllAnsweredAndOnlyTheLastResponseCloses() throws IOException, InterruptedException {
        fixture.start();
        final List<String> messages = List.of(
                CourierProcessFixture.message("m1", "once"),
                CourierProcessFixture.message("m2", "once"),
                CourierProcessFixture.message("m3", "once"));
        final Process ending;
        try (Socket socket = fixture.connect()) {
            write(socket, firstHalf(messages.get(0)));
            ending = terminate();
            write(socket, secondHalf(messages.get(0)) + messages.get(1) + firstHalf(messages.get(2)));
            for (int count = 0; count < 2; count++) {
                final CourierProcessFixture.Answer answer = CourierProcessFixture.read(socket.getInputStream());
                assertEquals(202, answer.status());
                assertFalse(
                        answer.head().contains("connection: close"),
                        "closes although another request is incomplete: " + answer.head());
            }
            write(socket, secondHalf(messages.get(2)));
            final CourierProcessFixture.Answer last = CourierProcessFixture.read(socket.getInputStream());
            assertEquals(202, last.status());
            assertTrue(last.head().contains("connection: close"), last.head());
            assertEquals(-1, socket.getInputStream().read());
        }
        assertTrue(ending.waitFor(CourierProcessFixture.TIMEOUT_S, TimeUnit.SECONDS));
        fixture.start();
        fixture.await(
                "all three deliveries by either process",
                () -> fixture.first.ids().containsAll(List.of("m1", "m2", "m3")));
        assertEquals(3, fixture.first.ids().size());
    }

    @Test
    void responseIsReceivedAlthoughTheConnectionClosesOverUnreadBytes() throws IOException {
        fixture.start();
        try (Socket socket = fixture.connect()) {
            final String last =
                    CourierProcessFixture.message("m1", "safe").replace("Host:", "Connection: close\r\nHost:");
            try {
                // More than the kernel buffers, so that some bytes are still unread when the response is written.
                write(socket, last + "x".repeat(1 << 22));
            } catch (final IOException e) {
                assertTrue(e.getMessage() != null, "a close over unread bytes shows here or in the reads below");
            }
            assertEquals(
                    202, CourierProcessFixture.read(socket.getInputStream()).status());
            assertEquals(-1, socket.getInputStream().read());
        }
        fixture.await("the call", () -> fixture.first.ids().contains("m1"));
    }

    /** The program relies on the default: all of its sockets, connected or accepted, are of this class. */
    @Test
    void socketsDisableNaglesAlgorithm() {
        final NioSocketChannel channel = new NioSocketChannel();
        assertTrue(channel.config().isTcpNoDelay());
        channel.unsafe().closeForcibly();
    }

    @Test
    void requestSentAfterTheCourierClosedItsConnectionIsNotAccepted() throws IOException, InterruptedException {
        fixture.start();
        final Process ending;
        try (Socket idle = fixture.connect()) {
            assertEquals(
                    202,
                    CourierProcessFixture.send(idle, CourierProcessFixture.message("m1", "safe"))
                            .status());
            ending = fixture.terminate();
            assertEquals(-1, idle.getInputStream().read(), "the idle connection is closed");
            write(idle, CourierProcessFixture.message("crossed", "safe"));
            assertEquals(-1, idle.getInputStream().read());
        }
        assertEquals(202, fixture.submit("again", "safe").status(), "the client retries on a new connection");
        assertTrue(ending.waitFor(CourierProcessFixture.TIMEOUT_S, TimeUnit.SECONDS));
        fixture.start();
        fixture.await("the retried message", () -> fixture.first.ids().contains("again"));
        assertFalse(fixture.first.ids().contains("crossed"));
    }

    @Test
    void requestInTheKernelBufferAtSigtermIsAnswered() throws IOException, InterruptedException {
        fixture.start();
        try (Socket idle = fixture.connect()) {
            assertEquals(
                    202,
                    CourierProcessFixture.send(idle, CourierProcessFixture.message("m1", "safe"))
                            .status());
            fixture.signal("STOP");
            write(idle, CourierProcessFixture.message("m2", "safe"));
            fixture.signal("TERM");
            fixture.signal("CONT");
            assertEquals(202, CourierProcessFixture.read(idle.getInputStream()).status());
        }
        fixture.await("the delivery", () -> fixture.first.ids().contains("m2"));
    }

    @Test
    void connectionsInTheAcceptQueueAreServedBeforeTheListenerCloses() throws IOException, InterruptedException {
        fixture.start();
        terminate();
        fixture.signal("STOP");
        final long startNs = System.nanoTime();
        final int connections = 50;
        final List<Socket> sockets = new ArrayList<>();
        for (int count = 0; count < connections; count++) {
            final Socket socket = fixture.connect();
            write(
                    socket,
                    CourierProcessFixture.message("m" + count, "safe")
                            .replace("dest=7", "dest=" + (count % 5 == 0 ? 7 : 8)));
            sockets.add(socket);
        }
        // The time to stop listening passes while the process is suspended.
        while (System.nanoTime() - startNs < TimeUnit.MILLISECONDS.toNanos(AFTER_LISTENING_MS)) {
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
    void garbageAfterARequestIsRejectedAfterTheResponseToThatRequest() throws IOException {
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
    void incompleteRequestReadTogetherWithAWholeOneTimesOut() throws IOException {
        fixture.start();
        try (Socket socket = fixture.connect()) {
            write(socket, CourierProcessFixture.message("m1", "safe") + "POST /safe HTTP/1.1\r\nHo");
            assertEquals(
                    202, CourierProcessFixture.read(socket.getInputStream()).status());
            final long startNs = System.nanoTime();
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(6));
            assertEquals(
                    408, CourierProcessFixture.read(socket.getInputStream()).status());
            assertTrue(System.nanoTime() - startNs < TimeUnit.SECONDS.toNanos(6));
        }
    }
}
