package railspar.scale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import railspar.scale.BoundedWait;

/** What the stand-in of discovery tells a watch in each of its modes, and what it counts. */
@Timeout(60)
final class DiscoveryServerTest {
    private static final Duration NO_HEARTBEAT = Duration.ofHours(1);
    private static final String WATCH = "GET /discovery/hosts?watch=1&after=";
    private static final int ENDPOINTS = 1700;

    private final List<EndpointEntry> first =
            new FleetPlan(1, 1000, 1.7, 0, 1, 1, 1).endpoints(new InetSocketAddress("127.0.0.1", 7070));
    private final ListHistory history = new ListHistory(first);
    private DiscoveryServer server = new DiscoveryServer(history, NO_HEARTBEAT);

    @AfterEach
    void end() {
        server.close();
    }

    private RawHttpClient watch(final long after) throws IOException {
        final RawHttpClient client = new RawHttpClient(server.address());
        client.request(WATCH + after, "");
        assertEquals(200, client.status());
        return client;
    }

    private static JsonNode json(final String text) throws JsonProcessingException {
        return new ObjectMapper().readTree(text);
    }

    private long changeOne() {
        return history.change(List.of(first.get(0).withHealth(EndpointEntry.Health.TERMINATING)));
    }

    /** Returns once the server has done all that it was told to do before: a notice is answered behind that. */
    private void awaitEventLoop() throws IOException {
        try (RawHttpClient notices = new RawHttpClient(server.address())) {
            notices.request("POST /v1/outcomes", "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
            assertEquals(204, notices.status());
        }
    }

    @Test
    void theWholeListIsAnsweredOnRequest() throws IOException {
        try (RawHttpClient client = new RawHttpClient(server.address())) {
            final JsonNode list = json(client.body(client.request("GET /discovery/hosts", "")));
            assertEquals(1, list.path("seq").asLong());
            assertEquals(ENDPOINTS, list.path("hosts").size());
            client.request("GET /elsewhere", "");
            assertEquals(404, client.status());
        }
    }

    @Test
    void aWatchGetsTheWholeListOnceAndThenChangesOnly() throws IOException {
        try (RawHttpClient client = watch(0)) {
            assertEquals(ENDPOINTS, json(client.line()).path("hosts").size());
            for (int count = 0; count < 3; count++) {
                final long version = changeOne();
                final JsonNode change = json(client.line());
                assertEquals(version, change.path("seq").asLong());
                assertEquals(1, change.path("hosts").size());
            }
            BoundedWait.until(
                    "the server's counts", () -> server.traffic().get(0).bytesOut() == client.bytesRead());
            final ConnectionTraffic traffic = server.traffic().get(0);
            assertEquals(client.bytesWritten(), traffic.bytesIn());
            assertEquals(1, traffic.wholeLists());
            assertEquals(3, traffic.changeLines());
        }
    }

    @Test
    void aWatchAfterAVersionGetsWhatChangedSinceInOneLine() throws IOException {
        changeOne();
        changeOne();
        try (RawHttpClient client = watch(1)) {
            final JsonNode change = json(client.line());
            assertEquals(3, change.path("seq").asLong());
            assertEquals(1, change.path("hosts").size());
            assertEquals(0, server.traffic().get(0).wholeLists());
        }
        try (RawHttpClient client = watch(3)) {
            assertEquals("", client.line(), "nothing has changed");
        }
    }

    @Test
    void aWatchWithoutNewsGetsEmptyLines() throws IOException {
        server.close();
        server = new DiscoveryServer(history, Duration.ofMillis(5));
        try (RawHttpClient client = watch(1)) {
            for (int count = 0; count < 4; count++) {
                assertEquals("", client.line());
            }
        }
    }

    @Test
    void whileUnavailableNothingIsSaidOfTheListAndNoticesAreAnswered() throws IOException {
        try (RawHttpClient standing = watch(1);
                RawHttpClient fresh = new RawHttpClient(server.address())) {
            assertEquals("", standing.line());
            server.mode(DiscoveryMode.UNAVAILABLE);
            final long saidBefore = standing.bytesRead();
            BoundedWait.until(
                    "the server's counts", () -> server.traffic().get(0).bytesOut() == saidBefore);
            fresh.send(WATCH + "1", "");
            changeOne();
            awaitEventLoop();
            assertEquals(saidBefore, server.traffic().get(0).bytesOut());
            assertEquals(0, server.traffic().get(1).bytesOut());
            server.mode(DiscoveryMode.NORMAL);
            assertEquals(2, json(standing.line()).path("seq").asLong());
            fresh.readHead();
            assertEquals(2, json(fresh.line()).path("seq").asLong());
        }
    }

    @Test
    void anOutageEndsByItself() throws IOException {
        server.outage(Duration.ofMillis(20));
        try (RawHttpClient client = watch(1)) {
            assertEquals("", client.line());
            assertEquals(DiscoveryMode.NORMAL, server.mode());
        }
    }

    @Test
    void watchesMayFallSilentBehindTheirHead() throws IOException {
        server.mode(DiscoveryMode.SILENT_WATCHES);
        try (RawHttpClient client = watch(0)) {
            changeOne();
            awaitEventLoop();
            assertEquals(0, server.traffic().get(0).wholeLists());
            assertEquals(0, server.traffic().get(0).changeLines());
            server.mode(DiscoveryMode.NORMAL);
            assertEquals(ENDPOINTS, json(client.line()).path("hosts").size());
        }
    }

    @Test
    void aFirstLineMayBreakOff() throws IOException {
        server.mode(DiscoveryMode.FIRST_LINE_BREAKS_OFF);
        try (RawHttpClient client = watch(0)) {
            assertNull(client.line());
            final int whole = history.lineAfter(0).length;
            assertTrue(client.bytesRead() > whole / 2 && client.bytesRead() < whole, "half of it has come");
        }
    }

    @Test
    void aFirstLineMayNeverEnd() throws IOException {
        server.mode(DiscoveryMode.FIRST_LINE_NEVER_ENDS);
        final int tenTimesTheList = 10 * history.lineAfter(0).length;
        try (RawHttpClient client = watch(0)) {
            while (client.bytesRead() < tenTimesTheList) {
                assertNotEquals('\n', client.next());
            }
        }
        BoundedWait.until("the server's counts", () -> !server.traffic().get(0).open());
        try (RawHttpClient client = new RawHttpClient(server.address())) {
            client.request("GET /discovery/hosts", "");
            assertEquals(200, client.status(), "the server goes on once the reader has left");
        }
    }

    @Test
    void aFirstLineMayRepeatAnEntry() throws IOException {
        server.mode(DiscoveryMode.FIRST_LINE_REPEATS_AN_ENTRY);
        try (RawHttpClient client = watch(0)) {
            final List<String> hosts = json(client.line()).path("hosts").findValuesAsText("host");
            assertEquals(ENDPOINTS + 1, hosts.size());
            assertEquals(ENDPOINTS, new HashSet<>(hosts).size());
        }
    }

    @Test
    void aFirstLineMayBeOlderThanWhatWasAskedFor() throws IOException {
        changeOne();
        changeOne();
        server.mode(DiscoveryMode.FIRST_LINE_OLDER_VERSION);
        try (RawHttpClient client = watch(3)) {
            final JsonNode list = json(client.line());
            assertTrue(list.path("whole").asBoolean());
            assertEquals(2, list.path("seq").asLong());
        }
    }

    @Test
    void aFirstLineMayBeIndented() throws IOException {
        server.mode(DiscoveryMode.FIRST_LINE_INDENTED);
        try (RawHttpClient client = watch(0)) {
            final StringBuilder text = new StringBuilder();
            int lines = 0;
            for (String line = ""; !line.equals("}"); lines++) {
                line = client.line();
                text.append(line).append('\n');
            }
            assertTrue(lines > ENDPOINTS, lines + " lines");
            assertEquals(ENDPOINTS, json(text.toString()).path("hosts").size());
        }
    }

    @Test
    void afterAMoveTheOldAddressRefusesAndItsConnectionsEnd() throws IOException {
        final InetSocketAddress old = server.address();
        try (RawHttpClient client = watch(1)) {
            assertEquals("", client.line());
            final InetSocketAddress moved = server.move();
            assertNotEquals(old, moved);
            assertThrows(ConnectException.class, () -> new RawHttpClient(old).close());
            changeOne();
            assertEquals(2, json(client.line()).path("seq").asLong(), "open connections are served for a while");
            assertNull(client.line(), "and end then");
            try (RawHttpClient fresh = watch(1)) {
                assertEquals(2, json(fresh.line()).path("seq").asLong());
            }
        }
    }

    @Test
    void noticesAreReadAndWhatCannotBeReadIsRefusedWhole() throws IOException {
        try (RawHttpClient client = new RawHttpClient(server.address())) {
            client.request(
                    "POST /v1/outcomes",
                    "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n"
                            + "{\"id\":\"m2\",\"status\":\"deferred\",\"again_ms\":500}\n");
            assertEquals(204, client.status());
            client.request("POST /v1/outcomes", "{\"id\":\"m3\",\"status\":\"undeliverable\"}\n{\"id\":\n");
            assertEquals(400, client.status());
            client.request("POST /v1/outcomes", "{\"id\":\"m4\",\"status\":\"lost\"}\n");
            assertEquals(400, client.status());
        }
        assertEquals(
                List.of(
                        new Outcome("m1", Outcome.Status.UNDELIVERABLE, 0),
                        new Outcome("m2", Outcome.Status.DEFERRED, 500)),
                server.outcomes());
    }
}
