package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What the connections of clients hold together is limited: no crowd of them ends the courier. */
final class ClientMemoryTest extends AbstractCourierProcessTest {
    private static final int BODY_BYTES = 60_000;
    private static final String HALF_HEAD = "POST /safe HTTP/1.1\r\nHost: backend.local\r\nX-Requ";
    private static final String HEALTH_CHECK = "GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n";
    /** Statuses that a peer is owed which does not complete its request. */
    private static final Set<Integer> ERRORS = Set.of(408, 503);

    private static final long UNREAD_REQUEST_BYTES = 60_000_000;
    private static final int WRITE_BYTES = 1 << 20;

    private final List<Socket> peers = new ArrayList<>();

    @BeforeEach
    void configure() {
        fixture.diskMb = 1000;
        fixture.maxOpen = 1_000_000;
    }

    private static String longMessage(final int index) {
        return CourierProcessFixture.message("m" + index, "safe", "x".repeat(BODY_BYTES));
    }

    private Socket connectPeer(final String text) throws IOException {
        final Socket peer = fixture.connect();
        peers.add(peer);
        peer.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return peer;
    }

    private void assertServes(final String id) throws IOException {
        assertEquals(202, fixture.submit(id, "safe").status(), "" + fixture.log);
        assertTrue(fixture.isAlive());
    }

    private void closePeers() throws IOException {
        for (final Socket peer : peers) {
            peer.close();
        }
    }

    /** Guards against receive buffers of 64 KiB that each connection keeps for a few bytes of its next request. */
    @Test
    void crowdThatStopsInTheHeadOfItsNextRequestDoesNotUseUpDirectMemory() throws IOException {
        fixture.directMemory = "-XX:MaxDirectMemorySize=2m";
        fixture.start();
        for (int index = 0; index < 64; index++) {
            final Socket peer = connectPeer(longMessage(index) + HALF_HEAD);
            assertNotEquals(0, CourierProcessFixture.read(peer.getInputStream()).status(), "" + fixture.log);
        }
        assertServes("ordinary");
        for (final Socket peer : peers) {
            assertEquals(408, CourierProcessFixture.read(peer.getInputStream()).status(), "owed within 3 s");
        }
        closePeers();
    }

    /** Guards against incomplete bodies that are held without a limit. */
    @Test
    void crowdThatStopsInABodyDoesNotUseUpTheHeap() throws IOException {
        fixture.heap = "-Xmx24m";
        fixture.start();
        for (int index = 0; index < 400; index++) {
            final String whole = longMessage(index);
            connectPeer(whole.substring(0, whole.length() - 1));
        }
        assertServes("ordinary");
        for (final Socket peer : peers) {
            final int status = CourierProcessFixture.read(peer.getInputStream()).status();
            assertTrue(ERRORS.contains(status), "an incomplete request was answered with " + status);
        }
        closePeers();
    }

    /** Guards against buffers of bodies that idle connections keep. */
    @Test
    void idleConnectionsDoNotKeepTheMemoryOfTheirLargestBody() throws IOException {
        fixture.heap = "-Xmx24m";
        fixture.start();
        for (int index = 0; index < 400; index++) {
            final Socket peer = connectPeer(longMessage(index).replace("dest=7", "dest=99"));
            assertEquals(503, CourierProcessFixture.read(peer.getInputStream()).status(), "" + fixture.log);
        }
        assertServes("ordinary");
        closePeers();
    }

    /** Guards against responses that pile up because their client does not read. */
    @Test
    void clientThatReadsNoResponseIsDisconnectedAndDoesNotUseUpMemory() throws Exception {
        fixture.heap = "-Xmx24m";
        fixture.start();
        writeWithoutReading(CourierProcessFixture.message("m", "safe").replace("dest=7", "dest=99"));
    }

    /** Guards against the same for requests that are no messages. */
    @Test
    void clientThatReadsNoResponseToItsHealthChecksIsDisconnectedAndDoesNotUseUpMemory() throws Exception {
        fixture.heap = "-Xmx24m";
        fixture.start();
        writeWithoutReading(HEALTH_CHECK);
    }

    private void writeWithoutReading(final String request) throws Exception {
        final byte[] requests = request.repeat(WRITE_BYTES / request.length()).getBytes(StandardCharsets.ISO_8859_1);
        try (Socket peer = fixture.connect()) {
            final CompletableFuture<Long> written =
                    CompletableFuture.supplyAsync(() -> writeUntilClosed(peer, requests));
            for (int index = 0; !written.isDone(); index++) {
                assertServes("m" + index);
            }
            assertTrue(
                    written.get(CourierProcessFixture.TIMEOUT_S, TimeUnit.SECONDS) < UNREAD_REQUEST_BYTES,
                    "requests are not read while responses are not");
        }
        assertServes("afterwards");
    }

    private static long writeUntilClosed(final Socket peer, final byte[] requests) {
        long written = 0;
        try {
            while (written < UNREAD_REQUEST_BYTES) {
                peer.getOutputStream().write(requests);
                written += requests.length;
            }
        } catch (final IOException e) {
            return written;
        }
        return written;
    }
}
