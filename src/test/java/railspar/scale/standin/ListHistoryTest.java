package railspar.scale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the line for a client that has a version: the changes since, with each endpoint once, or the whole list. */
final class ListHistoryTest {
    private static final InetSocketAddress DIAL = new InetSocketAddress("127.0.0.1", 7070);

    private final List<EndpointEntry> initialEntries = new FleetPlan(1, 10, 1.7, 0, 1, 1, 1).endpoints(DIAL);
    private final ListHistory history = new ListHistory(initialEntries);

    private static JsonNode parse(final byte[] line) throws IOException {
        assertEquals('\n', line[line.length - 1], "the line ends with a line feed");
        return new ObjectMapper().readTree(line);
    }

    @Test
    void encodesAnEntryInTheFormatOfTheProtocol() throws IOException {
        final JsonNode entry = parse(new ListHistory(List.of(new EndpointEntry(
                                "s-5be2a07c", "10.1.0.18:7070", "a", "m2", 3, EndpointEntry.Health.READY, 1.0, 0)))
                        .lineAfter(0))
                .path("hosts")
                .path(0);
        assertEquals(
                "{\"host\":\"s-5be2a07c\",\"dial\":\"10.1.0.18:7070\",\"site\":\"a\",\"class\":\"m2\",\"block\":3,"
                        + "\"health\":\"Ready\",\"share\":1.0,\"born_ms\":0}",
                entry.toString());
    }

    @Test
    void sendsTheWholeListToClientsWithoutAKnownVersion() throws IOException {
        for (final long after : new long[] {-1, 0, 2}) {
            assertTrue(history.isWholeAfter(after));
            final JsonNode line = parse(history.lineAfter(after));
            assertTrue(line.path("whole").asBoolean());
            assertEquals(1, line.path("seq").asLong());
            assertEquals(17, line.path("hosts").size());
        }
        assertSame(history.lineAfter(0), history.lineAfter(0), "the line is encoded once for all clients");
    }

    @Test
    void sendsTheChangesSinceAVersionWithEachEndpointOnce() throws IOException {
        final EndpointEntry one = initialEntries.get(0);
        final EndpointEntry other = initialEntries.get(1);
        assertEquals(2, history.change(List.of(one.withHealth(EndpointEntry.Health.TERMINATING), other)));
        assertEquals(3, history.change(List.of(one.withHealth(EndpointEntry.Health.GONE))));
        assertFalse(history.isWholeAfter(1));
        final JsonNode line = parse(history.lineAfter(1));
        assertFalse(line.path("whole").asBoolean());
        assertEquals(3, line.path("seq").asLong());
        assertEquals(2, line.path("hosts").size());
        assertEquals(
                List.of(other.host() + " Ready", one.host() + " Gone"),
                line.path("hosts").findValues("host").stream()
                        .map(JsonNode::asText)
                        .map(host -> host + (host.equals(one.host()) ? " Gone" : " Ready"))
                        .toList());
        assertEquals(1, parse(history.lineAfter(2)).path("hosts").size());
        assertEquals(0, parse(history.lineAfter(3)).path("hosts").size());
        assertEquals(16, parse(history.lineAfter(0)).path("hosts").size(), "removed endpoints are not in the list");
        assertSame(history.lineAfter(1), history.lineAfter(1), "the line is encoded once for all clients");
    }

    @Test
    void sendsTheWholeListToClientsWithAVersionOlderThanTheRetainedOnes() {
        final ListHistory shortHistory = new ListHistory(initialEntries, 2);
        for (int count = 0; count < 3; count++) {
            shortHistory.change(List.of(initialEntries.get(0)));
        }
        assertTrue(shortHistory.isWholeAfter(1));
        assertFalse(shortHistory.isWholeAfter(2));
    }
}
