package railspar.scale.fleet;

/** What became of messages; the counts of couriers can be added up. */
final class MessageCounts {
    long taken, delivered, refused, failed, givenUp, late, endedTwice;
    /** Held by a courier whose folder was lost; the platform hands them to others. */
    long lostWithFolder;

    /** Attempts, and deliveries that a destination made but whose courier had stopped waiting or was killed. */
    long attempts, deliveriesUnheard;

    void add(final MessageCounts other) {
        taken += other.taken;
        delivered += other.delivered;
        refused += other.refused;
        failed += other.failed;
        givenUp += other.givenUp;
        late += other.late;
        endedTwice += other.endedTwice;
        lostWithFolder += other.lostWithFolder;
        attempts += other.attempts;
        deliveriesUnheard += other.deliveriesUnheard;
    }

    /** Messages that this fleet owes nothing any more. */
    long ended() {
        return delivered + refused + failed + lostWithFolder;
    }
}
