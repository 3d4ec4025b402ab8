package railspar.scale.standin;

/** How the simulated discovery agent behaves. */
public enum DiscoveryMode {
    /** It responds and sends changes. */
    NORMAL,
    /** It accepts connections but sends nothing of the list, not even on open watches; notices are answered. */
    UNAVAILABLE,
    /** Open watches get no further lines; new watches get the response head and no lines. */
    SILENT_WATCHES,
    /** The first line of a watch is cut off half-way, and its connection is closed. */
    FIRST_LINE_TRUNCATED,
    /** The first line of a watch never ends. */
    FIRST_LINE_ENDLESS,
    /** The first line of a watch is a whole list that contains one endpoint twice. */
    FIRST_LINE_DUPLICATE_ENTRY,
    /** The first line of a watch is a whole list of an older version than the requested one. */
    FIRST_LINE_STALE_VERSION,
    /** The first line of a watch is a whole list that is pretty-printed over several lines. */
    FIRST_LINE_INDENTED;

    boolean sendsUpdates() {
        return this != UNAVAILABLE && this != SILENT_WATCHES;
    }
}
