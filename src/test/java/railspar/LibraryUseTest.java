package railspar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The README's example as a host would write it, and misuse of the interface. */
final class LibraryUseTest {
    private final ControlFixture transport = new ControlFixture(ControlFixture.settings());

    @Test
    void readmeExampleDeliversAMessage() {
        final Courier.Actions actions = transport;
        final Courier control = new Control(ControlFixture.settings(), 7, actions);
        final long nowUs = transport.nowUs;
        control.onListUpdate(
                nowUs, Courier.ListUpdate.FULL, List.of(ControlFixture.endpoint(1, ControlFixture.DEST, "a")));
        control.onMessage(
                nowUs, new Courier.Message("m", 0, -1, null, nowUs + 16 * ControlFixture.SECOND, ControlFixture.DEST));
        control.decide(nowUs);
        assertEquals(1, transport.attemptCount("m"));
        control.onOutcome(nowUs + 1, new Courier.Outcome("m", Courier.Result.DELIVERED, true, 1, 1, 0, null));
        control.decide(nowUs + 1);
        assertTrue(
                transport.refused.isEmpty() && transport.failed.isEmpty(),
                "a delivered message is neither refused nor failed");
    }

    @Test
    void invalidSettingsAreRejectedWithAReason() {
        final var none = assertThrows(IllegalArgumentException.class, () -> ControlFixture.withCourierCount(0));
        assertTrue(none.getMessage().contains("at least one courier"), none.getMessage());
        assertThrows(IllegalArgumentException.class, () -> ControlFixture.settings(0, 1, false, false));
    }

    @Test
    void outcomeOrExpiryOfAnUnknownMessageIsIgnored() {
        transport.control.onExpired(transport.nowUs, "unknown");
        transport.control.onOutcome(
                transport.nowUs, new Courier.Outcome("unknown", Courier.Result.DELIVERED, true, 1, 1, 0, null));
        transport.control.decide(transport.nowUs);
        assertTrue(transport.sent.isEmpty() && transport.failed.isEmpty() && transport.refused.isEmpty());
    }
}
