package railspar.node;

/** Why a watch on the list has ended. */
enum WatchEndReason {
    /** The connection could not be established. */
    NOT_CONNECTED("could not connect"),
    /** The watch has timed out: neither a complete line nor enough of a long one has arrived in time. */
    SILENT("silent"),
    /** The status was not 200, or the response was not valid HTTP. */
    BAD_RESPONSE("bad response"),
    /** A list cannot be used. */
    INVALID_LIST("its list cannot be used"),
    /** Discovery has ended the response or the connection. */
    CLOSED_BY_DISCOVERY("closed by discovery"),
    /** Reading or writing has failed. */
    CONNECTION_FAILED("connection failed"),
    /** This process no longer needs the watch, as it follows another one. */
    SUPERSEDED("superseded");

    private final String text;

    WatchEndReason(final String text) {
        this.text = text;
    }

    @Override
    public String toString() {
        return text;
    }
}
