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

/** SIGTERM and a client's bytes, in each order: every request is answered, or was never taken on; no answer is lost. */
final class ShutdownCrossingsTest extends AbstractCourierProcessTest {
    /** Longer than the process listens after SIGTERM. */
    private static final long LISTENS_MS = 700;

    private static void write(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends SIGTERM, and waits until it has had its effect: a client that asked nothing is sent away. */
    private Process terminate() throws IOException {
        try (Socket idle = rig.connect()) {
            final Process ending = rig.terminate();
            assertEquals(-1, idle.getInputStream().read());
            return ending;
        }
    }

    private boolean refusesConnections() {
        try {
            rig.connect().close();
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
        rig.start();
        try (Socket socket = rig.connect()) {
            final String message = Rig.message("m1", "once");
            write(socket, half(message));
            final Process ending = terminate();
            rig.await("the end of listening", this::refusesConnections);
            // Where it ended as soon as it held nothing and had stopped listening, it is gone by now.
            assertFalse(ending.waitFor(200, TimeUnit.MILLISECONDS), "it ended under a client's request");
            write(socket, rest(message));
            final Rig.Answer answer = Rig.read(socket.getInputStream());
            assertEquals(202, answer.status());
            assertTrue(answer.head().contains("connection: close"), answer.head());
            assertEquals(-1, socket.getInputStream().read());
            assertTrue(ending.waitFor(Rig.PATIENCE_S, TimeUnit.SECONDS));
        }
        rig.start();
        rig.await("its delivery, by either process", () -> rig.first.ids().contains("m1"));
        assertEquals(List.of("m1"), rig.first.ids());
    }

    @Test
    void aRequestThatNeverGetsWholeIsRefusedBeforeTheProcessEnds() throws IOException, InterruptedException {
        rig.start();
        final Process ending = terminate();
        try (Socket socket = rig.connect()) {
            write(socket, half(Rig.message("m1", "once")));
            final int status = Rig.read(socket.getInputStream()).status();
            assertTrue(status == 503 || status == 408, "status " + status);
            assertEquals(-1, socket.getInputStream().read());
        }
        assertTrue(ending.waitFor(Rig.PATIENCE_S, TimeUnit.SECONDS));
    }

    @Test
    void requestsBehindOneAnotherAreAllAnsweredAndTheLastAnswerSaysClose() throws IOException, InterruptedException {
        rig.start();
        final List<String> messages =
                List.of(Rig.message("m1", "once"), Rig.message("m2", "once"), Rig.message("m3", "once"));
        final Process ending;
        try (Socket socket = rig.connect()) {
            write(socket, half(messages.get(0)));
            ending = terminate();
            write(socket, rest(messages.get(0)) + messages.get(1) + half(messages.get(2)));
            for (int count = 0; count < 2; count++) {
                final Rig.Answer answer = Rig.read(socket.getInputStream());
                assertEquals(202, answer.status());
                assertFalse(answer.head().contains("connection: close"), "a request is half here: " + answer.head());
            }
            write(socket, rest(messages.get(2)));
            final Rig.Answer last = Rig.read(socket.getInputStream());
            assertEquals(202, last.status());
            assertTrue(last.head().contains("connection: close"), last.head());
            assertEquals(-1, socket.getInputStream().read());
        }
        assertTrue(ending.waitFor(Rig.PATIENCE_S, TimeUnit.SECONDS));
        rig.start();
        rig.await("all three, by either process", () -> rig.first.ids().containsAll(List.of("m1", "m2", "m3")));
        assertEquals(3, rig.first.ids().size());
    }

    @Test
    void anAnswerIsReadThoughItsConnectionEndsOverBytesThatNobodyAskedFor() throws IOException {
        rig.start();
        try (Socket socket = rig.connect()) {
            final String last = Rig.message("m1", "safe").replace("Host:", "Connection: close\r\nHost:");
            try {
                // More than the kernel holds for us: some of it lies unread when the answer is written.
                write(socket, last + "x".repeat(1 << 22));
            } catch (final IOException e) {
                assertTrue(e.getMessage() != null, "a close over unread bytes shows here, or in what is read below");
            }
            assertEquals(202, Rig.read(socket.getInputStream()).status());
            assertEquals(-1, socket.getInputStream().read());
        }
        rig.await("the call", () -> rig.first.ids().contains("m1"));
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
        rig.start();
        final Process ending;
        try (Socket resting = rig.connect()) {
            assertEquals(202, Rig.send(resting, Rig.message("m1", "safe")).status());
            ending = rig.terminate();
            assertEquals(-1, resting.getInputStream().read(), "the resting client is sent away");
            write(resting, Rig.message("crossed", "safe"));
            assertEquals(-1, resting.getInputStream().read());
        }
        assertEquals(202, rig.handIn("again", "safe").status(), "the client sends it once more on a new connection");
        assertTrue(ending.waitFor(Rig.PATIENCE_S, TimeUnit.SECONDS));
        rig.start();
        rig.await("the repeat", () -> rig.first.ids().contains("again"));
        assertFalse(rig.first.ids().contains("crossed"));
    }

    @Test
    void aRequestThatLiesInTheKernelAtSigtermIsAnswered() throws IOException, InterruptedException {
        rig.start();
        try (Socket resting = rig.connect()) {
            assertEquals(202, Rig.send(resting, Rig.message("m1", "safe")).status());
            rig.signal("STOP");
            write(resting, Rig.message("m2", "safe"));
            rig.signal("TERM");
            rig.signal("CONT");
            assertEquals(202, Rig.read(resting.getInputStream()).status());
        }
        rig.await("its delivery", () -> rig.first.ids().contains("m2"));
    }

    @Test
    void connectionsInTheQueueOfTheListeningSocketAreServedBeforeItIsClosed() throws IOException, InterruptedException {
        rig.start();
        terminate();
        rig.signal("STOP");
        final long fromNs = System.nanoTime();
        final int crowd = 50;
        final List<Socket> sockets = new ArrayList<>();
        for (int count = 0; count < crowd; count++) {
            final Socket socket = rig.connect();
            write(socket, Rig.message("m" + count, "safe").replace("dest=7", "dest=" + (count % 5 == 0 ? 7 : 8)));
            sockets.add(socket);
        }
        // The end of listening falls due while the process has no core.
        while (System.nanoTime() - fromNs < TimeUnit.MILLISECONDS.toNanos(LISTENS_MS)) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
        rig.signal("CONT");
        for (final Socket socket : sockets) {
            final int status = Rig.read(socket.getInputStream()).status();
            assertTrue(status == 202 || status == 503 || status == 429, "status " + status);
            socket.close();
        }
    }

    @Test
    void garbageBehindARequestIsRefusedAfterThatRequestHasItsAnswer() throws IOException {
        rig.start();
        try (Socket socket = rig.connect()) {
            write(socket, Rig.message("m1", "safe") + "what is this\r\n\r\n");
            assertEquals(202, Rig.read(socket.getInputStream()).status());
            assertEquals(400, Rig.read(socket.getInputStream()).status());
            assertEquals(-1, socket.getInputStream().read());
        }
        rig.await("the call", () -> rig.first.ids().contains("m1"));
    }

    @Test
    void halfARequestThatCameInOneReadWithAWholeOneIsGivenUpInItsTime() throws IOException {
        rig.start();
        try (Socket socket = rig.connect()) {
            write(socket, Rig.message("m1", "safe") + "POST /safe HTTP/1.1\r\nHo");
            assertEquals(202, Rig.read(socket.getInputStream()).status());
            final long fromNs = System.nanoTime();
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(6));
            assertEquals(408, Rig.read(socket.getInputStream()).status());
            assertTrue(System.nanoTime() - fromNs < TimeUnit.SECONDS.toNanos(6));
        }
    }
}
