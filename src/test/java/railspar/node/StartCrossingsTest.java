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

/** A start with much to take up: what is due at once, what was never tried, and a discovery that is silent. */
final class StartCrossingsTest extends AbstractCourierProcessTest {
    private static final long READY_MS = 10_000;
    private static final long DISK_BYTES = 3_000_000;
    private static final int EACH = 300;

    @BeforeEach
    void configure() {
        fixture.maxOpen = 2 * EACH;
        fixture.discovery = "pushed";
    }

    /** Leaves messages as a process that was killed would: taken on, and never sent. */
    private void hold(final String prefix, final long leftMs) throws IOException {
        try (Journal journal = Journal.open(folder.resolve("state"), DISK_BYTES)) {
            final long validUntilUs = (System.currentTimeMillis() + leftMs) * 1000;
            for (int count = 0; count < EACH; count++) {
                assertTrue(JournalTest.accepts(
                        journal,
                        new AcceptedMessage(prefix + count, "safe", null, null, 7, validUntilUs, new byte[800])));
            }
        }
    }

    private static Set<String> all(final String prefix) {
        return IntStream.range(0, EACH).mapToObj(count -> prefix + count).collect(Collectors.toSet());
    }

    private Set<String> called() {
        return new HashSet<>(fixture.first.ids());
    }

    @Test
    void aFullJournalAndASilentDiscoveryDoNotKeepItFromItsClients() throws IOException {
        fixture.firstWatchLine = "";
        hold("late", -1000);
        hold("held", 15_000);
        final long fromNs = System.nanoTime();
        fixture.start();
        final long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - fromNs);
        assertTrue(tookMs < READY_MS, "ready after " + tookMs + " ms");
        assertEquals(202, fixture.submit("new", "safe").status());
        fixture.await(
                "an end for each whose time is up",
                () -> all("late").stream().allMatch(id -> fixture.hasNotice(id, "deferred")));
        fixture.await("a call for each that was never tried", () -> called().containsAll(all("held")));
        final Set<String> again = new HashSet<>(called());
        again.retainAll(all("late"));
        assertEquals(Set.of(), again, "what is over is not sent");
        assertEquals(
                List.of(),
                fixture.notices.stream().filter(line -> line.contains("\"held")).toList());
    }
}
