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
        fixture.platform.script((request, connection) -> {
            if (request.line().startsWith("POST")) {
                fixture.answerPlatformRequest(request, connection);
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
        fixture.discovery = discovery;
        agent(connection -> begin(connection, "\n"), connection -> {}, connection -> begin(connection, "\n"));
        fixture.start();
        fixture.await("the third call", () -> askedNs.size() == 3);
        assertTrue(msBetween(0, 2) < TOLD_MS, "it took " + msBetween(0, 2) + " ms");
    }

    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void aWatchThatLivesButHasNoNewsEndsTheLongPausesOfAnOutage(final String discovery) throws IOException {
        fixture.discovery = discovery;
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
        fixture.start();
        fixture.await("the watch after the outage, and the one after its silence", () -> askedNs.size() == 8);
        assertTrue(msBetween(6, 7) < TOLD_MS, "it took " + msBetween(6, 7) + " ms");
    }

    @Test
    void aWatchThatFallsSilentInTheMiddleOfALineIsOpenedAnew() throws IOException {
        fixture.discovery = "pushed";
        final String line = CourierProcessFixture.listLine(
                42,
                CourierProcessFixture.hostEntry("e1", fixture.first, "Terminating") + ","
                        + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready"));
        agent(
                connection -> begin(connection, "\n" + line.substring(0, line.length() / 2)),
                connection -> begin(connection, line));
        fixture.start();
        fixture.await("the second watch", () -> askedNs.size() == 2);
        assertTrue(msBetween(0, 1) < TOLD_MS, "it took " + msBetween(0, 1) + " ms");
        fixture.await("its news", () -> fixture.log.stream().anyMatch(said -> said.startsWith("the list at 42")));
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.second.requests.size() == 1);
        assertEquals(0, fixture.first.requests.size());
    }

    @Test
    void aWatchThatTricklesWithoutEndingALineIsSilentToo() throws IOException {
        fixture.discovery = "pushed";
        agent(
                connection -> {
                    begin(connection, "\n");
                    for (int count = 0; askedNs.size() == 1 && count < 200; count++) {
                        connection.chunk("{");
                        java.util.concurrent.locks.LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
                    }
                },
                connection -> begin(connection, "\n"));
        fixture.start();
        fixture.await("the second watch", () -> askedNs.size() == 2);
        assertTrue(msBetween(0, 1) < TOLD_MS, "it took " + msBetween(0, 1) + " ms");
    }

    @Test
    void theLongestDrawsOfAllPausesStayInsideWhatCountsAsTold() {
        final long silent = Discovery.SILENCE_TIMEOUT_MS
                + Discovery.retryDelayMs(0, 1)
                + Discovery.FIRST_RESPONSE_MS
                + Discovery.retryDelayMs(1, 1);
        assertTrue(silent < TOLD_MS, "a watch falls silent, and so does the call for the next one: " + silent);
        final long returned = Discovery.FIRST_RESPONSE_MS + Discovery.retryDelayMs(Integer.MAX_VALUE, 1);
        assertTrue(returned < MOVED_MS, "a call and its pause began just before discovery returned: " + returned);
    }

    @Test
    void aReloadDuringThePauseOfAFailedCallAsksAtTheNewAddressAtOnce() throws IOException, InterruptedException {
        fixture.discovery = "on_request";
        agent(connection -> begin(connection, "\n"), FakeServer.Connection::reset);
        fixture.start();
        // The pauses have grown long by then.
        fixture.watches.forEach(FakeServer.Connection::reset);
        fixture.platform.connections.forEach(FakeServer.Connection::reset);
        fixture.await("failed calls", () -> askedNs.size() >= 5);
        final List<Long> movedNs = new CopyOnWriteArrayList<>();
        try (FakeServer moved = new FakeServer((request, connection) -> {
            movedNs.add(System.nanoTime());
            begin(connection, "\n");
        })) {
            final long fromNs = System.nanoTime();
            fixture.reload(moved);
            fixture.await("the watch at the new address", () -> !movedNs.isEmpty());
            final long tookMs = TimeUnit.NANOSECONDS.toMillis(movedNs.get(0) - fromNs);
            assertTrue(tookMs < TimeUnit.SECONDS.toMillis(1), "it took " + tookMs + " ms");
        }
    }

    @Test
    void aListMayComeIndented() throws IOException {
        fixture.discovery = "pushed";
        agent(connection -> begin(
                connection,
                "{\n  \"seq\": 42,\n  \"whole\": true,\n  \"hosts\": [\n    "
                        + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready")
                                .replace(",", ",\n      ") + "\n  ]\n}\n"));
        fixture.start();
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.second.requests.size() == 1);
        assertEquals(1, askedNs.size(), "the watch stands: " + fixture.log);
        assertEquals(0, fixture.first.requests.size(), "the whole list has no such endpoint any more");
    }

    @Test
    void anIndentedListThatBreaksOffChangesNothingAndIsSaid() throws IOException {
        fixture.discovery = "pushed";
        agent(
                connection -> begin(connection, "\n{\n  \"seq\": 42,\n  \"whole\": true,\n  \"hosts\": [\n\n"),
                connection -> begin(connection, "\n"));
        fixture.start();
        fixture.await("the second watch", () -> askedNs.size() == 2);
        assertTrue(fixture.log.stream().anyMatch(said -> said.contains("cannot be read")), fixture.log.toString());
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call to what was known", () -> fixture.first.requests.size() == 1);
    }
}
