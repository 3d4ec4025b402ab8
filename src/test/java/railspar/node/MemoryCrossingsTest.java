package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A real courier that gets more messages than fit into its heap, while no other limit is reached. */
final class MemoryCrossingsTest extends AbstractCourierProcessTest {
    private static final int HEAP_MB = 40;
    private static final int BODY_BYTES = 60_000;
    /** Three times the number of message bodies that would fill the heap. */
    private static final int SUBMITTED_MESSAGES = 3 * HEAP_MB * (1 << 20) / BODY_BYTES;

    @BeforeEach
    void configure() throws IOException {
        fixture.heap = "-Xmx" + HEAP_MB + "m";
        fixture.maxOpen = 1_000_000;
        fixture.diskMb = 1000;
        final FakeServer closedServer = new FakeServer((request, connection) -> {});
        closedServer.close();
        fixture.hosts = CourierProcessFixture.hostEntry("e0", closedServer, "Ready");
    }

    private static String message(final int index) {
        return CourierProcessFixture.message("m" + index, "safe", "x".repeat(BODY_BYTES));
    }

    private int upStatus() throws IOException {
        return fixture.send("GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .status();
    }

    @Test
    void itRefusesBeforeItsHeapIsFullAndStartsAgainFromWhatItTookOn() throws Exception {
        fixture.start();
        int accepted = 0;
        int rejected = 0;
        try (Socket socket = fixture.connect()) {
            for (int index = 0; index < SUBMITTED_MESSAGES; index++) {
                final CourierProcessFixture.Answer answer = CourierProcessFixture.send(socket, message(index));
                if (answer.status() == 202) {
                    accepted++;
                } else {
                    assertEquals(503, answer.status());
                    assertTrue(answer.head().contains("retry-after: 1.000"), answer.head());
                    rejected++;
                }
            }
        }
        assertEquals(SUBMITTED_MESSAGES, accepted + rejected);
        assertTrue(accepted > 100, "accepted: " + accepted);
        assertTrue(rejected > 0, "rejected: " + rejected);
        assertEquals(200, upStatus());
        final int resumed = accepted;
        fixture.killAndRestart();
        assertEquals(200, upStatus());
        assertTrue(
                fixture.log.stream().anyMatch(line -> line.equals("resumed " + resumed + " messages")),
                "" + fixture.log);
        assertEquals(
                503, fixture.send(message(SUBMITTED_MESSAGES)).status(), "the budget is used up as before the restart");
        assertEquals(
                0,
                fixture.log.stream()
                        .filter(line -> line.contains("OutOfMemoryError"))
                        .count());
    }

    @Test
    void aJournalBeyondTheMemoryBudgetIsLoadedAndNewMessagesAreRejected() throws Exception {
        final int storedMessages = HEAP_MB * (1 << 20) / 2 / BODY_BYTES;
        try (Journal journal = Journal.open(folder.resolve("state"), 1_000_000_000)) {
            final long validUntilUs = (System.currentTimeMillis() + 60_000) * 1000;
            final byte[] body = "x".repeat(BODY_BYTES).getBytes(StandardCharsets.ISO_8859_1);
            for (int index = 0; index < storedMessages; index++) {
                assertTrue(JournalTest.accepts(
                        journal, new AcceptedMessage("m" + index, "safe", null, null, 7, validUntilUs, body)));
            }
        }
        fixture.start();
        assertTrue(
                fixture.log.stream().anyMatch(line -> line.equals("resumed " + storedMessages + " messages")),
                "" + fixture.log);
        assertTrue(fixture.log.stream().anyMatch(line -> line.contains("nothing new is taken on")), "" + fixture.log);
        assertEquals(503, fixture.submit("late", "safe").status());
        assertEquals(200, upStatus());
    }
}
