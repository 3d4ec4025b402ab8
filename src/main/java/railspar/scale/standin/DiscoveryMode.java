package railspar.scale.standin;

/** How a stand-in of discovery behaves. */
public enum DiscoveryMode {
    /** It answers and tells changes. */
    NORMAL,
    /** It accepts connections and says nothing about the list, on standing watches neither; notices are answered. */
    UNAVAILABLE,
    /** Watches fall silent: what stands and what is asked for anew gets its head and no line any more. */
    SILENT_WATCHES,
    /** The first line of a watch breaks off half-way, and its connection ends. */
    FIRST_LINE_BREAKS_OFF,
    /** The first line of a watch goes on without an end. */
    FIRST_LINE_NEVER_ENDS,
    /** The first line of a watch is a whole list that names one endpoint twice. */
    FIRST_LINE_REPEATS_AN_ENTRY,
    /** The first line of a watch is a whole list of an older version than the one that was asked for. */
    FIRST_LINE_OLDER_VERSION,
    /** The first line of a watch is a whole list over several lines. */
    FIRST_LINE_INDENTED;

    boolean tellsChanges() {
        return this != UNAVAILABLE && this != SILENT_WATCHES;
    }
}
