package railspar.scale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** How each message's end is told apart, with the time told. */
final class MessageLedgerTest {
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long TIMEOUT_MS = 1000;
    private static final long LOST_NS = TIMEOUT_MS * MS + MessageLedger.GRACE.toNanos();

    private final MessageLedger ledger = new MessageLedger();

    private void handIn(final String id, final HandInAnswer.Result result) {
        ledger.handedIn(new HandIn(id, "safe", null, TIMEOUT_MS, 1, new byte[0]), 0);
        ledger.answered(id, result, MS);
    }

    private static Outcome outcome(final String id, final Outcome.Status status) {
        return new Outcome(id, status, 0);
    }

    @Test
    void answersAreCountedByWhatTheyMean() {
        handIn("t", HandInAnswer.Result.TAKEN_ON);
        handIn("r", HandInAnswer.Result.REFUSED);
        handIn("f", HandInAnswer.Result.FAILED);
        handIn("n", HandInAnswer.Result.NO_ANSWER);
        final LedgerReport report = ledger.report(2 * LOST_NS);
        assertEquals(4, report.handedIn());
        assertEquals(1, report.takenOn());
        assertEquals(1, report.refused());
        assertEquals(1, report.failed());
        assertEquals(1, report.noAnswer());
        assertEquals(1, report.lost(), "only what was taken on is owed an end");
    }

    @Test
    void aMessageTakenOnIsOpenUntilItsTimeAndTheGraceAreUpAndLostThen() {
        handIn("m", HandInAnswer.Result.TAKEN_ON);
        assertEquals(1, ledger.report(LOST_NS).open());
        assertEquals(0, ledger.report(LOST_NS).lost());
        assertEquals(0, ledger.report(LOST_NS + 1).open());
        assertEquals(1, ledger.report(LOST_NS + 1).lost());
    }

    @Test
    void endsInTimeAreNotLateAndEndsBehindTheGraceAre() {
        handIn("d", HandInAnswer.Result.TAKEN_ON);
        handIn("u", HandInAnswer.Result.TAKEN_ON);
        handIn("a", HandInAnswer.Result.TAKEN_ON);
        handIn("late", HandInAnswer.Result.TAKEN_ON);
        ledger.accepted("d", LOST_NS);
        ledger.noticed(outcome("u", Outcome.Status.UNDELIVERABLE), 5);
        ledger.noticed(outcome("a", Outcome.Status.DEFERRED), 5);
        ledger.accepted("late", LOST_NS + 1);
        final LedgerReport report = ledger.report(2 * LOST_NS);
        assertEquals(2, report.delivered());
        assertEquals(1, report.undeliverable());
        assertEquals(1, report.deferred());
        assertEquals(1, report.late());
        assertEquals(0, report.lost());
        assertEquals(0, report.duplicates());
    }

    @Test
    void acceptancesBeyondTheFirstAreDuplicatesAndUnknownIdsAreIgnored() {
        handIn("m", HandInAnswer.Result.TAKEN_ON);
        for (int count = 0; count < 3; count++) {
            ledger.accepted("m", MS);
        }
        ledger.accepted("unknown", MS);
        ledger.noticed(outcome("unknown", Outcome.Status.DEFERRED), MS);
        assertEquals(2, ledger.report(MS).duplicates());
        assertEquals(1, ledger.report(MS).delivered());
    }

    @Test
    void whatHadNoAnswerCountsForNothingWhateverItsDestinationSaw() {
        handIn("n", HandInAnswer.Result.NO_ANSWER);
        ledger.accepted("n", MS);
        ledger.accepted("n", MS);
        final LedgerReport report = ledger.report(2 * LOST_NS);
        assertEquals(0, report.delivered());
        assertEquals(0, report.duplicates());
        assertEquals(0, report.lost());
    }
}
