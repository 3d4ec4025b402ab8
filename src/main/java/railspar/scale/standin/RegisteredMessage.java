package railspar.scale.standin;

/**
 * What the simulated destinations must know of a message that a client submits.
 *
 * @param id the message id
 * @param destination the destination number
 * @param key the message key in a class with ordered delivery, or null
 * @param sequence the position in the order of the key
 * @param idempotent true if it may be executed more than once
 */
public record RegisteredMessage(String id, long destination, String key, long sequence, boolean idempotent) {}
