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

/** What operators can call for at the second address, and what it does to the service. */
final class OperatorServerTest extends AbstractCourierProcessTest {
    private static final String UP = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

    @BeforeEach
    void configure() {
        rig.mgmt = true;
    }

    @Test
    void eachCallHasOneAnswerAndUnknownOnesANo() throws IOException {
        rig.start();
        assertEquals("+OK\n", rig.call("HEALTH"));
        assertTrue(rig.call("HELLO").startsWith("-ERR"));
        assertTrue(rig.call("").startsWith("-ERR"));
        assertTrue(rig.call("x".repeat(4000)).startsWith("-ERR"));
        assertEquals("+OK\n", rig.call("HEALTH"), "and it goes on answering");
    }

    @Test
    void silentCallersAndHalfLinesDoNotKeepOthersFromTheirAnswer() throws IOException {
        rig.start();
        final List<Socket> silent = new ArrayList<>();
        for (int count = 0; count < 2 * OperatorServer.MAX_WAITING_CALLERS; count++) {
            final Socket socket = rig.dial();
            socket.getOutputStream().write((count % 2 == 0 ? "HEA" : "").getBytes(StandardCharsets.UTF_8));
            silent.add(socket);
        }
        assertEquals("+OK\n", rig.call("HEALTH"));
        assertEquals(-1, silent.get(0).getInputStream().read(), "the oldest silent one made room");
        for (final Socket socket : silent) {
            socket.close();
        }
    }

    @Test
    void figuresListEveryClassFromTheStartAndAddUp() throws IOException {
        rig.start();
        final String first = rig.call("DUMP");
        assertTrue(first.endsWith("\n.\n"), first);
        for (final String kind : List.of("safe", "keyed", "brief", "once", "turn")) {
            for (final String end : List.of("succeeded", "declined", "aborted")) {
                assertEquals(0, rig.figure("results." + kind + "." + end), kind + " " + end);
            }
        }
        rig.awaitFigure("discovered", 1);
        assertEquals(0, rig.figure("ejected"));
        assertEquals(202, rig.handIn("m1", "safe").status());
        rig.awaitFigure("results.safe.succeeded", 1);
        rig.first.script((request, connection) -> connection.reset());
        assertEquals(202, rig.handIn("m2", "once").status());
        rig.awaitFigure("results.once.aborted", 1);
        rig.first.script((request, connection) -> {});
        assertEquals(202, rig.handIn("m3", "keyed").status());
        rig.awaitFigure("outstanding", 1);
        rig.awaitFigure("forwards", rig.first.requests.size());
        assertEquals(1, rig.figure("results.safe.succeeded"));
        assertEquals(0, rig.figure("results.keyed.succeeded"));
    }

    @Test
    void whatIsTurnedAwayAtAFullStoreCountsAsDeclined() throws IOException {
        rig.maxOpen = 3;
        rig.first.script((request, connection) -> {});
        rig.start();
        for (int count = 0; count < 5; count++) {
            rig.handIn("m" + count, "once");
        }
        rig.awaitFigure("outstanding", 5 - rig.figure("results.once.declined"));
        assertTrue(rig.figure("results.once.declined") >= 2, rig.call("DUMP"));
    }

    @Test
    void aDrainSaysNoAtUpEndsIdleConnectionsAndServesOnUntilItIsOver() throws IOException {
        rig.start();
        final Socket idle = rig.connect();
        assertEquals(202, Rig.send(idle, Rig.message("m1", "safe")).status());
        final Socket busy = rig.connect();
        assertEquals(200, Rig.send(busy, UP).status());
        assertEquals("+OK\n", rig.call("LEAVE"));
        assertEquals(503, rig.send(UP).status());
        final Rig.Answer late = Rig.send(busy, Rig.message("m2", "safe"));
        assertEquals(202, late.status(), "what still comes is served");
        assertTrue(late.head().contains("connection: close"), late.head());
        assertEquals(-1, busy.getInputStream().read());
        assertEquals(-1, idle.getInputStream().read(), "an idle connection is ended");
        rig.await("both delivered", () -> rig.first.requests.size() == 2);
        assertTrue(rig.isAlive());
        assertEquals("+OK\n", rig.call("JOIN"));
        assertEquals(200, rig.send(UP).status());
        final Socket kept = rig.connect();
        final Rig.Answer after = Rig.send(kept, Rig.message("m3", "safe"));
        assertFalse(after.head().contains("connection: close"), after.head());
        assertEquals(202, Rig.send(kept, Rig.message("m4", "safe")).status());
    }

    // ---------------------------------------------------------------- endpoints taken out

    private void twoEndpoints() {
        rig.hosts = Rig.host("e1", rig.first, "Ready") + "," + Rig.host("e2", rig.second, "Ready");
    }

    private void deliver(final String prefix, final int messages) throws IOException {
        for (int count = 0; count < messages; count++) {
            final String id = prefix + count;
            assertEquals(202, rig.handIn(id, "safe").status());
            rig.await(
                    id,
                    () -> Stream.of(rig.first, rig.second)
                            .flatMap(at -> at.requests.stream())
                            .anyMatch(request -> request.ids().contains(id)));
        }
    }

    @Test
    void anEndpointThatIsOutGetsNothingThroughAKillUntilTheOneCallBack() throws IOException, InterruptedException {
        twoEndpoints();
        rig.start();
        assertTrue(rig.call("OFFLINE nobody").startsWith("-ERR"));
        assertTrue(rig.call("ONLINE nobody").startsWith("-ERR"));
        assertTrue(rig.call("OFFLINE").startsWith("-ERR"));
        assertEquals("+OK\n", rig.call("OFFLINE e1"));
        assertEquals("+OK\n", rig.call("OFFLINE e1"), "twice is as good as once");
        deliver("a", 5);
        rig.killAndRestart();
        rig.awaitFigure("ejected", 1);
        deliver("b", 5);
        assertEquals(0, rig.first.requests.size());
        assertEquals("+OK\n", rig.call("ONLINE e1"));
        rig.awaitFigure("ejected", 0);
        rig.second.script((request, connection) -> connection.answer(503, ""));
        assertEquals(202, rig.handIn("back", "safe").status());
        rig.await("its use", () -> rig.first.requests.size() == 1);
    }

    @Test
    void whatTheListSaysOfAnEndpointThatIsOutChangesNothing() throws IOException {
        twoEndpoints();
        rig.start();
        rig.await("the watch", () -> rig.watches.size() == 1);
        assertEquals("+OK\n", rig.call("OFFLINE e1"));
        rig.change(42, Rig.host("e1", rig.first, "Gone"));
        rig.awaitFigure("discovered", 1);
        rig.change(43, Rig.host("e1", rig.first, "Ready"));
        rig.awaitFigure("discovered", 2);
        deliver("a", 5);
        assertEquals(0, rig.first.requests.size());
        rig.awaitFigure("ejected", 1);
    }
}
