package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A courier that is handed in more than its heap holds, with every other limit wide. */
final class MemoryCrossingsTest extends AbstractCourierProcessTest {
    private static final int HEAP_MB = 40;
    private static final int BODY_BYTES = 60_000;
    /** Three times what the heap could hold at the most. */
    private static final int HANDED_IN = 3 * HEAP_MB * (1 << 20) / BODY_BYTES;

    @BeforeEach
    void configure() throws IOException {
        fixture.heap = "-Xmx" + HEAP_MB + "m";
        fixture.maxOpen = 1_000_000;
        fixture.diskMb = 1000;
        final FakeServer shut = new FakeServer((request, connection) -> {});
        shut.close();
        fixture.hosts = CourierProcessFixture.hostEntry("e0", shut, "Ready");
    }

    private static String message(final int index) {
        return CourierProcessFixture.message("m" + index, "safe", "x".repeat(BODY_BYTES));
    }

    private int up() throws IOException {
        return fixture.send("GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .status();
    }

    @Test
    void itRefusesBeforeItsHeapIsFullAndStartsAgainFromWhatItTookOn() throws Exception {
        fixture.start();
        int taken = 0;
        int refused = 0;
        try (Socket socket = fixture.connect()) {
            for (int index = 0; index < HANDED_IN; index++) {
                final CourierProcessFixture.Answer answer = CourierProcessFixture.send(socket, message(index));
                if (answer.status() == 202) {
                    taken++;
                } else {
                    assertEquals(503, answer.status());
                    assertTrue(answer.head().contains("retry-after: 1.000"), answer.head());
                    refused++;
                }
            }
        }
        assertEquals(HANDED_IN, taken + refused);
        assertTrue(taken > 100, "taken on: " + taken);
        assertTrue(refused > 0, "refused: " + refused);
        assertEquals(200, up());
        final int resumed = taken;
        fixture.killAndRestart();
        assertEquals(200, up());
        assertTrue(
                fixture.log.stream().anyMatch(line -> line.equals("resumed " + resumed + " messages")),
                "" + fixture.log);
        assertEquals(503, fixture.send(message(HANDED_IN)).status(), "it is as full as before");
        assertEquals(
                0,
                fixture.log.stream()
                        .filter(line -> line.contains("OutOfMemoryError"))
                        .count());
    }

    @Test
    void aJournalOfALargerHeapIsTakenUpAndNothingNewIsTakenOn() throws Exception {
        final int fits = HEAP_MB * (1 << 20) / 2 / BODY_BYTES;
        try (Journal journal = Journal.open(folder.resolve("state"), 1_000_000_000)) {
            final long validUntilUs = (System.currentTimeMillis() + 60_000) * 1000;
            final byte[] body = "x".repeat(BODY_BYTES).getBytes(StandardCharsets.ISO_8859_1);
            for (int index = 0; index < fits; index++) {
                assertTrue(JournalTest.takes(
                        journal, new AcceptedMessage("m" + index, "safe", null, null, 7, validUntilUs, body)));
            }
        }
        fixture.start();
        assertTrue(
                fixture.log.stream().anyMatch(line -> line.equals("resumed " + fits + " messages")), "" + fixture.log);
        assertTrue(fixture.log.stream().anyMatch(line -> line.contains("nothing new is taken on")), "" + fixture.log);
        assertEquals(503, fixture.submit("late", "safe").status());
        assertEquals(200, up());
    }
}
