package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A start with many stored messages, some of them expired and some never sent, while the discovery agent is silent. */
final class StartCrossingsTest extends AbstractCourierProcessTest {
    private static final long MAX_START_MS = 10_000;
    private static final long DISK_BYTES = 3_000_000;
    private static final int MESSAGES_PER_GROUP = 300;

    @BeforeEach
    void configure() {
        fixture.maxOpen = 2 * MESSAGES_PER_GROUP;
        fixture.discovery = "pushed";
    }

    /** Stores messages as a killed process leaves them: accepted, and never sent. */
    private void storeAccepted(final String prefix, final long remainingMs) throws IOException {
        try (Journal journal = Journal.open(folder.resolve("state"), DISK_BYTES)) {
            final long validUntilUs = (System.currentTimeMillis() + remainingMs) * 1000;
            for (int count = 0; count < MESSAGES_PER_GROUP; count++) {
                assertTrue(JournalTest.accepts(
                        journal,
                        new AcceptedMessage(prefix + count, "safe", null, null, 7, validUntilUs, new byte[800])));
            }
        }
    }

    private static Set<String> ids(final String prefix) {
        return IntStream.range(0, MESSAGES_PER_GROUP)
                .mapToObj(count -> prefix + count)
                .collect(Collectors.toSet());
    }

    private Set<String> calledIds() {
        return new HashSet<>(fixture.first.ids());
    }

    @Test
    void startsServingClientsInTimeWithAFullJournalAndSilentDiscovery() throws IOException {
        fixture.firstWatchLine = "";
        storeAccepted("late", -1000);
        storeAccepted("held", 15_000);
        final long startNs = System.nanoTime();
        fixture.start();
        final long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
        assertTrue(elapsedMs < MAX_START_MS, "ready after " + elapsedMs + " ms");
        assertEquals(202, fixture.submit("new", "safe").status());
        fixture.await(
                "a notice for each expired message",
                () -> ids("late").stream().allMatch(id -> fixture.hasNotice(id, "deferred")));
        fixture.await(
                "a call for each message that was never sent", () -> calledIds().containsAll(ids("held")));
        final Set<String> resent = new HashSet<>(calledIds());
        resent.retainAll(ids("late"));
        assertEquals(Set.of(), resent, "expired messages are not sent");
        assertEquals(
                List.of(),
                fixture.notices.stream().filter(line -> line.contains("\"held")).toList());
    }
}
