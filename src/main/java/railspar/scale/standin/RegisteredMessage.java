package railspar.scale.standin;

/**
 * A message that a client hands in, as the destinations' stand-in must know it.
 *
 * @param id its id
 * @param destination what it is for
 * @param key its key in a class that keeps its order, or null
 * @param sequence its place in the order of its key
 * @param repeatable true if it may run more than once
 */
public record RegisteredMessage(String id, long destination, String key, long sequence, boolean repeatable) {}
