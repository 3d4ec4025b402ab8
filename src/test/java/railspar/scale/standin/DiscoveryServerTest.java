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

/** Checks what the simulated discovery agent sends in each of its modes, and what it counts. */
@Timeout(60)
final class DiscoveryServerTest {
    private static final Duration LONG_HEARTBEAT_INTERVAL = Duration.ofHours(1);
    private static final String WATCH = "GET /discovery/hosts?watch=1&after=";
    private static final int ENDPOINTS = 1700;

    private final List<EndpointEntry> initialEntries =
            new FleetPlan(1, 1000, 1.7, 0, 1, 1, 1).endpoints(new InetSocketAddress("127.0.0.1", 7070));
    private final ListHistory history = new ListHistory(initialEntries);
    private DiscoveryServer server = new DiscoveryServer(history, LONG_HEARTBEAT_INTERVAL);

    @AfterEach
    void stopServer() {
        server.close();
    }

    private RawHttpClient watch(final long after) throws IOException {
        final RawHttpClient client = new RawHttpClient(server.address());
        client.request(WATCH + after, "");
        assertEquals(200, client.status());
        return client;
    }

    private static JsonNode parse(final String text) throws JsonProcessingException {
        return new ObjectMapper().readTree(text);
    }

    private long changeOneEntry() {
        return history.change(List.of(initialEntries.get(0).withHealth(EndpointEntry.Health.TERMINATING)));
    }

    /** Waits until the event loop has run all earlier tasks, because a notice is answered only after them. */
    private void awaitEventLoop() throws IOException {
        try (RawHttpClient notices = new RawHttpClient(server.address())) {
            notices.request("POST /v1/outcomes", "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
            assertEquals(204, notices.status());
        }
    }

    @Test
    void respondsWithTheWholeList() throws IOException {
        try (RawHttpClient client = new RawHttpClient(server.address())) {
            final JsonNode list = parse(client.body(client.request("GET /discovery/hosts", "")));
            assertEquals(1, list.path("seq").asLong());
            assertEquals(ENDPOINTS, list.path("hosts").size());
            client.request("GET /elsewhere", "");
            assertEquals(404, client.status());
        }
    }

    @Test
    void sendsAWatchTheWholeListOnceAndThenChanges() throws IOException {
        try (RawHttpClient client = watch(0)) {
            assertEquals(ENDPOINTS, parse(client.line()).path("hosts").size());
            for (int count = 0; count < 3; count++) {
                final long version = changeOneEntry();
                final JsonNode change = parse(client.line());
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
    void sendsAWatchAfterAVersionTheChangesSinceInOneLine() throws IOException {
        changeOneEntry();
        changeOneEntry();
        try (RawHttpClient client = watch(1)) {
            final JsonNode change = parse(client.line());
            assertEquals(3, change.path("seq").asLong());
            assertEquals(1, change.path("hosts").size());
            assertEquals(0, server.traffic().get(0).wholeLists());
        }
        try (RawHttpClient client = watch(3)) {
            assertEquals("", client.line(), "there are no changes");
        }
    }

    @Test
    void sendsHeartbeatsOnAnIdleWatch() throws IOException {
        server.close();
        server = new DiscoveryServer(history, Duration.ofMillis(5));
        try (RawHttpClient client = watch(1)) {
            for (int count = 0; count < 4; count++) {
                assertEquals("", client.line());
            }
        }
    }

    @Test
    void sendsNothingOfTheListWhileUnavailableButAnswersNotices() throws IOException {
        try (RawHttpClient openWatch = watch(1);
                RawHttpClient newWatch = new RawHttpClient(server.address())) {
            assertEquals("", openWatch.line());
            server.setMode(DiscoveryMode.UNAVAILABLE);
            final long bytesBefore = openWatch.bytesRead();
            BoundedWait.until(
                    "the server's counts", () -> server.traffic().get(0).bytesOut() == bytesBefore);
            newWatch.send(WATCH + "1", "");
            changeOneEntry();
            awaitEventLoop();
            assertEquals(bytesBefore, server.traffic().get(0).bytesOut());
            assertEquals(0, server.traffic().get(1).bytesOut());
            server.setMode(DiscoveryMode.NORMAL);
            assertEquals(2, parse(openWatch.line()).path("seq").asLong());
            newWatch.readHead();
            assertEquals(2, parse(newWatch.line()).path("seq").asLong());
        }
    }

    @Test
    void endsAnOutageAfterItsDuration() throws IOException {
        server.outage(Duration.ofMillis(20));
        try (RawHttpClient client = watch(1)) {
            assertEquals("", client.line());
            assertEquals(DiscoveryMode.NORMAL, server.mode());
        }
    }

    @Test
    void sendsNoLinesOnSilentWatches() throws IOException {
        server.setMode(DiscoveryMode.SILENT_WATCHES);
        try (RawHttpClient client = watch(0)) {
            changeOneEntry();
            awaitEventLoop();
            assertEquals(0, server.traffic().get(0).wholeLists());
            assertEquals(0, server.traffic().get(0).changeLines());
            server.setMode(DiscoveryMode.NORMAL);
            assertEquals(ENDPOINTS, parse(client.line()).path("hosts").size());
        }
    }

    @Test
    void canTruncateTheFirstLine() throws IOException {
        server.setMode(DiscoveryMode.FIRST_LINE_TRUNCATED);
        try (RawHttpClient client = watch(0)) {
            assertNull(client.line());
            final int listBytes = history.lineAfter(0).length;
            assertTrue(
                    client.bytesRead() > listBytes / 2 && client.bytesRead() < listBytes, "half of the list arrived");
        }
    }

    @Test
    void canSendAnEndlessFirstLine() throws IOException {
        server.setMode(DiscoveryMode.FIRST_LINE_ENDLESS);
        final int tenTimesTheList = 10 * history.lineAfter(0).length;
        try (RawHttpClient client = watch(0)) {
            while (client.bytesRead() < tenTimesTheList) {
                assertNotEquals('\n', client.next());
            }
        }
        BoundedWait.until("the server's counts", () -> !server.traffic().get(0).open());
        try (RawHttpClient client = new RawHttpClient(server.address())) {
            client.request("GET /discovery/hosts", "");
            assertEquals(200, client.status(), "the server responds after the client of the endless line disconnected");
        }
    }

    @Test
    void canDuplicateAnEntryInTheFirstLine() throws IOException {
        server.setMode(DiscoveryMode.FIRST_LINE_DUPLICATE_ENTRY);
        try (RawHttpClient client = watch(0)) {
            final List<String> hosts = parse(client.line()).path("hosts").findValuesAsText("host");
            assertEquals(ENDPOINTS + 1, hosts.size());
            assertEquals(ENDPOINTS, new HashSet<>(hosts).size());
        }
    }

    @Test
    void canSendAStaleVersionInTheFirstLine() throws IOException {
        changeOneEntry();
        changeOneEntry();
        server.setMode(DiscoveryMode.FIRST_LINE_STALE_VERSION);
        try (RawHttpClient client = watch(3)) {
            final JsonNode list = parse(client.line());
            assertTrue(list.path("whole").asBoolean());
            assertEquals(2, list.path("seq").asLong());
        }
    }

    @Test
    void canPrettyPrintTheFirstLine() throws IOException {
        server.setMode(DiscoveryMode.FIRST_LINE_INDENTED);
        try (RawHttpClient client = watch(0)) {
            final StringBuilder text = new StringBuilder();
            int lines = 0;
            for (String line = ""; !line.equals("}"); lines++) {
                line = client.line();
                text.append(line).append('\n');
            }
            assertTrue(lines > ENDPOINTS, lines + " lines");
            assertEquals(ENDPOINTS, parse(text.toString()).path("hosts").size());
        }
    }

    @Test
    void refusesConnectionsToTheOldAddressAfterAMoveAndClosesOpenOnes() throws IOException {
        final InetSocketAddress old = server.address();
        try (RawHttpClient client = watch(1)) {
            assertEquals("", client.line());
            final InetSocketAddress moved = server.move();
            assertNotEquals(old, moved);
            assertThrows(ConnectException.class, () -> new RawHttpClient(old).close());
            changeOneEntry();
            assertEquals(2, parse(client.line()).path("seq").asLong(), "open connections are served for a while");
            assertNull(client.line(), "open connections are closed after the grace period");
            try (RawHttpClient newWatch = watch(1)) {
                assertEquals(2, parse(newWatch.line()).path("seq").asLong());
            }
        }
    }

    @Test
    void recordsNoticesAndRejectsMalformedOnesWhole() throws IOException {
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
