package railspar.scale.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The network links of the control machines, over which discovery sends its lists. Each machine serves the couriers of
 * one or more regions, and its concurrent transfers share its bandwidth evenly. Requests are added between two time
 * slices, in the order of their times.
 */
final class ControlUplink {
    /** A transfer of one line of the list to one courier. */
    static final class Transfer {
        private final long requestedAtUs;
        private final int courier;
        private final int region;
        private final long bytes;
        private final Completion completion;
        /** Value of {@link Link#shareBytes} at which this transfer is complete. */
        private double endShareBytes;

        private boolean abandoned;

        /**
         * Creates a request for a transfer.
         *
         * @param requestedAtUs when it was requested
         * @param courier index of the courier that requested it
         * @param region region of that courier
         * @param bytes length of the transfer
         * @param completion called when the last byte has been sent
         */
        Transfer(
                final long requestedAtUs,
                final int courier,
                final int region,
                final long bytes,
                final Completion completion) {
            this.requestedAtUs = requestedAtUs;
            this.courier = courier;
            this.region = region;
            this.bytes = bytes;
            this.completion = completion;
        }

        /** Cancels the rest of the transfer because its connection has ended. */
        void abandon() {
            abandoned = true;
        }
    }

    /** Called when a transfer is complete. */
    @FunctionalInterface
    interface Completion {
        /** The last byte was sent at this time. */
        void completed(long atUs);
    }

    private static final double BYTES_PER_MB = 1e6;
    private static final Comparator<Transfer> BY_REQUEST_TIME = Comparator.<Transfer>comparingLong(
                    transfer -> transfer.requestedAtUs)
            .thenComparingInt(transfer -> transfer.courier);
    private static final Comparator<Transfer> BY_COMPLETION = Comparator.<Transfer>comparingDouble(
                    transfer -> transfer.endShareBytes)
            .thenComparing(BY_REQUEST_TIME);

    private final List<Link> links = new ArrayList<>();

    /** Creates the links of this number of machines, each with this bandwidth; time begins at {@code startUs}. */
    ControlUplink(final int machines, final double megabytesPerSecond, final long startUs) {
        for (int machine = 0; machine < machines; machine++) {
            links.add(new Link(megabytesPerSecond * BYTES_PER_MB / Units.US_PER_SECOND, startUs));
        }
    }

    /** Begins the transfers that were requested in a time slice, and simulates the links to the end of the slice. */
    void runUntil(final long untilUs, final List<Transfer> requested) {
        links.forEach(Link::removeAbandoned);
        requested.stream()
                .sorted(BY_REQUEST_TIME)
                .forEach(transfer -> linkOf(transfer).begin(transfer));
        links.forEach(link -> link.advance(untilUs));
    }

    private Link linkOf(final Transfer transfer) {
        return links.get(transfer.region % links.size());
    }

    /** Bytes sent so far over all links. */
    double bytesSent() {
        return links.stream().mapToDouble(link -> link.bytesSent).sum();
    }

    /** Time for which the busiest link had something to send, in microseconds. */
    double longestBusyUs() {
        return links.stream().mapToDouble(link -> link.busyUs).max().orElse(0);
    }

    /** The network link of one machine, which its transfers share evenly. */
    private static final class Link {
        private final double bytesPerUs;
        private final PriorityQueue<Transfer> transfers = new PriorityQueue<>(BY_COMPLETION);
        private double nowUs;
        /** Bytes that a transfer which has been active since the start would have received. */
        private double shareBytes;

        private double bytesSent, busyUs;

        private Link(final double bytesPerUs, final long startUs) {
            this.bytesPerUs = bytesPerUs;
            this.nowUs = startUs;
        }

        private void removeAbandoned() {
            transfers.removeIf(transfer -> transfer.abandoned);
        }

        private void begin(final Transfer transfer) {
            advance(transfer.requestedAtUs);
            transfer.endShareBytes = shareBytes + transfer.bytes;
            transfers.add(transfer);
        }

        private void advance(final double untilUs) {
            while (!transfers.isEmpty()) {
                final double remainingBytes = transfers.peek().endShareBytes - shareBytes;
                final double endUs = nowUs + remainingBytes * transfers.size() / bytesPerUs;
                if (endUs > untilUs) {
                    break;
                }
                sendUntil(endUs);
                final Transfer ended = transfers.poll();
                shareBytes = ended.endShareBytes;
                if (!ended.abandoned) {
                    ended.completion.completed((long) Math.ceil(endUs));
                }
            }
            sendUntil(Math.max(nowUs, untilUs));
        }

        private void sendUntil(final double toUs) {
            if (!transfers.isEmpty()) {
                final double bytes = (toUs - nowUs) * bytesPerUs;
                shareBytes += bytes / transfers.size();
                bytesSent += bytes;
                busyUs += toUs - nowUs;
            }
            nowUs = toUs;
        }
    }
}
