package railspar.scale.standin;

import java.util.List;

/**
 * What clients hand in.
 *
 * @param clients clients, each with one message at a time
 * @param messagesPerSecond how many messages fall due in a second, over all clients
 * @param messages how many in all
 * @param destinations destinations, numbered from 0
 * @param zipfExponent how unevenly they are drawn; 0 for all alike
 * @param shapes the kinds of messages
 * @param seed decides destinations and kinds
 */
public record ClientLoadSettings(
        int clients,
        double messagesPerSecond,
        int messages,
        int destinations,
        double zipfExponent,
        List<MessageShape> shapes,
        long seed) {
    /** Refuses a load that could not be handed in. */
    public ClientLoadSettings {
        if (clients < 1 || messagesPerSecond <= 0 || messages < 0 || shapes.isEmpty()) {
            throw new IllegalArgumentException("a load has clients, a rate and a kind of message");
        }
        shapes = List.copyOf(shapes);
    }
}
