package railspar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import railspar.Courier.AttemptHistory;
import railspar.Courier.Effect;
import railspar.Courier.MessageClass;
import railspar.Courier.Result;
import railspar.DeliveryRules.Attempt;
import railspar.DeliveryRules.Transmission;
import railspar.DeliveryRules.Violation;

/** Each decision of {@link DeliveryRules}, with every case on either side of it. */
final class DeliveryRulesTest {
    private static final long WINDOW_US = 1000;
    private static final long FIRST_RUN_US = 5000;
    private static final long INSIDE_US = FIRST_RUN_US + WINDOW_US - 1;
    private static final long BEHIND_US = FIRST_RUN_US + WINDOW_US;
    private static final AttemptHistory FRESH = new AttemptHistory(0, false, 0, "");
    private static final AttemptHistory RAN = new AttemptHistory(1, true, FIRST_RUN_US, "a");

    private static MessageClass kind(final Effect effect, final boolean zoneKeyed) {
        return new MessageClass("kind", effect, zoneKeyed, false, 1, 1, 10_000, 20_000, WINDOW_US);
    }

    private static Attempt attempt(final Effect effect, final AttemptHistory past) {
        return new Attempt(kind(effect, false), true, true, true, past, "a");
    }

    @ParameterizedTest
    @CsvSource({
        "NOT_SENT,NO_CONNECTION,NO_CONNECTION",
        "NOT_SENT,TIMED_OUT,NO_CONNECTION",
        "NOT_SENT,CANCELLED,NOT_SENT",
        "NOT_SENT,NOT_SENT,NOT_SENT",
        "IN_DOUBT,NO_CONNECTION,RESET",
        "IN_DOUBT,TIMED_OUT,TIMED_OUT",
        "IN_DOUBT,CANCELLED,CANCELLED",
        "IN_DOUBT,NOT_SENT,RESET",
        "SENT,NO_CONNECTION,RESET",
        "SENT,TIMED_OUT,TIMED_OUT",
        "SENT,CANCELLED,CANCELLED",
        "SENT,NOT_SENT,RESET"
    })
    void anAttemptSurelyDidNotRunOnlyIfItsRequestSurelyWasNotSent(
            final Transmission request, final Result reason, final Result result) {
        assertEquals(result, DeliveryRules.resultOf(request, reason));
        assertEquals(request == Transmission.NOT_SENT, result.hadNoEffect());
    }

    @ParameterizedTest
    @EnumSource(Transmission.class)
    void aMessageIsWithdrawnOnlyIfItsClientSurelyHeardNothing(final Transmission acceptance) {
        assertEquals(acceptance == Transmission.NOT_SENT, DeliveryRules.mayWithdraw(acceptance));
    }

    @Test
    void onlyWhatDoesNoHarmIsRepeatedOrRefused() {
        for (final Effect effect : Effect.values()) {
            assertTrue(DeliveryRules.mayRepeat(effect, false, false));
            assertTrue(DeliveryRules.mayRefuse(kind(effect, true), false));
        }
        assertTrue(DeliveryRules.mayRepeat(Effect.SAFE, true, false));
        assertTrue(DeliveryRules.mayRepeat(Effect.KEYED, true, true));
        assertFalse(DeliveryRules.mayRepeat(Effect.KEYED, true, false));
        assertFalse(DeliveryRules.mayRepeat(Effect.UNSAFE, true, true));
        assertTrue(DeliveryRules.mayRefuse(kind(Effect.SAFE, false), true));
        assertTrue(DeliveryRules.mayRefuse(kind(Effect.KEYED, false), true));
        assertFalse(DeliveryRules.mayRefuse(kind(Effect.KEYED, true), true));
        assertFalse(DeliveryRules.mayRefuse(kind(Effect.UNSAFE, false), true));
    }

    @Test
    void aRepeatIsWrittenOnlyWhereItDoesNoHarm() {
        assertEquals(Optional.empty(), DeliveryRules.violationOf(attempt(Effect.UNSAFE, FRESH), BEHIND_US));
        assertEquals(
                Optional.of(Violation.REPEAT_OF_UNSAFE),
                DeliveryRules.violationOf(attempt(Effect.UNSAFE, RAN), INSIDE_US));
        assertEquals(Optional.empty(), DeliveryRules.violationOf(attempt(Effect.KEYED, RAN), INSIDE_US));
        assertEquals(
                Optional.of(Violation.REPEAT_AFTER_KEY_WINDOW),
                DeliveryRules.violationOf(attempt(Effect.KEYED, RAN), BEHIND_US));
        assertEquals(Optional.empty(), DeliveryRules.violationOf(attempt(Effect.SAFE, RAN), BEHIND_US));
    }

    @Test
    void aRepeatOfAKeyThatOneZoneKnowsIsWrittenInThatZoneOnly() {
        final MessageClass kind = kind(Effect.KEYED, true);
        assertEquals(
                Optional.empty(), DeliveryRules.violationOf(new Attempt(kind, true, true, true, RAN, "a"), INSIDE_US));
        assertEquals(
                Optional.of(Violation.REPEAT_IN_OTHER_ZONE),
                DeliveryRules.violationOf(new Attempt(kind, true, true, true, RAN, "b"), INSIDE_US));
        assertEquals(
                Optional.empty(),
                DeliveryRules.violationOf(new Attempt(kind, true, true, true, FRESH, "b"), INSIDE_US));
    }

    @Test
    void aCallIsWrittenOnlyIfItIsRecordedAndTheOnlyOneAndItsEndpointAvailable() {
        final MessageClass kind = kind(Effect.SAFE, false);
        assertEquals(
                Optional.of(Violation.CALL_NOT_RECORDED),
                DeliveryRules.violationOf(new Attempt(kind, false, true, true, FRESH, "a"), 0));
        assertEquals(
                Optional.of(Violation.SECOND_CALL_AT_ONCE),
                DeliveryRules.violationOf(new Attempt(kind, true, false, true, FRESH, "a"), 0));
        assertEquals(
                Optional.of(Violation.CALL_TO_UNAVAILABLE_ENDPOINT),
                DeliveryRules.violationOf(new Attempt(kind, true, true, false, FRESH, "a"), 0));
    }

    @Test
    void violationsAreCountedByRule() {
        final DeliveryRules rules = new DeliveryRules();
        rules.count(Violation.REPEAT_OF_UNSAFE);
        rules.count(Violation.REPEAT_OF_UNSAFE);
        rules.count(Violation.CALL_NOT_RECORDED);
        assertEquals(Map.of(Violation.REPEAT_OF_UNSAFE, 2L, Violation.CALL_NOT_RECORDED, 1L), rules.counts());
        assertEquals(3, rules.total());
    }
}
