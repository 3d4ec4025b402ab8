package railspar.list;

import java.io.IOException;

/** A list that cannot be read or applied. The current list is unchanged. */
public final class ListFormatException extends IOException {
    private static final long serialVersionUID = 1L;

    /** What is wrong with the list. */
    public enum Fault {
        /** The input is not JSON, or not a JSON object. */
        MALFORMED,
        /** The input ends, or an empty line comes, before the object is complete. */
        TRUNCATED,
        /** One object contains two entries for the same endpoint. */
        REPEATED_ENTRY,
        /** An object exceeds the size limits. */
        TOO_LARGE,
        /** The version is lower than that of the current list. */
        OLDER_VERSION
    }

    private final Fault fault;

    /** Creates an exception for a fault, with a message that describes what was found. */
    public ListFormatException(final Fault fault, final String message) {
        super(message);
        this.fault = fault;
    }

    /** What is wrong with the list. */
    public Fault fault() {
        return fault;
    }
}
