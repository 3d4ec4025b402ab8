package railspar.node;

/** Why a watch on the list has ended. */
enum WatchEndReason {
    /** The connection never came up. */
    NOT_CONNECTED("could not connect"),
    /** Nothing that keeps it alive has come in time, neither a line nor enough of a long one. */
    SILENT("silent"),
    /** The answer was not 200, or was no HTTP. */
    BAD_ANSWER("bad answer"),
    /** A list that cannot be used. */
    INVALID_LIST("its list cannot be used"),
    /** Discovery ended the answer or the connection. */
    CLOSED_BY_DISCOVERY("closed by discovery"),
    /** Reading or writing failed. */
    CONNECTION_FAILED("connection failed"),
    /** This process has no use for it any more: it follows another one. */
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
