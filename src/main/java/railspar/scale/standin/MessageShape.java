package railspar.scale.standin;

/**
 * A kind of message that clients hand in.
 *
 * @param className its class, as the couriers' settings name it
 * @param weight how often it comes, against the other kinds
 * @param ordered true if the class keeps the order of its keys
 * @param repeatable true if a message of it may run more than once
 * @param timeoutMs for how long it may be delivered
 * @param bodyBytes size of its body
 */
public record MessageShape(
        String className, double weight, boolean ordered, boolean repeatable, long timeoutMs, int bodyBytes) {
    /** Refuses kinds that could not be handed in. */
    public MessageShape {
        if (weight <= 0 || timeoutMs < 1 || bodyBytes < 0) {
            throw new IllegalArgumentException("a kind of message has a weight, a time and a size: " + className);
        }
    }
}
