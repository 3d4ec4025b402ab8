package railspar.scale.standin;

import java.util.List;

/**
 * The load that simulated clients generate.
 *
 * @param clients number of clients, each of which submits one message at a time
 * @param messagesPerSecond messages that fall due per second, over all clients
 * @param messages total number of messages
 * @param destinations number of destinations, which are numbered from 0
 * @param zipfExponent skew of the choice of destinations; 0 makes all equally likely
 * @param profiles the kinds of messages, drawn by weight
 * @param seed determines the destination and profile of each message
 */
public record LoadGeneratorSettings(
        int clients,
        double messagesPerSecond,
        int messages,
        int destinations,
        double zipfExponent,
        List<MessageProfile> profiles,
        long seed) {
    /** Rejects a load that could not be generated. */
    public LoadGeneratorSettings {
        if (clients < 1 || messagesPerSecond <= 0 || messages < 0 || profiles.isEmpty()) {
            throw new IllegalArgumentException("a load needs at least one client, a positive rate,"
                    + " a message count of at least 0 and a message profile");
        }
        profiles = List.copyOf(profiles);
    }
}
