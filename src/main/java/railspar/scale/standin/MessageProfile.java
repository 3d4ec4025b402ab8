package railspar.scale.standin;

/**
 * A kind of message that simulated clients submit.
 *
 * @param className the message class, as named in the couriers' configuration
 * @param weight how often it is submitted, relative to the other profiles
 * @param ordered true if the class delivers the messages of a key in order
 * @param idempotent true if a message may be executed more than once
 * @param timeoutMs how long the courier may try to deliver it
 * @param bodyBytes size of the message body
 */
public record MessageProfile(
        String className, double weight, boolean ordered, boolean idempotent, long timeoutMs, int bodyBytes) {
    /** Rejects profiles that could not be submitted. */
    public MessageProfile {
        if (weight <= 0 || timeoutMs < 1 || bodyBytes < 0) {
            throw new IllegalArgumentException("a message profile needs a positive weight, a timeout of at least 1 ms"
                    + " and a body size of at least 0: " + className);
        }
    }
}
