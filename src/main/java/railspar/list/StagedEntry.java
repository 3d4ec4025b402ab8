package railspar.list;

import java.nio.charset.StandardCharsets;
import railspar.Courier;

/**
 * One entry as a list told it, before it is known what the table makes of it. Reused from entry to entry, so that a
 * list of any size is read with one of them.
 */
final class StagedEntry {
    /** The name in UTF-8: {@code nameLength} bytes of the array, from {@code nameFrom} on. */
    byte[] nameBytes = new byte[0];

    int nameFrom;
    int nameLength;
    /** Null where the list's word on it cannot be read. */
    Courier.Condition condition;
    /** False where its destination cannot be read. */
    boolean hasDestination;
    /** False where its address cannot be read. */
    boolean hasAddress;

    int ip;
    int port;
    int zone;
    int kind;
    long destination;
    double weight;
    /** What is wrong with it, or null. */
    String problem;

    void name(final String name) {
        nameBytes = name.getBytes(StandardCharsets.UTF_8);
        nameFrom = 0;
        nameLength = nameBytes.length;
    }

    String name() {
        return new String(nameBytes, nameFrom, nameLength, StandardCharsets.UTF_8);
    }

    /** True if nothing that an endpoint needs is missing, its address aside. */
    boolean isComplete() {
        return hasDestination && condition != null;
    }
}
