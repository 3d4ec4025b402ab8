package railspar.list;

import java.nio.charset.StandardCharsets;
import railspar.Courier;

/**
 * One entry of a list, before it is applied to the table. The object is mutable and reused for every entry, so that a
 * list of any size needs only one.
 */
final class StagedEntry {
    /** Contains the name in UTF-8: {@code nameLength} bytes, starting at {@code nameFrom}. */
    byte[] nameBytes = new byte[0];

    int nameFrom;
    int nameLength;
    /** Null if the list has no valid condition for the endpoint. */
    Courier.Condition condition;
    /** False if the list has no valid destination for the endpoint. */
    boolean hasDestination;
    /** False if the list has no valid address for the endpoint. */
    boolean hasAddress;

    int ip;
    int port;
    int zone;
    int kind;
    long destination;
    double weight;
    /** What is wrong with the entry, or null. */
    String problem;

    void setName(final String name) {
        nameBytes = name.getBytes(StandardCharsets.UTF_8);
        nameFrom = 0;
        nameLength = nameBytes.length;
    }

    String name() {
        return new String(nameBytes, nameFrom, nameLength, StandardCharsets.UTF_8);
    }

    /** True if the entry has all fields that an endpoint needs, except perhaps its address. */
    boolean isComplete() {
        return hasDestination && condition != null;
    }
}
