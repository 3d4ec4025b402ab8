package railspar.scale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Checks a destination's rate limit, queue, warm-up and overload failures, with simulated time. */
final class DestinationTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    /** A limit of 100 messages per second with bursts of 10; half of that after an outage, rising for 10 s. */
    private static final DestinationSettings SETTINGS = DestinationSettings.DEFAULT;

    @Test
    void rejectsMessagesAboveTheRateLimitWithARetryDelay() {
        final Destination destination = new Destination(SETTINGS);
        assertEquals(new Destination.Admission(10, 10 * MS), destination.admit(0, 12));
        assertEquals(new Destination.Admission(0, 10 * MS), destination.admit(0, 1));
        assertEquals(new Destination.Admission(1, 0), destination.admit(10 * MS, 1));
        assertEquals(
                new Destination.Admission(10, 10 * MS), destination.admit(SECOND, 11), "the burst size is limited");
        assertEquals(4, destination.counts().turnedAway());
    }

    @Test
    void rejectsCallsWhenSlotsAndQueueAreFullAndStartsQueuedCallsLater() {
        final Destination destination = new Destination(SETTINGS.withCapacity(2, 1));
        final List<String> running = new ArrayList<>();
        for (final String name : List.of("a", "b", "c")) {
            assertEquals(1, destination.admit(0, 1).admitted());
            destination.start(() -> running.add(name));
        }
        assertEquals(List.of("a", "b"), running);
        assertEquals(new Destination.Admission(0, 0), destination.admit(0, 1));
        destination.finish(1);
        assertEquals(List.of("a", "b", "c"), running);
        assertEquals(new DestinationCounts(4, 4, 1, 1, 0, 2, 0), destination.counts());
    }

    @Test
    void neverStartsACancelledCall() {
        final Destination destination = new Destination(SETTINGS.withCapacity(1, 1));
        final List<String> running = new ArrayList<>();
        destination.start(() -> running.add("a"));
        final Destination.Call waiting = () -> running.add("b");
        destination.start(waiting);
        assertTrue(destination.cancel(waiting));
        destination.finish(1);
        assertEquals(List.of("a"), running);
        assertEquals(0, destination.counts().running());
    }

    @Test
    void regainsCapacityLinearlyAfterAnOutage() {
        final Destination destination = new Destination(SETTINGS);
        assertEquals(1, destination.capacityShare(0));
        destination.recover(SECOND);
        assertEquals(0.5, destination.capacityShare(SECOND));
        assertEquals(0.75, destination.capacityShare(6 * SECOND));
        assertEquals(1, destination.capacityShare(11 * SECOND));
        assertEquals(5, destination.admit(SECOND + 100 * MS, 10).admitted(), "half of the limit, for a burst of 0.1 s");
    }

    @Test
    void failsWhenOverloadedDuringTheWarmUpAndWarmsUpAgain() {
        final Destination destination = new Destination(SETTINGS);
        destination.recover(0);
        for (int count = 0; count < 100; count++) {
            destination.admit(MS, 1);
        }
        assertEquals(0, destination.counts().falls(), "exactly twice the capacity does not make it fail");
        destination.admit(MS, 1);
        assertEquals(1, destination.counts().falls());
        assertEquals(
                new Destination.Admission(0, 2 * SECOND - MS),
                destination.admit(2 * MS, 1),
                "it rejects all messages during the failure");
        assertEquals(0, destination.admit(2 * SECOND, 1).admitted());
        assertEquals(0.5, destination.capacityShare(2 * SECOND + MS), "the warm-up starts again after the failure");
        assertEquals(1, destination.admit(3 * SECOND, 1).admitted());
        assertEquals(1, destination.counts().falls());
    }

    @Test
    void doesNotFailFromOverloadAtFullCapacity() {
        final Destination destination = new Destination(SETTINGS);
        destination.admit(0, 10_000);
        assertEquals(0, destination.counts().falls());
    }

    @Test
    void admitsAllMessagesWithoutARateLimit() {
        final Destination destination = new Destination(SETTINGS.withMessagesPerSecond(0));
        assertEquals(new Destination.Admission(10_000, 0), destination.admit(0, 10_000));
        assertEquals(Duration.ofSeconds(10), SETTINGS.warmUp());
    }
}
