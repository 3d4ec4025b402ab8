package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A list that stops sending, at each of its moments: what it misses counts as told 6 s later. */
final class WatchCrossingsTest extends AbstractCourierProcessTest {
    private static final long TOLD_MS = 6000;
    private static final long MOVED_MS = 4000;

    /** When each watch was asked for. */
    private final List<Long> askedNs = new CopyOnWriteArrayList<>();

    /** Plays the agent: the n-th watch is given to the n-th of these, the last one to all that follow. */
    @SafeVarargs
    private void agent(final java.util.function.Consumer<FakeServer.Connection>... watches) {
        rig.platform.script((request, connection) -> {
            if (request.line().startsWith("POST")) {
                rig.platform(request, connection);
            } else {
                final int index = askedNs.size();
                askedNs.add(System.nanoTime());
                watches[Math.min(index, watches.length - 1)].accept(connection);
            }
        });
    }

    private static void begin(final FakeServer.Connection connection, final String text) {
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        connection.chunk(text);
    }

    private long msBetween(final int one, final int other) {
        return TimeUnit.NANOSECONDS.toMillis(askedNs.get(other) - askedNs.get(one));
    }

    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void aNewWatchStandsInTimeThoughTheFirstCallForItIsSilentToo(final String discovery) throws IOException {
        rig.discovery = discovery;
        agent(connection -> begin(connection, "\n"), connection -> {}, connection -> begin(connection, "\n"));
        rig.start();
        rig.await("the third call", () -> askedNs.size() == 3);
        assertTrue(msBetween(0, 2) < TOLD_MS, "it took " + msBetween(0, 2) + " ms");
    }

    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void aWatchThatLivesButHasNoNewsEndsTheLongPausesOfAnOutage(final String discovery) throws IOException {
        rig.discovery = discovery;
        final java.util.function.Consumer<FakeServer.Connection> down = FakeServer.Connection::reset;
        agent(
                connection -> begin(connection, "\n"),
                down,
                down,
                down,
                down,
                down,
                connection -> begin(connection, "\n"),
                connection -> begin(connection, "\n"));
        rig.start();
        rig.await("the watch after the outage, and the one after its silence", () -> askedNs.size() == 8);
        assertTrue(msBetween(6, 7) < TOLD_MS, "it took " + msBetween(6, 7) + " ms");
    }

    @Test
    void aWatchThatFallsSilentInTheMiddleOfALineIsOpenedAnew() throws IOException {
        rig.discovery = "pushed";
        final String line =
                Rig.line(42, Rig.host("e1", rig.first, "Terminating") + "," + Rig.host("e2", rig.second, "Ready"));
        agent(
                connection -> begin(connection, "\n" + line.substring(0, line.length() / 2)),
                connection -> begin(connection, line));
        rig.start();
        rig.await("the second watch", () -> askedNs.size() == 2);
        assertTrue(msBetween(0, 1) < TOLD_MS, "it took " + msBetween(0, 1) + " ms");
        rig.await("its news", () -> rig.log.stream().anyMatch(said -> said.startsWith("the list at 42")));
        assertEquals(202, rig.handIn("m1", "safe").status());
        rig.await("the call", () -> rig.second.requests.size() == 1);
        assertEquals(0, rig.first.requests.size());
    }

    @Test
    void aWatchThatTricklesWithoutEndingALineIsSilentToo() throws IOException {
        rig.discovery = "pushed";
        agent(
                connection -> {
                    begin(connection, "\n");
                    for (int count = 0; askedNs.size() == 1 && count < 200; count++) {
                        connection.chunk("{");
                        java.util.concurrent.locks.LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
                    }
                },
                connection -> begin(connection, "\n"));
        rig.start();
        rig.await("the second watch", () -> askedNs.size() == 2);
        assertTrue(msBetween(0, 1) < TOLD_MS, "it took " + msBetween(0, 1) + " ms");
    }

    @Test
    void theLongestDrawsOfAllPausesStayInsideWhatCountsAsTold() {
        final long silent =
                Discovery.SILENCE_TIMEOUT_MS + Discovery.retryDelayMs(0, 1) + Discovery.FIRST_RESPONSE_MS + Discovery.retryDelayMs(1, 1);
        assertTrue(silent < TOLD_MS, "a watch falls silent, and so does the call for the next one: " + silent);
        final long returned = Discovery.FIRST_RESPONSE_MS + Discovery.retryDelayMs(Integer.MAX_VALUE, 1);
        assertTrue(returned < MOVED_MS, "a call and its pause began just before discovery returned: " + returned);
    }

    @Test
    void aReloadDuringThePauseOfAFailedCallAsksAtTheNewAddressAtOnce() throws IOException, InterruptedException {
        rig.discovery = "on_request";
        agent(connection -> begin(connection, "\n"), FakeServer.Connection::reset);
        rig.start();
        // The pauses have grown long by then.
        rig.watches.forEach(FakeServer.Connection::reset);
        rig.platform.connections.forEach(FakeServer.Connection::reset);
        rig.await("failed calls", () -> askedNs.size() >= 5);
        final List<Long> movedNs = new CopyOnWriteArrayList<>();
        try (FakeServer moved = new FakeServer((request, connection) -> {
            movedNs.add(System.nanoTime());
            begin(connection, "\n");
        })) {
            final long fromNs = System.nanoTime();
            rig.reload(moved);
            rig.await("the watch at the new address", () -> !movedNs.isEmpty());
            final long tookMs = TimeUnit.NANOSECONDS.toMillis(movedNs.get(0) - fromNs);
            assertTrue(tookMs < TimeUnit.SECONDS.toMillis(1), "it took " + tookMs + " ms");
        }
    }

    @Test
    void aListMayComeIndented() throws IOException {
        rig.discovery = "pushed";
        agent(connection -> begin(
                connection,
                "{\n  \"seq\": 42,\n  \"whole\": true,\n  \"hosts\": [\n    "
                        + Rig.host("e2", rig.second, "Ready").replace(",", ",\n      ") + "\n  ]\n}\n"));
        rig.start();
        assertEquals(202, rig.handIn("m1", "safe").status());
        rig.await("the call", () -> rig.second.requests.size() == 1);
        assertEquals(1, askedNs.size(), "the watch stands: " + rig.log);
        assertEquals(0, rig.first.requests.size(), "the whole list has no such endpoint any more");
    }

    @Test
    void anIndentedListThatBreaksOffChangesNothingAndIsSaid() throws IOException {
        rig.discovery = "pushed";
        agent(
                connection -> begin(connection, "\n{\n  \"seq\": 42,\n  \"whole\": true,\n  \"hosts\": [\n\n"),
                connection -> begin(connection, "\n"));
        rig.start();
        rig.await("the second watch", () -> askedNs.size() == 2);
        assertTrue(rig.log.stream().anyMatch(said -> said.contains("cannot be read")), rig.log.toString());
        assertEquals(202, rig.handIn("m1", "safe").status());
        rig.await("the call to what was known", () -> rig.first.requests.size() == 1);
    }
}
