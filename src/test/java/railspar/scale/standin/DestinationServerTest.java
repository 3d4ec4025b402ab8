package railspar.scale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import railspar.scale.BoundedWait;

/** Checks how the simulated destinations answer calls, and which calls they count as violations. */
@Timeout(60)
final class DestinationServerTest {
    private static final long DESTINATION = 7;
    private static final CallViolations NO_VIOLATIONS = new CallViolations(0, 0, 0, 0, 0, 0, 0);
    private static final DestinationSettings WITHOUT_LIMIT = new DestinationSettings(
            16, 32, 0, true, Duration.ZERO, 0, 2, Duration.ofSeconds(10), 0.5, 2.0, Duration.ofSeconds(2));

    private final AtomicLong nowNs = new AtomicLong(TimeUnit.SECONDS.toNanos(1));
    private final List<String> accepted = new CopyOnWriteArrayList<>();
    private volatile DestinationSettings settings = WITHOUT_LIMIT;
    private DestinationServer server;

    @BeforeEach
    void startServer() {
        server = new DestinationServer(2, destination -> settings, 1, nowNs::get);
        server.onAccepted(accepted::add);
        server.addEndpoint(
                new EndpointEntry("e1", "", "a", FleetPlan.KIND, DESTINATION, EndpointEntry.Health.READY, 1, 0), 0);
    }

    @AfterEach
    void stopServer() {
        server.close();
    }

    private RawHttpClient client(final int addressIndex) throws IOException {
        return new RawHttpClient(server.addresses().get(addressIndex));
    }

    private void register(final String id, final boolean idempotent) {
        server.register(new RegisteredMessage(id, DESTINATION, null, 0, idempotent));
    }

    private static int call(final RawHttpClient client, final String id) throws IOException {
        final int length = client.request("POST /inbox", "hello", "X-Request-ID: " + id, "X-Timeout-Ms: 1500");
        client.body(length);
        return client.status();
    }

    private static String bulk(final String... ids) {
        return java.util.Arrays.stream(ids)
                .map(id -> "{\"id\":\"" + id + "\",\"key\":\"k\",\"body\":\"aGVsbG8=\"}")
                .collect(java.util.stream.Collectors.joining(",", "[", "]"));
    }

    @Test
    void acceptsAndCountsARegisteredMessage() throws IOException {
        register("m1", false);
        try (RawHttpClient client = client(0)) {
            assertEquals(200, call(client, "m1"));
        }
        assertEquals(List.of("m1"), accepted);
        assertEquals(new DestinationCounts(1, 1, 1, 0, 0, 0, 0), server.counts(DESTINATION));
        assertEquals(NO_VIOLATIONS, server.violations());
    }

    @Test
    void answersEachMessageOfABulkCallAndRejectsMalformedCallsWhole() throws IOException {
        register("m1", true);
        register("m2", true);
        register("m3", true);
        try (RawHttpClient client = client(0)) {
            final int length = client.request("POST /inbox/bulk", bulk("m1", "m2"));
            assertEquals(200, client.status());
            assertEquals(
                    "[{\"id\":\"m1\",\"state\":\"accepted\"},{\"id\":\"m2\",\"state\":\"accepted\"}]",
                    client.body(length));
            client.request("POST /inbox/bulk", bulk("m1", "m2", "m3"));
            assertEquals(413, client.status());
            for (final String malformed : List.of("", "[]", "{", bulk("m1", "m1"))) {
                client.request("POST /inbox/bulk", malformed);
                assertEquals(400, client.status(), malformed);
            }
        }
        assertEquals(List.of("m1", "m2"), accepted);
        assertEquals(4, server.violations().malformed());
    }

    @Test
    void rejectsAndCountsUnregisteredMessages() throws IOException {
        register("m1", true);
        server.forget("m1");
        try (RawHttpClient client = client(0)) {
            assertEquals(400, call(client, "m1"));
            assertEquals(400, call(client, "m9"));
        }
        assertEquals(2, server.violations().unknownMessages());
        assertEquals(List.of(), accepted);
    }

    @Test
    void countsConcurrentCopiesOfAMessage() throws IOException {
        register("m1", true);
        server.setHung(DESTINATION, true);
        try (RawHttpClient one = client(0);
                RawHttpClient other = client(0)) {
            one.send("POST /inbox", "hello", "X-Request-ID: m1");
            other.send("POST /inbox", "hello", "X-Request-ID: m1");
            BoundedWait.until("the server's counts", () -> server.violations().concurrentCopies() == 1);
        }
        assertEquals(new CallViolations(0, 0, 0, 1, 0, 0, 0), server.violations());
    }

    @Test
    void countsRepeatedExecutionsOfNonIdempotentMessagesOnly() throws IOException {
        register("safe", true);
        register("once", false);
        try (RawHttpClient client = client(0)) {
            for (int count = 0; count < 2; count++) {
                assertEquals(200, call(client, "safe"));
                assertEquals(200, call(client, "once"));
            }
        }
        assertEquals(new CallViolations(0, 0, 0, 0, 1, 0, 0), server.violations());
    }

    @Test
    void countsMessagesThatArriveAfterALaterOneOfTheirKey() throws IOException {
        server.register(new RegisteredMessage("m1", DESTINATION, "k", 1, true));
        server.register(new RegisteredMessage("m2", DESTINATION, "k", 2, true));
        server.register(new RegisteredMessage("x1", DESTINATION, "other", 1, true));
        try (RawHttpClient client = client(0)) {
            call(client, "m1");
            call(client, "m2");
            call(client, "x1");
            assertEquals(NO_VIOLATIONS, server.violations());
            call(client, "m1");
        }
        assertEquals(new CallViolations(0, 0, 0, 0, 0, 1, 0), server.violations());
    }

    @Test
    void countsCallsToADrainingEndpointAfterTheGracePeriodAndToWrongAddressesAtOnce() throws IOException {
        register("m1", true);
        server.startDrain(DESTINATION, 0);
        nowNs.addAndGet(CallRuleChecker.DRAIN_GRACE.toNanos());
        try (RawHttpClient client = client(0);
                RawHttpClient elsewhere = client(1)) {
            call(client, "m1");
            assertEquals(NO_VIOLATIONS, server.violations());
            nowNs.incrementAndGet();
            call(client, "m1");
            assertEquals(new CallViolations(0, 0, 1, 0, 0, 0, 0), server.violations());
            call(elsewhere, "m1");
            assertEquals(new CallViolations(0, 1, 1, 0, 0, 0, 0), server.violations());
        }
    }

    @Test
    void rejectsAboveTheRateLimitWithARetryDelay() throws IOException {
        register("m1", true);
        settings = WITHOUT_LIMIT.withMessagesPerSecond(1);
        try (RawHttpClient client = client(0)) {
            assertEquals(200, call(client, "m1"));
            assertEquals(429, call(client, "m1"));
            assertEquals("1.000", client.retryAfter());
            nowNs.addAndGet(TimeUnit.SECONDS.toNanos(1));
            assertEquals(200, call(client, "m1"));
        }
        assertEquals(new DestinationCounts(3, 3, 2, 1, 0, 0, 0), server.counts(DESTINATION));
        assertEquals(1, server.counts().size());
    }

    @Test
    void rejectsWith503WhenTheQueueIsFullAndFreesTheSlotOfAClosedConnection() throws IOException {
        register("m1", true);
        register("m2", true);
        settings = new DestinationSettings(
                1, 0, 0, true, Duration.ofHours(1), 0, 1, Duration.ofSeconds(1), 1, 1, Duration.ofSeconds(1));
        try (RawHttpClient other = client(0)) {
            try (RawHttpClient client = client(0)) {
                client.send("POST /inbox", "hello", "X-Request-ID: m1");
                BoundedWait.until(
                        "the server's counts", () -> server.counts(DESTINATION).running() == 1);
                assertEquals(503, call(other, "m2"));
                assertNull(other.retryAfter());
            }
            BoundedWait.until(
                    "the server's counts", () -> server.counts(DESTINATION).running() == 0);
        }
        assertTrue(accepted.isEmpty());
        assertEquals(NO_VIOLATIONS, server.violations());
    }
}
