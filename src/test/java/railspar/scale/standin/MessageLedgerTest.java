package railspar.scale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Checks how the ledger classifies the end of each message, with simulated time. */
final class MessageLedgerTest {
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long TIMEOUT_MS = 1000;
    private static final long LOST_AFTER_NS = TIMEOUT_MS * MS + MessageLedger.GRACE.toNanos();

    private final MessageLedger ledger = new MessageLedger();

    private void submit(final String id, final SubmissionResponse.Result result) {
        ledger.recordSubmission(new ClientMessage(id, "safe", null, TIMEOUT_MS, 1, new byte[0]), 0);
        ledger.recordResponse(id, result, MS);
    }

    private static Outcome outcome(final String id, final Outcome.Status status) {
        return new Outcome(id, status, 0);
    }

    @Test
    void countsResponsesByResult() {
        submit("t", SubmissionResponse.Result.ACCEPTED);
        submit("r", SubmissionResponse.Result.REJECTED);
        submit("f", SubmissionResponse.Result.FAILED);
        submit("n", SubmissionResponse.Result.NO_RESPONSE);
        final LedgerReport report = ledger.report(2 * LOST_AFTER_NS);
        assertEquals(4, report.handedIn());
        assertEquals(1, report.takenOn());
        assertEquals(1, report.refused());
        assertEquals(1, report.failed());
        assertEquals(1, report.noAnswer());
        assertEquals(1, report.lost(), "only accepted messages can be lost");
    }

    @Test
    void countsAnAcceptedMessageAsOpenUntilDeadlineAndGraceAndThenAsLost() {
        submit("m", SubmissionResponse.Result.ACCEPTED);
        assertEquals(1, ledger.report(LOST_AFTER_NS).open());
        assertEquals(0, ledger.report(LOST_AFTER_NS).lost());
        assertEquals(0, ledger.report(LOST_AFTER_NS + 1).open());
        assertEquals(1, ledger.report(LOST_AFTER_NS + 1).lost());
    }

    @Test
    void countsEndsAfterTheGraceAsLate() {
        submit("d", SubmissionResponse.Result.ACCEPTED);
        submit("u", SubmissionResponse.Result.ACCEPTED);
        submit("a", SubmissionResponse.Result.ACCEPTED);
        submit("late", SubmissionResponse.Result.ACCEPTED);
        ledger.recordDelivery("d", LOST_AFTER_NS);
        ledger.recordOutcome(outcome("u", Outcome.Status.UNDELIVERABLE), 5);
        ledger.recordOutcome(outcome("a", Outcome.Status.DEFERRED), 5);
        ledger.recordDelivery("late", LOST_AFTER_NS + 1);
        final LedgerReport report = ledger.report(2 * LOST_AFTER_NS);
        assertEquals(2, report.delivered());
        assertEquals(1, report.undeliverable());
        assertEquals(1, report.deferred());
        assertEquals(1, report.late());
        assertEquals(0, report.lost());
        assertEquals(0, report.duplicates());
    }

    @Test
    void countsRepeatedDeliveriesAsDuplicatesAndIgnoresUnknownIds() {
        submit("m", SubmissionResponse.Result.ACCEPTED);
        for (int count = 0; count < 3; count++) {
            ledger.recordDelivery("m", MS);
        }
        ledger.recordDelivery("unknown", MS);
        ledger.recordOutcome(outcome("unknown", Outcome.Status.DEFERRED), MS);
        assertEquals(2, ledger.report(MS).duplicates());
        assertEquals(1, ledger.report(MS).delivered());
    }

    @Test
    void leavesMessagesWithoutAResponseOutOfAllOtherCounts() {
        submit("n", SubmissionResponse.Result.NO_RESPONSE);
        ledger.recordDelivery("n", MS);
        ledger.recordDelivery("n", MS);
        final LedgerReport report = ledger.report(2 * LOST_AFTER_NS);
        assertEquals(0, report.delivered());
        assertEquals(0, report.duplicates());
        assertEquals(0, report.lost());
    }
}
