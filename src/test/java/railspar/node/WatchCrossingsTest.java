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

/** Tests watches that fall silent or fail at any point: the courier is expected to know missed changes 6 s later. */
final class WatchCrossingsTest extends AbstractCourierProcessTest {
    /** The courier is expected to know a missed change this long after its watch fell silent. */
    private static final long KNOWN_AFTER_MS = 6000;
    /** The same, after discovery has moved or returned. */
    private static final long KNOWN_AFTER_MOVE_MS = 4000;

    /** When each watch was requested. */
    private final List<Long> requestedNs = new CopyOnWriteArrayList<>();

    /** Acts as the agent: the n-th function handles the n-th watch, the last function also all later ones. */
    @SafeVarargs
    private void scriptAgent(final java.util.function.Consumer<FakeServer.Connection>... watches) {
        fixture.platform.script((request, connection) -> {
            if (request.line().startsWith("POST")) {
                fixture.answerPlatformRequest(request, connection);
            } else {
                final int index = requestedNs.size();
                requestedNs.add(System.nanoTime());
                watches[Math.min(index, watches.length - 1)].accept(connection);
            }
        });
    }

    private static void respond(final FakeServer.Connection connection, final String text) {
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        connection.chunk(text);
    }

    private long msBetween(final int first, final int second) {
        return TimeUnit.NANOSECONDS.toMillis(requestedNs.get(second) - requestedNs.get(first));
    }

    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void aNewWatchIsOpenInTimeEvenIfTheFirstRequestForItStaysSilent(final String discovery) throws IOException {
        fixture.discovery = discovery;
        scriptAgent(connection -> respond(connection, "\n"), connection -> {}, connection -> respond(connection, "\n"));
        fixture.start();
        fixture.await("the third request", () -> requestedNs.size() == 3);
        assertTrue(msBetween(0, 2) < KNOWN_AFTER_MS, "it took " + msBetween(0, 2) + " ms");
    }

    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void aWatchWithOnlyHeartbeatsResetsTheRetryDelayAfterAnOutage(final String discovery) throws IOException {
        fixture.discovery = discovery;
        final java.util.function.Consumer<FakeServer.Connection> reset = FakeServer.Connection::reset;
        scriptAgent(
                connection -> respond(connection, "\n"),
                reset,
                reset,
                reset,
                reset,
                reset,
                connection -> respond(connection, "\n"),
                connection -> respond(connection, "\n"));
        fixture.start();
        fixture.await("the watch after the outage, and the one after its silence", () -> requestedNs.size() == 8);
        assertTrue(msBetween(6, 7) < KNOWN_AFTER_MS, "it took " + msBetween(6, 7) + " ms");
    }

    @Test
    void aWatchThatFallsSilentInTheMiddleOfALineIsReplaced() throws IOException {
        fixture.discovery = "pushed";
        final String list = CourierProcessFixture.listLine(
                42,
                CourierProcessFixture.hostEntry("e1", fixture.first, "Terminating") + ","
                        + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready"));
        scriptAgent(
                connection -> respond(connection, "\n" + list.substring(0, list.length() / 2)),
                connection -> respond(connection, list));
        fixture.start();
        fixture.await("the second watch", () -> requestedNs.size() == 2);
        assertTrue(msBetween(0, 1) < KNOWN_AFTER_MS, "it took " + msBetween(0, 1) + " ms");
        fixture.await("its list", () -> fixture.log.stream().anyMatch(line -> line.startsWith("the list at 42")));
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.second.requests.size() == 1);
        assertEquals(0, fixture.first.requests.size());
    }

    @Test
    void aWatchThatSendsOnlySingleBytesOfALineCountsAsSilent() throws IOException {
        fixture.discovery = "pushed";
        scriptAgent(
                connection -> {
                    respond(connection, "\n");
                    for (int count = 0; requestedNs.size() == 1 && count < 200; count++) {
                        connection.chunk("{");
                        java.util.concurrent.locks.LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
                    }
                },
                connection -> respond(connection, "\n"));
        fixture.start();
        fixture.await("the second watch", () -> requestedNs.size() == 2);
        assertTrue(msBetween(0, 1) < KNOWN_AFTER_MS, "it took " + msBetween(0, 1) + " ms");
    }

    @Test
    void theLongestRetryDelaysStayWithinTheTimeToKnowAChange() {
        final long silentMs = Discovery.SILENCE_TIMEOUT_MS
                + Discovery.retryDelayMs(0, 1)
                + Discovery.FIRST_RESPONSE_MS
                + Discovery.retryDelayMs(1, 1);
        assertTrue(
                silentMs < KNOWN_AFTER_MS, "a watch falls silent, and the request for the next one too: " + silentMs);
        final long returnedMs = Discovery.FIRST_RESPONSE_MS + Discovery.retryDelayMs(Integer.MAX_VALUE, 1);
        assertTrue(
                returnedMs < KNOWN_AFTER_MOVE_MS,
                "a request and its retry delay began just before discovery returned: " + returnedMs);
    }

    @Test
    void aReloadDuringARetryDelayOpensAWatchAtTheNewAddressAtOnce() throws IOException, InterruptedException {
        fixture.discovery = "on_request";
        scriptAgent(connection -> respond(connection, "\n"), FakeServer.Connection::reset);
        fixture.start();
        // After five failures the retry delay is long.
        fixture.watches.forEach(FakeServer.Connection::reset);
        fixture.platform.connections.forEach(FakeServer.Connection::reset);
        fixture.await("failed requests", () -> requestedNs.size() >= 5);
        final List<Long> requestedAtNewNs = new CopyOnWriteArrayList<>();
        try (FakeServer moved = new FakeServer((request, connection) -> {
            requestedAtNewNs.add(System.nanoTime());
            respond(connection, "\n");
        })) {
            final long fromNs = System.nanoTime();
            fixture.reload(moved);
            fixture.await("the watch at the new address", () -> !requestedAtNewNs.isEmpty());
            final long tookMs = TimeUnit.NANOSECONDS.toMillis(requestedAtNewNs.get(0) - fromNs);
            assertTrue(tookMs < TimeUnit.SECONDS.toMillis(1), "it took " + tookMs + " ms");
        }
    }

    @Test
    void aListMayBeIndented() throws IOException {
        fixture.discovery = "pushed";
        scriptAgent(connection -> respond(
                connection,
                "{\n  \"seq\": 42,\n  \"whole\": true,\n  \"hosts\": [\n    "
                        + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready")
                                .replace(",", ",\n      ") + "\n  ]\n}\n"));
        fixture.start();
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.second.requests.size() == 1);
        assertEquals(1, requestedNs.size(), "the watch stays open: " + fixture.log);
        assertEquals(0, fixture.first.requests.size(), "the full list does not contain that endpoint");
    }

    @Test
    void anIncompleteIndentedListChangesNothingAndIsLogged() throws IOException {
        fixture.discovery = "pushed";
        scriptAgent(
                connection -> respond(connection, "\n{\n  \"seq\": 42,\n  \"whole\": true,\n  \"hosts\": [\n\n"),
                connection -> respond(connection, "\n"));
        fixture.start();
        fixture.await("the second watch", () -> requestedNs.size() == 2);
        assertTrue(fixture.log.stream().anyMatch(line -> line.contains("cannot be read")), fixture.log.toString());
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call to the endpoint of the configuration", () -> fixture.first.requests.size() == 1);
    }
}
