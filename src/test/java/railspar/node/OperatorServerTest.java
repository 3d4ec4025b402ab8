package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The commands that operators send to the second address, and their effect on the service. */
final class OperatorServerTest extends AbstractCourierProcessTest {
    private static final String UP_REQUEST = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

    @BeforeEach
    void configure() {
        fixture.hasOperatorAddress = true;
    }

    @Test
    void eachCommandGetsOneResponseAndUnknownCommandsAnError() throws IOException {
        fixture.start();
        assertEquals("+OK\n", fixture.operatorCommand("HEALTH"));
        assertTrue(fixture.operatorCommand("HELLO").startsWith("-ERR"));
        assertTrue(fixture.operatorCommand("").startsWith("-ERR"));
        assertTrue(fixture.operatorCommand("x".repeat(4000)).startsWith("-ERR"));
        assertEquals("+OK\n", fixture.operatorCommand("HEALTH"), "the server still responds");
    }

    @Test
    void silentConnectionsAndIncompleteLinesDoNotBlockOtherOperators() throws IOException {
        fixture.start();
        final List<Socket> silent = new ArrayList<>();
        for (int count = 0; count < 2 * OperatorServer.MAX_WAITING_CONNECTIONS; count++) {
            final Socket socket = fixture.connectToOperatorServer();
            socket.getOutputStream().write((count % 2 == 0 ? "HEA" : "").getBytes(StandardCharsets.UTF_8));
            silent.add(socket);
        }
        assertEquals("+OK\n", fixture.operatorCommand("HEALTH"));
        assertEquals(-1, silent.get(0).getInputStream().read(), "the oldest silent connection was closed");
        for (final Socket socket : silent) {
            socket.close();
        }
    }

    @Test
    void metricsListEveryClassFromTheStartAndCountResults() throws IOException {
        fixture.start();
        final String first = fixture.operatorCommand("DUMP");
        assertTrue(first.endsWith("\n.\n"), first);
        for (final String className : List.of("safe", "keyed", "brief", "once", "turn")) {
            for (final String result : List.of("succeeded", "declined", "aborted")) {
                assertEquals(0, fixture.metric("results." + className + "." + result), className + " " + result);
            }
        }
        fixture.awaitMetric("discovered", 1);
        assertEquals(0, fixture.metric("ejected"));
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.awaitMetric("results.safe.succeeded", 1);
        fixture.first.script((request, connection) -> connection.reset());
        assertEquals(202, fixture.submit("m2", "once").status());
        fixture.awaitMetric("results.once.aborted", 1);
        fixture.first.script((request, connection) -> {});
        assertEquals(202, fixture.submit("m3", "keyed").status());
        fixture.awaitMetric("outstanding", 1);
        fixture.awaitMetric("forwards", fixture.first.requests.size());
        assertEquals(1, fixture.metric("results.safe.succeeded"));
        assertEquals(0, fixture.metric("results.keyed.succeeded"));
    }

    @Test
    void messagesRejectedBecauseOfTooManyOpenMessagesCountAsDeclined() throws IOException {
        fixture.maxOpen = 3;
        fixture.first.script((request, connection) -> {});
        fixture.start();
        for (int count = 0; count < 5; count++) {
            fixture.submit("m" + count, "once");
        }
        fixture.awaitMetric("outstanding", 5 - fixture.metric("results.once.declined"));
        assertTrue(fixture.metric("results.once.declined") >= 2, fixture.operatorCommand("DUMP"));
    }

    @Test
    void drainFailsUpChecksAndClosesIdleConnectionsButServesRequestsUntilItEnds() throws IOException {
        fixture.start();
        final Socket idle = fixture.connect();
        assertEquals(
                202,
                CourierProcessFixture.send(idle, CourierProcessFixture.message("m1", "safe"))
                        .status());
        final Socket busy = fixture.connect();
        assertEquals(200, CourierProcessFixture.send(busy, UP_REQUEST).status());
        assertEquals("+OK\n", fixture.operatorCommand("LEAVE"));
        assertEquals(503, fixture.send(UP_REQUEST).status());
        final CourierProcessFixture.Answer lateAnswer =
                CourierProcessFixture.send(busy, CourierProcessFixture.message("m2", "safe"));
        assertEquals(202, lateAnswer.status(), "a request that still arrives is served");
        assertTrue(lateAnswer.head().contains("connection: close"), lateAnswer.head());
        assertEquals(-1, busy.getInputStream().read());
        assertEquals(-1, idle.getInputStream().read(), "an idle connection is closed");
        fixture.await("both delivered", () -> fixture.first.requests.size() == 2);
        assertTrue(fixture.isAlive());
        assertEquals("+OK\n", fixture.operatorCommand("JOIN"));
        assertEquals(200, fixture.send(UP_REQUEST).status());
        final Socket kept = fixture.connect();
        final CourierProcessFixture.Answer answerAfterJoin =
                CourierProcessFixture.send(kept, CourierProcessFixture.message("m3", "safe"));
        assertFalse(answerAfterJoin.head().contains("connection: close"), answerAfterJoin.head());
        assertEquals(
                202,
                CourierProcessFixture.send(kept, CourierProcessFixture.message("m4", "safe"))
                        .status());
    }

    // ---------------------------------------------------------------- disabled endpoints

    private void useTwoEndpoints() {
        fixture.hosts = CourierProcessFixture.hostEntry("e1", fixture.first, "Ready") + ","
                + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready");
    }

    private void deliver(final String prefix, final int messages) throws IOException {
        for (int count = 0; count < messages; count++) {
            final String id = prefix + count;
            assertEquals(202, fixture.submit(id, "safe").status());
            fixture.await(
                    id,
                    () -> Stream.of(fixture.first, fixture.second)
                            .flatMap(endpoint -> endpoint.requests.stream())
                            .anyMatch(request -> request.ids().contains(id)));
        }
    }

    @Test
    void disabledEndpointGetsNoCallsEvenAfterAKillUntilItIsEnabled() throws IOException, InterruptedException {
        useTwoEndpoints();
        fixture.start();
        assertTrue(fixture.operatorCommand("OFFLINE nobody").startsWith("-ERR"));
        assertTrue(fixture.operatorCommand("ONLINE nobody").startsWith("-ERR"));
        assertTrue(fixture.operatorCommand("OFFLINE").startsWith("-ERR"));
        assertEquals("+OK\n", fixture.operatorCommand("OFFLINE e1"));
        assertEquals("+OK\n", fixture.operatorCommand("OFFLINE e1"), "disabling twice succeeds");
        deliver("a", 5);
        fixture.killAndRestart();
        fixture.awaitMetric("ejected", 1);
        deliver("b", 5);
        assertEquals(0, fixture.first.requests.size());
        assertEquals("+OK\n", fixture.operatorCommand("ONLINE e1"));
        fixture.awaitMetric("ejected", 0);
        fixture.second.script((request, connection) -> connection.answer(503, ""));
        assertEquals(202, fixture.submit("back", "safe").status());
        fixture.await("a call to the enabled endpoint", () -> fixture.first.requests.size() == 1);
    }

    @Test
    void listUpdatesDoNotEnableADisabledEndpoint() throws IOException {
        useTwoEndpoints();
        fixture.start();
        fixture.await("the watch", () -> fixture.watches.size() == 1);
        assertEquals("+OK\n", fixture.operatorCommand("OFFLINE e1"));
        fixture.sendListChange(42, CourierProcessFixture.hostEntry("e1", fixture.first, "Gone"));
        fixture.awaitMetric("discovered", 1);
        fixture.sendListChange(43, CourierProcessFixture.hostEntry("e1", fixture.first, "Ready"));
        fixture.awaitMetric("discovered", 2);
        deliver("a", 5);
        assertEquals(0, fixture.first.requests.size());
        fixture.awaitMetric("ejected", 1);
    }
}
