package railspar.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import railspar.Courier;

/** What outlasts the process, and what a kill in the middle of a write leaves of it. */
final class JournalTest {
    private static final long DISK_BYTES = 100_000;

    @TempDir
    private Path folder;

    private static AcceptedMessage held(final String id, final int bytes) {
        return new AcceptedMessage(id, "keyed", "key-" + id, null, 7, 5_000_000, new byte[bytes]);
    }

    /** True if the journal takes that message on. */
    static boolean takes(final Journal journal, final AcceptedMessage held) {
        return journal.accept(held) == Journal.Admission.ACCEPTED;
    }

    private List<AcceptedMessage> reopened() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            return List.copyOf(journal.openMessages());
        }
    }

    @Test
    void keepsWhatIsOwedAndForgetsWhatIsOver() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            final AcceptedMessage sent =
                    new AcceptedMessage("sent", "keyed", "k", "team-1", 7, 5_000_000, new byte[] {1, 2, 3});
            final AcceptedMessage over = held("over", 3);
            final AcceptedMessage ended = held("ended", 3);
            Stream.of(sent, over, ended).forEach(one -> assertTrue(takes(journal, one)));
            assertTrue(journal.beginAttempt(sent, 1000, "a"));
            journal.endAttempt(sent, true);
            assertTrue(journal.beginAttempt(sent, 2000, "b"));
            journal.complete(over);
            journal.recordNotice(ended, new AcceptedMessage.Notice(false, 700));
        }
        final List<AcceptedMessage> live = reopened();
        assertEquals(List.of("sent", "ended"), live.stream().map(one -> one.id).toList());
        final AcceptedMessage sent = live.get(0);
        assertArrayEquals(new byte[] {1, 2, 3}, sent.body);
        assertEquals("k", sent.idempotencyKey);
        assertEquals("team-1", sent.orderKey, "its order outlasts the process");
        final Clock clock = new Clock();
        final Courier.AttemptHistory past = sent.historyAfterInterruption(clock);
        assertEquals(2, past.attempts());
        assertTrue(past.mayHaveTakenEffect(), "the attempt that was out may have run");
        assertEquals("b", past.effectZone());
        assertEquals(
                2000, clock.toPersistentUs(past.firstEffectUs()), 50_000, "the refused attempt before does not count");
        assertEquals(new AcceptedMessage.Notice(false, 700), live.get(1).notice());
    }

    @Test
    void aTornTailIsCutAndWhatStandsBeforeItIsKept() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            assertTrue(takes(journal, held("whole", 50)));
            assertTrue(takes(journal, held("torn", 50)));
        }
        final Path file = folder.resolve("journal");
        final byte[] all = Files.readAllBytes(file);
        for (int cut = 1; cut < 60; cut++) {
            Files.write(file, Arrays.copyOf(all, all.length - cut));
            assertEquals(
                    List.of("whole"), reopened().stream().map(one -> one.id).toList());
        }
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            assertTrue(takes(journal, held("next", 50)));
        }
        assertEquals(
                List.of("whole", "next"), reopened().stream().map(one -> one.id).toList());
    }

    @Test
    void aRecordThatDoesNotMatchItsSumIsTheEnd() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            assertTrue(takes(journal, held("whole", 50)));
            assertTrue(takes(journal, held("spoilt", 50)));
        }
        final Path file = folder.resolve("journal");
        final byte[] all = Files.readAllBytes(file);
        all[all.length - 30] ^= 1;
        Files.write(file, all);
        assertEquals(List.of("whole"), reopened().stream().map(one -> one.id).toList());
    }

    @Test
    void staysInsideItsDiskHoweverLongItRuns() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            final AcceptedMessage staying = held("staying", 500);
            assertTrue(takes(journal, staying));
            assertTrue(journal.beginAttempt(staying, 3000, "a"));
            for (int round = 0; round < 2000; round++) {
                final AcceptedMessage passing = held("m" + round, 200);
                assertTrue(takes(journal, passing));
                assertTrue(journal.beginAttempt(passing, round, "a"));
                journal.endAttempt(passing, false);
                journal.complete(passing);
                assertTrue(used() < DISK_BYTES / 2, "used: " + used());
            }
        }
        final List<AcceptedMessage> live = reopened();
        assertEquals(List.of("staying"), live.stream().map(one -> one.id).toList());
        assertTrue(live.get(0).hasAttemptInFlight(), "a compaction keeps the attempt that is out");
    }

    @Test
    void takesNothingOnWhenItIsFullButStillRecordsEnds() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            int taken = 0;
            while (taken < 1000 && takes(journal, held("m" + taken, 1000))) {
                taken++;
            }
            assertTrue(taken > 10 && taken < 100, "taken: " + taken);
            for (final AcceptedMessage one : List.copyOf(journal.openMessages())) {
                for (int attempt = 0; attempt < 12; attempt++) {
                    assertTrue(journal.beginAttempt(one, attempt, "a"), "room for how messages fare is kept");
                    journal.endAttempt(one, true);
                }
                journal.recordNotice(one, new AcceptedMessage.Notice(true, 0));
            }
            assertFalse(takes(journal, held("late", 1000)));
            journal.complete(journal.openMessages().iterator().next());
            assertTrue(takes(journal, held("later", 1000)));
            assertTrue(used() < DISK_BYTES, "used: " + used());
        }
    }

    /** Room for so many messages of that size. */
    private static MemoryBudget memoryFor(final int messages, final int bytes) {
        return MemoryBudget.of(messages * MemoryBudget.bytesOf(held("m0", bytes)));
    }

    @Test
    void takesNothingOnBeyondItsMemoryUntilAMessageIsOver() throws IOException {
        final MemoryBudget memory = memoryFor(3, 100);
        try (Journal journal = Journal.open(folder, DISK_BYTES, memory)) {
            for (int index = 0; index < 3; index++) {
                assertTrue(takes(journal, held("m" + index, 100)));
            }
            assertFalse(takes(journal, held("m3", 100)));
            assertFalse(journal.contains("m3"), "what is refused is not held");
            final AcceptedMessage first = journal.openMessages().iterator().next();
            journal.recordNotice(first, new AcceptedMessage.Notice(true, 0));
            assertFalse(takes(journal, held("m3", 100)), "a notice that is owed is still held");
            journal.complete(first);
            journal.complete(first);
            assertTrue(takes(journal, held("m3", 100)));
            assertFalse(takes(journal, held("m4", 100)), "what is over twice is released once");
            journal.openMessages().forEach(journal::complete);
            assertEquals(0, memory.usedBytes());
        }
    }

    @Test
    void aMessageThatTheDiskRefusesTakesNoMemory() throws IOException {
        final MemoryBudget memory = MemoryBudget.unlimited();
        try (Journal journal = Journal.open(folder, DISK_BYTES, memory)) {
            int taken = 0;
            while (takes(journal, held("m0" + taken, 1000))) {
                taken++;
            }
            final long expected = journal.openMessages().stream()
                    .mapToLong(MemoryBudget::bytesOf)
                    .sum();
            assertEquals(expected, memory.usedBytes());
        }
    }

    @Test
    void whatIsOwedIsHeldBeyondTheMemoryAndNothingNewIsTakenUntilItIsBelow() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            for (int index = 0; index < 5; index++) {
                assertTrue(takes(journal, held("m" + index, 100)));
            }
            journal.complete(journal.openMessages().iterator().next());
        }
        final MemoryBudget memory = memoryFor(3, 100);
        try (Journal journal = Journal.open(folder, DISK_BYTES, memory)) {
            assertEquals(4, journal.openMessages().size(), "nothing that is owed is dropped");
            assertEquals(4 * MemoryBudget.bytesOf(held("m0", 100)), memory.usedBytes(), "what was over is not charged");
            assertTrue(journal.acceptInherited(held("m5", 100)), "nor is what a process that leaves took on");
            for (int left = 5; left >= 3; left--) {
                assertFalse(takes(journal, held("m9", 100)), "held: " + left);
                journal.complete(journal.openMessages().iterator().next());
            }
            assertTrue(takes(journal, held("m9", 100)));
        }
    }

    @Test
    void anUnfinishedCompactionIsDropped() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            assertTrue(takes(journal, held("kept", 50)));
        }
        Files.write(folder.resolve("journal.next"), new byte[] {1, 2, 3}, StandardOpenOption.CREATE);
        assertEquals(List.of("kept"), reopened().stream().map(one -> one.id).toList());
        assertFalse(Files.exists(folder.resolve("journal.next")));
    }

    private long used() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.mapToLong(file -> file.toFile().length()).sum();
        }
    }
}
