package railspar.scale.fleet;

/** Counts of messages by outcome; the counts of several couriers can be added up. */
final class MessageCounts {
    long accepted, delivered, rejected, failed, expired, late, endedTwice;
    /** Open messages of couriers whose folder was lost; the platform gives them to other couriers. */
    long lostWithStateFolder;

    /**
     * Attempts, and deliveries that succeeded at the destination after the courier had stopped waiting or was killed.
     */
    long attempts, unconfirmedDeliveries;

    void add(final MessageCounts other) {
        accepted += other.accepted;
        delivered += other.delivered;
        rejected += other.rejected;
        failed += other.failed;
        expired += other.expired;
        late += other.late;
        endedTwice += other.endedTwice;
        lostWithStateFolder += other.lostWithStateFolder;
        attempts += other.attempts;
        unconfirmedDeliveries += other.unconfirmedDeliveries;
    }

    /** Messages that this fleet no longer has to deliver or reject. */
    long ended() {
        return delivered + rejected + failed + lostWithStateFolder;
    }
}
