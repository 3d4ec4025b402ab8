package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
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
}
