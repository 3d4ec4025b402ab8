package railspar.list;

import java.io.IOException;

/** A list that cannot be taken. It has changed nothing. */
public final class ListFormatException extends IOException {
    private static final long serialVersionUID = 1L;

    /** The kinds of fault. */
    public enum Fault {
        /** Not JSON, or not an object. */
        MALFORMED,
        /** An object ends before it is whole. */
        TRUNCATED,
        /** One object names an endpoint twice. */
        REPEATED_ENTRY,
        /** An object needs more bytes than the caller allows. */
        TOO_LARGE,
        /** A version lower than the one in force. */
        OLDER_VERSION
    }

    private final Fault fault;

    /** Names the fault and says what was found. */
    public ListFormatException(final Fault fault, final String message) {
        super(message);
        this.fault = fault;
    }

    /** The kind of fault. */
    public Fault fault() {
        return fault;
    }
}
