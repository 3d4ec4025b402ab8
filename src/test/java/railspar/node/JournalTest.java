package railspar.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
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

/**
 * Guards that open messages survive a restart, that a kill during a write loses only the incomplete record, and that
 * the disk and memory limits are kept.
 */
final class JournalTest {
    private static final long DISK_BYTES = 100_000;

    @TempDir
    private Path folder;

    private static AcceptedMessage message(final String id, final int bytes) {
        return new AcceptedMessage(id, "keyed", "key-" + id, null, 7, 5_000_000, new byte[bytes]);
    }

    /** True if the journal accepts the message. */
    static boolean accepts(final Journal journal, final AcceptedMessage message) {
        return journal.accept(message) == Journal.Admission.ACCEPTED;
    }

    private List<AcceptedMessage> reopened() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            return List.copyOf(journal.openMessages());
        }
    }

    @Test
    void openMessagesSurviveReopeningAndCompletedOnesDoNot() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            final AcceptedMessage sent =
                    new AcceptedMessage("sent", "keyed", "k", "team-1", 7, 5_000_000, new byte[] {1, 2, 3});
            final AcceptedMessage completed = message("over", 3);
            final AcceptedMessage withNotice = message("ended", 3);
            Stream.of(sent, completed, withNotice).forEach(message -> assertTrue(accepts(journal, message)));
            assertTrue(journal.beginAttempt(sent, 1000, "a"));
            journal.endAttempt(sent, true);
            assertTrue(journal.beginAttempt(sent, 2000, "b"));
            journal.complete(completed);
            journal.recordNotice(withNotice, new AcceptedMessage.Notice(false, 700));
        }
        final List<AcceptedMessage> messages = reopened();
        assertEquals(
                List.of("sent", "ended"),
                messages.stream().map(message -> message.id).toList());
        final AcceptedMessage sent = messages.get(0);
        assertArrayEquals(new byte[] {1, 2, 3}, sent.body);
        assertEquals("k", sent.idempotencyKey);
        assertEquals("team-1", sent.orderKey, "the order key survives a restart");
        final Clock clock = new Clock();
        final Courier.AttemptHistory history = sent.historyAfterInterruption(clock);
        assertEquals(2, history.attempts());
        assertTrue(history.mayHaveTakenEffect(), "the attempt in flight may have taken effect");
        assertEquals("b", history.effectZone());
        assertEquals(
                2000,
                clock.toPersistentUs(history.firstEffectUs()),
                50_000,
                "the earlier, refused attempt does not count");
        assertEquals(new AcceptedMessage.Notice(false, 700), messages.get(1).notice());
    }

    @Test
    void anIncompleteLastRecordIsTruncatedAndEarlierOnesAreKept() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            assertTrue(accepts(journal, message("whole", 50)));
            assertTrue(accepts(journal, message("torn", 50)));
        }
        final Path file = folder.resolve("journal");
        final byte[] content = Files.readAllBytes(file);
        for (int cutBytes = 1; cutBytes < 60; cutBytes++) {
            Files.write(file, Arrays.copyOf(content, content.length - cutBytes));
            assertEquals(
                    List.of("whole"),
                    reopened().stream().map(message -> message.id).toList());
        }
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            assertTrue(accepts(journal, message("next", 50)));
        }
        assertEquals(
                List.of("whole", "next"),
                reopened().stream().map(message -> message.id).toList());
    }

    @Test
    void readingEndsAtARecordWithAWrongChecksum() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            assertTrue(accepts(journal, message("whole", 50)));
            assertTrue(accepts(journal, message("spoilt", 50)));
        }
        final Path file = folder.resolve("journal");
        final byte[] content = Files.readAllBytes(file);
        content[content.length - 30] ^= 1;
        Files.write(file, content);
        assertEquals(
                List.of("whole"), reopened().stream().map(message -> message.id).toList());
    }

    @Test
    void filesStayWithinTheDiskLimitOverManyMessages() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            final AcceptedMessage longLived = message("staying", 500);
            assertTrue(accepts(journal, longLived));
            assertTrue(journal.beginAttempt(longLived, 3000, "a"));
            for (int round = 0; round < 2000; round++) {
                final AcceptedMessage shortLived = message("m" + round, 200);
                assertTrue(accepts(journal, shortLived));
                assertTrue(journal.beginAttempt(shortLived, round, "a"));
                journal.endAttempt(shortLived, false);
                journal.complete(shortLived);
                assertTrue(bytesOnDisk() < DISK_BYTES / 2, "used: " + bytesOnDisk());
            }
        }
        final List<AcceptedMessage> messages = reopened();
        assertEquals(
                List.of("staying"), messages.stream().map(message -> message.id).toList());
        assertTrue(messages.get(0).hasAttemptInFlight(), "a compaction keeps the attempt in flight");
    }

    @Test
    void aFullJournalRejectsMessagesButStillRecordsOutcomes() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            int accepted = 0;
            while (accepted < 1000 && accepts(journal, message("m" + accepted, 1000))) {
                accepted++;
            }
            assertTrue(accepted > 10 && accepted < 100, "accepted: " + accepted);
            for (final AcceptedMessage message : List.copyOf(journal.openMessages())) {
                for (int attempt = 0; attempt < 12; attempt++) {
                    assertTrue(
                            journal.beginAttempt(message, attempt, "a"), "space for attempts and outcomes is reserved");
                    journal.endAttempt(message, true);
                }
                journal.recordNotice(message, new AcceptedMessage.Notice(true, 0));
            }
            assertFalse(accepts(journal, message("late", 1000)));
            journal.complete(journal.openMessages().iterator().next());
            assertTrue(accepts(journal, message("later", 1000)));
            assertTrue(bytesOnDisk() < DISK_BYTES, "used: " + bytesOnDisk());
        }
    }

    /** A budget for the given number of messages of the given body size. */
    private static MemoryBudget budgetFor(final int messages, final int bytes) {
        return MemoryBudget.of(messages * MemoryBudget.bytesOf(message("m0", bytes)));
    }

    @Test
    void messagesBeyondTheMemoryBudgetAreRejectedUntilOneCompletes() throws IOException {
        final MemoryBudget memory = budgetFor(3, 100);
        try (Journal journal = Journal.open(folder, DISK_BYTES, memory)) {
            for (int index = 0; index < 3; index++) {
                assertTrue(accepts(journal, message("m" + index, 100)));
            }
            assertFalse(accepts(journal, message("m3", 100)));
            assertFalse(journal.contains("m3"), "a rejected message is not open");
            final AcceptedMessage first = journal.openMessages().iterator().next();
            journal.recordNotice(first, new AcceptedMessage.Notice(true, 0));
            assertFalse(accepts(journal, message("m3", 100)), "a message with a pending notice is still charged");
            journal.complete(first);
            journal.complete(first);
            assertTrue(accepts(journal, message("m3", 100)));
            assertFalse(accepts(journal, message("m4", 100)), "a message completed twice is released once");
            journal.openMessages().forEach(journal::complete);
            assertEquals(0, memory.usedBytes());
        }
    }

    @Test
    void aMessageRejectedByTheDiskLimitIsNotChargedToMemory() throws IOException {
        final MemoryBudget memory = MemoryBudget.unlimited();
        try (Journal journal = Journal.open(folder, DISK_BYTES, memory)) {
            int accepted = 0;
            while (accepts(journal, message("m0" + accepted, 1000))) {
                accepted++;
            }
            final long expected = journal.openMessages().stream()
                    .mapToLong(MemoryBudget::bytesOf)
                    .sum();
            assertEquals(expected, memory.usedBytes());
        }
    }

    @Test
    void openMessagesLoadBeyondTheMemoryBudgetAndNewOnesAreRejected() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            for (int index = 0; index < 5; index++) {
                assertTrue(accepts(journal, message("m" + index, 100)));
            }
            journal.complete(journal.openMessages().iterator().next());
        }
        final MemoryBudget memory = budgetFor(3, 100);
        try (Journal journal = Journal.open(folder, DISK_BYTES, memory)) {
            assertEquals(4, journal.openMessages().size(), "no open message is dropped");
            assertEquals(
                    4 * MemoryBudget.bytesOf(message("m0", 100)),
                    memory.usedBytes(),
                    "the completed message is not charged");
            assertTrue(journal.acceptInherited(message("m5", 100)), "a message of a predecessor process is accepted");
            for (int openCount = 5; openCount >= 3; openCount--) {
                assertFalse(accepts(journal, message("m9", 100)), "open messages: " + openCount);
                journal.complete(journal.openMessages().iterator().next());
            }
            assertTrue(accepts(journal, message("m9", 100)));
        }
    }

    @Test
    void anUnfinishedCompactionIsDiscarded() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            assertTrue(accepts(journal, message("kept", 50)));
        }
        Files.write(folder.resolve("journal.next"), new byte[] {1, 2, 3}, StandardOpenOption.CREATE);
        assertEquals(
                List.of("kept"), reopened().stream().map(message -> message.id).toList());
        assertFalse(Files.exists(folder.resolve("journal.next")));
    }

    private long bytesOnDisk() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.mapToLong(file -> file.toFile().length()).sum();
        }
    }

    /** Guards that ended messages are remembered across a restart and a compaction, within a share of the file. */
    @Test
    void endedMessagesAreRememberedAcrossCompactionsWithinALimit() throws IOException {
        final int messages = 2000;
        final EndedMessages.End end = new EndedMessages.End(true, 1_000_000);
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            for (int index = 0; index < messages; index++) {
                final AcceptedMessage message = message("message-%08d".formatted(index), 100);
                assertTrue(accepts(journal, message));
                assertTrue(journal.complete(message, end, 0));
            }
        }
        assertTrue(Files.size(folder.resolve("journal")) <= 0.4 * DISK_BYTES);
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            assertEquals(end, journal.findEnd("message-%08d".formatted(messages - 1), 0));
            assertEquals(end, journal.findEnd("message-%08d".formatted(messages - 100), 0));
            assertNull(journal.findEnd("message-%08d".formatted(0), 0), "the oldest are forgotten");
            assertEquals(List.of(), List.copyOf(journal.openMessages()));
        }
    }
}
