package railspar.scale.fleet;

/** Bytes between one courier and discovery, by the simulated minute. */
final class ControlTraffic {
    /** A request for a watch with its headers, and the head of an answer. */
    static final int REQUEST_BYTES = 100;

    static final int ANSWER_HEAD_BYTES = 90;
    /** What frames a chunk: its length in up to eight digits, and two line ends. */
    static final int CHUNK_BYTES = 12;
    /** An empty line and its frame. */
    static final int EMPTY_LINE_BYTES = 6;

    private static final long MINUTE_US = Units.us(60);

    private final long startUs;
    private final long[] byMinute;
    private long total, firstLists;

    ControlTraffic(final long startUs, final long endUs) {
        this.startUs = startUs;
        this.byMinute = new long[(int) ((endUs - startUs) / MINUTE_US) + 1];
    }

    void count(final long nowUs, final long bytes) {
        total += bytes;
        final int minute = (int) ((nowUs - startUs) / MINUTE_US);
        byMinute[Math.min(minute, byMinute.length - 1)] += bytes;
    }

    /** Counts the whole list that a courier with an empty folder has to fetch: told apart from all else. */
    void countFirstList(final long bytes) {
        total += bytes;
        firstLists += bytes;
    }

    long total() {
        return total;
    }

    /** The part of the total that went for the first list. */
    long firstLists() {
        return firstLists;
    }

    /** The most in one minute, without the first list. */
    long worstMinute() {
        long worst = 0;
        for (final long bytes : byMinute) {
            worst = Math.max(worst, bytes);
        }
        return worst;
    }
}
