package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** Guards that remembered messages are limited in number, length and time. */
final class EndedMessagesTest {
    private static EndedMessages.End until(final long untilUs) {
        return new EndedMessages.End(true, untilUs);
    }

    @Test
    void theOldestAreForgottenBeyondEitherLimit() {
        final EndedMessages messages = new EndedMessages(3, 10);
        for (final String id : new String[] {"a", "b", "c", "d"}) {
            messages.add(id, until(100), 0);
        }
        assertNull(messages.find("a", 0));
        assertEquals(until(100), messages.find("b", 0));
        messages.add("long-id-8", until(100), 0);
        assertEquals(
                "[Entry[id=d, end=" + until(100) + "], Entry[id=long-id-8, end=" + until(100) + "]]",
                messages.entries().toString());
    }

    @Test
    void eachIsForgottenAfterItsTimeOrWhenItIsOpenAgain() {
        final EndedMessages messages = new EndedMessages(10, 1000);
        messages.add("a", until(100), 0);
        messages.add("b", until(200), 0);
        assertEquals(until(100), messages.find("a", 99));
        assertNull(messages.find("a", 100));
        messages.add("c", until(300), 150);
        assertEquals(2, messages.entries().size(), "what is over is dropped");
        messages.remove("c");
        assertNull(messages.find("c", 0));
        assertEquals(1, messages.entries().size());
    }
}
