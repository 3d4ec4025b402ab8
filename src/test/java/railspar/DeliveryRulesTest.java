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

/** Each rule of {@link DeliveryRules}, with the cases that it allows and those that it forbids. */
final class DeliveryRulesTest {
    private static final long WINDOW_US = 1000;
    private static final long FIRST_EFFECT_US = 5000;
    private static final long INSIDE_WINDOW_US = FIRST_EFFECT_US + WINDOW_US - 1;
    private static final long AFTER_WINDOW_US = FIRST_EFFECT_US + WINDOW_US;
    private static final AttemptHistory NO_ATTEMPTS = new AttemptHistory(0, false, 0, "");
    private static final AttemptHistory MAY_HAVE_TAKEN_EFFECT = new AttemptHistory(1, true, FIRST_EFFECT_US, "a");

    private static MessageClass messageClass(final Effect effect, final boolean dedupPerZone) {
        return new MessageClass("kind", effect, dedupPerZone, false, 1, 1, 10_000, 20_000, WINDOW_US);
    }

    private static Attempt attempt(final Effect effect, final AttemptHistory history) {
        return new Attempt(messageClass(effect, false), true, true, true, history, "a");
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
    void attemptCertainlyHadNoEffectOnlyIfItsRequestWasCertainlyNotSent(
            final Transmission request, final Result reason, final Result result) {
        assertEquals(result, DeliveryRules.resultOf(request, reason));
        assertEquals(request == Transmission.NOT_SENT, result.hadNoEffect());
    }

    @ParameterizedTest
    @EnumSource(Transmission.class)
    void messageIsWithdrawnOnlyIfItsClientCertainlyGotNoAnswer(final Transmission acceptance) {
        assertEquals(acceptance == Transmission.NOT_SENT, DeliveryRules.mayWithdraw(acceptance));
    }

    @Test
    void onlyMessagesWithHarmlessRepeatsAreRepeatedOrRefused() {
        for (final Effect effect : Effect.values()) {
            assertTrue(DeliveryRules.mayRepeat(effect, false, false));
            assertTrue(DeliveryRules.mayRefuse(messageClass(effect, true), false));
        }
        assertTrue(DeliveryRules.mayRepeat(Effect.SAFE, true, false));
        assertTrue(DeliveryRules.mayRepeat(Effect.KEYED, true, true));
        assertFalse(DeliveryRules.mayRepeat(Effect.KEYED, true, false));
        assertFalse(DeliveryRules.mayRepeat(Effect.UNSAFE, true, true));
        assertTrue(DeliveryRules.mayRefuse(messageClass(Effect.SAFE, false), true));
        assertTrue(DeliveryRules.mayRefuse(messageClass(Effect.KEYED, false), true));
        assertFalse(DeliveryRules.mayRefuse(messageClass(Effect.KEYED, true), true));
        assertFalse(DeliveryRules.mayRefuse(messageClass(Effect.UNSAFE, false), true));
    }

    @Test
    void repeatIsSentOnlyIfItIsHarmless() {
        assertEquals(Optional.empty(), DeliveryRules.violationOf(attempt(Effect.UNSAFE, NO_ATTEMPTS), AFTER_WINDOW_US));
        assertEquals(
                Optional.of(Violation.REPEAT_OF_UNSAFE),
                DeliveryRules.violationOf(attempt(Effect.UNSAFE, MAY_HAVE_TAKEN_EFFECT), INSIDE_WINDOW_US));
        assertEquals(
                Optional.empty(),
                DeliveryRules.violationOf(attempt(Effect.KEYED, MAY_HAVE_TAKEN_EFFECT), INSIDE_WINDOW_US));
        assertEquals(
                Optional.of(Violation.REPEAT_AFTER_KEY_WINDOW),
                DeliveryRules.violationOf(attempt(Effect.KEYED, MAY_HAVE_TAKEN_EFFECT), AFTER_WINDOW_US));
        assertEquals(
                Optional.empty(),
                DeliveryRules.violationOf(attempt(Effect.SAFE, MAY_HAVE_TAKEN_EFFECT), AFTER_WINDOW_US));
    }

    @Test
    void repeatOfAKeyKnownInOneZoneIsSentInThatZoneOnly() {
        final MessageClass messageClass = messageClass(Effect.KEYED, true);
        assertEquals(
                Optional.empty(),
                DeliveryRules.violationOf(
                        new Attempt(messageClass, true, true, true, MAY_HAVE_TAKEN_EFFECT, "a"), INSIDE_WINDOW_US));
        assertEquals(
                Optional.of(Violation.REPEAT_IN_OTHER_ZONE),
                DeliveryRules.violationOf(
                        new Attempt(messageClass, true, true, true, MAY_HAVE_TAKEN_EFFECT, "b"), INSIDE_WINDOW_US));
        assertEquals(
                Optional.empty(),
                DeliveryRules.violationOf(
                        new Attempt(messageClass, true, true, true, NO_ATTEMPTS, "b"), INSIDE_WINDOW_US));
    }

    @Test
    void callIsSentOnlyIfRecordedAndTheOnlyOneAndItsEndpointIsAvailable() {
        final MessageClass messageClass = messageClass(Effect.SAFE, false);
        assertEquals(
                Optional.of(Violation.CALL_NOT_RECORDED),
                DeliveryRules.violationOf(new Attempt(messageClass, false, true, true, NO_ATTEMPTS, "a"), 0));
        assertEquals(
                Optional.of(Violation.SECOND_CALL_AT_ONCE),
                DeliveryRules.violationOf(new Attempt(messageClass, true, false, true, NO_ATTEMPTS, "a"), 0));
        assertEquals(
                Optional.of(Violation.CALL_TO_UNAVAILABLE_ENDPOINT),
                DeliveryRules.violationOf(new Attempt(messageClass, true, true, false, NO_ATTEMPTS, "a"), 0));
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
