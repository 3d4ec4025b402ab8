package railspar.scale.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The lines of the control machines, over which discovery sends its lists. Each machine serves the couriers of a
 * region, or of several, and what it sends at one time shares its line evenly. Requests are given between two slices,
 * in the order of their times.
 */
final class ControlUplink {
    /** A line of the list on its way to one courier. */
    static final class Transfer {
        private final long atUs;
        private final int courier;
        private final int region;
        private final long bytes;
        private final Completion completion;
        /** Bytes that the machine has sent to each of its transfers when this one ends. */
        private double endsAtShare;

        private boolean abandoned;

        /**
         * A request for a transfer.
         *
         * @param atUs when it was asked for
         * @param courier who asked
         * @param region where that courier is
         * @param bytes its length
         * @param completion told when the last byte has left
         */
        Transfer(final long atUs, final int courier, final int region, final long bytes, final Completion completion) {
            this.atUs = atUs;
            this.courier = courier;
            this.region = region;
            this.bytes = bytes;
            this.completion = completion;
        }

        /** Its connection has ended: the rest is not sent. */
        void abandon() {
            abandoned = true;
        }
    }

    /** Told of a transfer that has ended. */
    @FunctionalInterface
    interface Completion {
        /** The last byte left at this time. */
        void completed(long atUs);
    }

    private static final double BYTES_PER_MB = 1e6;
    private static final Comparator<Transfer> BY_REQUEST = Comparator.<Transfer>comparingLong(transfer -> transfer.atUs)
            .thenComparingInt(transfer -> transfer.courier);
    private static final Comparator<Transfer> BY_END = Comparator.<Transfer>comparingDouble(
                    transfer -> transfer.endsAtShare)
            .thenComparing(BY_REQUEST);

    private final List<Line> lines = new ArrayList<>();

    /** So many machines, each with a line of this rate; time begins at {@code startUs}. */
    ControlUplink(final int machines, final double megabytesPerSecond, final long startUs) {
        for (int machine = 0; machine < machines; machine++) {
            lines.add(new Line(megabytesPerSecond * BYTES_PER_MB / Units.US_PER_SECOND, startUs));
        }
    }

    /** Begins the transfers that were requested in a slice, and lets time pass to the slice's end. */
    void runUntil(final long untilUs, final List<Transfer> requested) {
        lines.forEach(Line::dropAbandoned);
        requested.stream()
                .sorted(BY_REQUEST)
                .forEach(transfer -> lineOf(transfer).begin(transfer));
        lines.forEach(line -> line.advance(untilUs));
    }

    private Line lineOf(final Transfer transfer) {
        return lines.get(transfer.region % lines.size());
    }

    /** Bytes sent so far, over all lines. */
    double bytesSent() {
        return lines.stream().mapToDouble(line -> line.bytesSent).sum();
    }

    /** Time for which the busiest line had something to send, us. */
    double busiestUs() {
        return lines.stream().mapToDouble(line -> line.busyUs).max().orElse(0);
    }

    /** The line of one machine, shared evenly by what it sends. */
    private static final class Line {
        private final double bytesPerUs;
        private final PriorityQueue<Transfer> transfers = new PriorityQueue<>(BY_END);
        private double nowUs;
        /** Bytes that a transfer has got which has been here from the start. */
        private double share;

        private double bytesSent, busyUs;

        private Line(final double bytesPerUs, final long startUs) {
            this.bytesPerUs = bytesPerUs;
            this.nowUs = startUs;
        }

        private void dropAbandoned() {
            transfers.removeIf(transfer -> transfer.abandoned);
        }

        private void begin(final Transfer transfer) {
            advance(transfer.atUs);
            transfer.endsAtShare = share + transfer.bytes;
            transfers.add(transfer);
        }

        private void advance(final double untilUs) {
            while (!transfers.isEmpty()) {
                final double leftBytes = transfers.peek().endsAtShare - share;
                final double endUs = nowUs + leftBytes * transfers.size() / bytesPerUs;
                if (endUs > untilUs) {
                    break;
                }
                pass(endUs);
                final Transfer ended = transfers.poll();
                share = ended.endsAtShare;
                if (!ended.abandoned) {
                    ended.completion.completed((long) Math.ceil(endUs));
                }
            }
            pass(Math.max(nowUs, untilUs));
        }

        private void pass(final double toUs) {
            if (!transfers.isEmpty()) {
                final double bytes = (toUs - nowUs) * bytesPerUs;
                share += bytes / transfers.size();
                bytesSent += bytes;
                busyUs += toUs - nowUs;
            }
            nowUs = toUs;
        }
    }
}
