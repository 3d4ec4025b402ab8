package railspar.scale.fleet;

/** Counts the bytes between one courier and discovery, per simulated minute. */
final class ControlTraffic {
    /** Length of a watch request with its headers. */
    static final int WATCH_REQUEST_BYTES = 100;

    /** Length of the status line and headers of a response. */
    static final int RESPONSE_HEAD_BYTES = 90;
    /** Framing of an HTTP chunk: its length in up to eight digits, and two line ends. */
    static final int CHUNK_FRAMING_BYTES = 12;
    /** Length of a heartbeat: an empty line and its chunk framing. */
    static final int HEARTBEAT_BYTES = 6;

    private static final long MINUTE_US = Units.fromSeconds(60);

    private final long startUs;
    private final long[] bytesByMinute;
    private long totalBytes, initialListBytes;

    ControlTraffic(final long startUs, final long endUs) {
        this.startUs = startUs;
        this.bytesByMinute = new long[(int) ((endUs - startUs) / MINUTE_US) + 1];
    }

    void count(final long nowUs, final long bytes) {
        totalBytes += bytes;
        final int minute = (int) ((nowUs - startUs) / MINUTE_US);
        bytesByMinute[Math.min(minute, bytesByMinute.length - 1)] += bytes;
    }

    /** Counts the whole list that a courier with an empty folder has to fetch; it is excluded from the peak minute. */
    void countInitialList(final long bytes) {
        totalBytes += bytes;
        initialListBytes += bytes;
    }

    long totalBytes() {
        return totalBytes;
    }

    /** The part of the total that was spent on initial lists. */
    long initialListBytes() {
        return initialListBytes;
    }

    /** The largest number of bytes in one minute, without the initial list. */
    long peakMinuteBytes() {
        long peak = 0;
        for (final long bytes : bytesByMinute) {
            peak = Math.max(peak, bytes);
        }
        return peak;
    }
}
