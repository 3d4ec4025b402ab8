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
        rig.heap = "-Xmx" + HEAP_MB + "m";
        rig.maxOpen = 1_000_000;
        rig.diskMb = 1000;
        final FakeServer shut = new FakeServer((request, connection) -> {});
        shut.close();
        rig.hosts = Rig.host("e0", shut, "Ready");
    }

    private static String message(final int index) {
        return Rig.message("m" + index, "safe", "x".repeat(BODY_BYTES));
    }

    private int up() throws IOException {
        return rig.send("GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .status();
    }

    @Test
    void itRefusesBeforeItsHeapIsFullAndStartsAgainFromWhatItTookOn() throws Exception {
        rig.start();
        int taken = 0;
        int refused = 0;
        try (Socket socket = rig.connect()) {
            for (int index = 0; index < HANDED_IN; index++) {
                final Rig.Answer answer = Rig.send(socket, message(index));
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
        rig.killAndRestart();
        assertEquals(200, up());
        assertTrue(rig.log.stream().anyMatch(line -> line.equals("resumed " + resumed + " messages")), "" + rig.log);
        assertEquals(503, rig.send(message(HANDED_IN)).status(), "it is as full as before");
        assertEquals(
                0,
                rig.log.stream()
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
                assertTrue(
                        JournalTest.takes(journal, new AcceptedMessage("m" + index, "safe", null, null, 7, validUntilUs, body)));
            }
        }
        rig.start();
        assertTrue(rig.log.stream().anyMatch(line -> line.equals("resumed " + fits + " messages")), "" + rig.log);
        assertTrue(rig.log.stream().anyMatch(line -> line.contains("nothing new is taken on")), "" + rig.log);
        assertEquals(503, rig.handIn("late", "safe").status());
        assertEquals(200, up());
    }
}
