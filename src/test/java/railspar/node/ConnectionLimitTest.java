package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Clients that hold all allowed connections: requests that have begun get an answer, and so do other clients. */
final class ConnectionLimitTest extends AbstractCourierProcessTest {
    private static final int SOCKETS = 256;
    /** As many connections as the courier allows at that number of descriptors. */
    private static final int ALLOWED = 115;

    private static final int REQUEST_TIMEOUT = 408;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long WRITE_INTERVAL_MS = 50;
    private static final Set<Integer> ANSWERS = Set.of(202, REQUEST_TIMEOUT, SERVICE_UNAVAILABLE);

    private final List<Socket> peers = new ArrayList<>();

    @BeforeEach
    void configure() {
        fixture.sockets = SOCKETS;
        fixture.maxOpen = 1_000_000;
    }

    private static void write(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void connectPeers(final int count, final String text) throws IOException {
        for (int index = 0; index < count; index++) {
            final Socket peer = fixture.connect();
            peers.add(peer);
            write(peer, text.replace("m-id", "m" + index));
        }
    }

    private void closePeers() throws IOException {
        for (final Socket peer : peers) {
            peer.close();
        }
    }

    /** Guards against a connection closed without an answer, to make room, after a part of its request was read. */
    @Test
    void requestThatHasBegunIsAnsweredThoughRoomIsMadeForOtherConnections() throws IOException {
        fixture.start();
        final String message = CourierProcessFixture.message("m-id", "safe");
        connectPeers(ALLOWED, message.substring(0, message.length() - 1));
        for (int index = 0; index < ALLOWED / 2; index++) {
            assertEquals(202, fixture.submit("other" + index, "safe").status(), "" + fixture.log);
        }
        for (final Socket peer : peers) {
            final int status = CourierProcessFixture.read(peer.getInputStream()).status();
            assertTrue(ANSWERS.contains(status), "a request that had begun was answered with " + status);
        }
        closePeers();
    }

    /** Guards against idle connections that are spared while requests that have begun are ended for room. */
    @Test
    void idleConnectionsAreClosedBeforeRequestsAreEnded() throws IOException {
        fixture.start();
        final String message = CourierProcessFixture.message("m-id", "safe");
        final List<Socket> idle = new ArrayList<>();
        for (int index = 0; index < ALLOWED / 2; index++) {
            final Socket peer = fixture.connect();
            idle.add(peer);
            assertEquals(
                    202,
                    CourierProcessFixture.send(peer, message.replace("m-id", "idle" + index))
                            .status());
        }
        connectPeers(ALLOWED / 4, message.substring(0, message.length() - 1));
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(250));
        for (int index = 0; index < ALLOWED / 2; index++) {
            final Socket other = fixture.connect();
            idle.add(other);
            assertEquals(
                    202,
                    CourierProcessFixture.send(other, message.replace("m-id", "other" + index))
                            .status());
        }
        for (final Socket peer : peers) {
            write(peer, message.substring(message.length() - 1));
            assertEquals(202, CourierProcessFixture.read(peer.getInputStream()).status());
        }
        closePeers();
        for (final Socket peer : idle) {
            peer.close();
        }
    }

    /** Guards against clients that write slowly without a pause and keep all connections until their time is up. */
    @Test
    void otherClientsNeedNotWaitUntilTheRequestsOfSlowWritersTimeOut() throws Exception {
        fixture.start();
        final List<Integer> ends = new CopyOnWriteArrayList<>();
        connectPeers(ALLOWED + ALLOWED / 4, "POST /safe HTTP/1.1\r\nHost: backend.local\r\nX-Long: ");
        final Thread writer = new Thread(() -> writeUntilAllHaveEnded(ends));
        writer.start();
        assertEquals(202, fixture.submit("other", "safe").status(), "" + fixture.log);
        final List<Integer> before = List.copyOf(ends);
        assertFalse(before.contains(REQUEST_TIMEOUT), "ended before the other client was answered: " + before);
        writer.join(TimeUnit.SECONDS.toMillis(CourierProcessFixture.TIMEOUT_S));
        assertEquals(peers.size(), ends.size());
        assertTrue(ANSWERS.containsAll(ends), "each writer is answered: " + ends);
        closePeers();
    }

    /** Writes a byte to each peer now and then; notes the status that it gets. */
    private void writeUntilAllHaveEnded(final List<Integer> ends) {
        final List<Socket> open = new ArrayList<>(peers);
        while (!open.isEmpty()) {
            for (final Socket peer : List.copyOf(open)) {
                try {
                    if (peer.getInputStream().available() > 0) {
                        open.remove(peer);
                        ends.add(CourierProcessFixture.read(peer.getInputStream())
                                .status());
                        peer.close();
                    } else {
                        write(peer, "x");
                    }
                } catch (final IOException e) {
                    open.remove(peer);
                    ends.add(0);
                }
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(WRITE_INTERVAL_MS));
        }
    }

    /** Guards against clients whose requests at full speed are all answered before another client's only one. */
    @Test
    void oneRequestDoesNotWaitForAllThatOtherClientsHaveSentAtOnce() throws Exception {
        final int others = 40;
        final int requests = 100;
        final String healthCheck = "GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n";
        fixture.start();
        connectPeers(others, healthCheck);
        for (final Socket peer : peers) {
            assertEquals(200, CourierProcessFixture.read(peer.getInputStream()).status());
        }
        final int answerBytes = healthCheckAnswerBytes(healthCheck);
        try (Socket ordinary = fixture.connect()) {
            assertEquals(
                    202,
                    CourierProcessFixture.send(ordinary, CourierProcessFixture.message("first", "safe"))
                            .status());
            fixture.signal("STOP");
            for (final Socket peer : peers) {
                write(peer, healthCheck.repeat(requests));
            }
            write(ordinary, CourierProcessFixture.message("second", "safe"));
            fixture.signal("CONT");
            final long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(CourierProcessFixture.TIMEOUT_S);
            while (ordinary.getInputStream().available() == 0) {
                assertTrue(System.nanoTime() < deadlineNs, "the ordinary request was not answered: " + fixture.log);
                Thread.onSpinWait();
            }
            int before = 0;
            for (final Socket peer : peers) {
                before += peer.getInputStream().available() / answerBytes;
            }
            assertEquals(
                    202, CourierProcessFixture.read(ordinary.getInputStream()).status());
            assertTrue(before < others * requests / 10, before + " requests were answered first");
        }
        for (final Socket peer : peers) {
            for (int index = 0; index < requests; index++) {
                assertEquals(
                        200, CourierProcessFixture.read(peer.getInputStream()).status());
            }
        }
        closePeers();
    }

    private int healthCheckAnswerBytes(final String healthCheck) throws IOException {
        try (Socket socket = fixture.connect()) {
            final String closing = healthCheck.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
            write(socket, closing);
            return socket.getInputStream().readAllBytes().length - "connection: close\r\n".length();
        }
    }
}
