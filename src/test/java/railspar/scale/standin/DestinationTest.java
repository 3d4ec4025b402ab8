package railspar.scale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What a destination bears, with the time told: its limit, its queue, its warming and its falls. */
final class DestinationTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    /** 100 messages a second, 10 of them at once; cold for 10 s from half of that. */
    private static final DestinationSettings SETTINGS = DestinationSettings.DEFAULT;

    @Test
    void messagesAboveTheLimitAreTurnedAwayWithTheTimeUntilThereIsRoom() {
        final Destination destination = new Destination(SETTINGS);
        assertEquals(new Destination.Admission(10, 10 * MS), destination.arrive(0, 12));
        assertEquals(new Destination.Admission(0, 10 * MS), destination.arrive(0, 1));
        assertEquals(new Destination.Admission(1, 0), destination.arrive(10 * MS, 1));
        assertEquals(new Destination.Admission(10, 10 * MS), destination.arrive(SECOND, 11), "no more is saved up");
        assertEquals(4, destination.counts().turnedAway());
    }

    @Test
    void callsBeyondSlotsAndQueueAreTurnedAwayAndTheQueueMovesUp() {
        final Destination destination = new Destination(SETTINGS.withRoom(2, 1));
        final List<String> running = new ArrayList<>();
        for (final String name : List.of("a", "b", "c")) {
            assertEquals(1, destination.arrive(0, 1).taken());
            destination.start(() -> running.add(name));
        }
        assertEquals(List.of("a", "b"), running);
        assertEquals(new Destination.Admission(0, 0), destination.arrive(0, 1));
        destination.finish(1);
        assertEquals(List.of("a", "b", "c"), running);
        assertEquals(new DestinationCounts(4, 4, 1, 1, 0, 2, 0), destination.counts());
    }

    @Test
    void aCallThatIsWithdrawnFromTheQueueNeverRuns() {
        final Destination destination = new Destination(SETTINGS.withRoom(1, 1));
        final List<String> running = new ArrayList<>();
        destination.start(() -> running.add("a"));
        final Destination.Call waiting = () -> running.add("b");
        destination.start(waiting);
        assertTrue(destination.withdraw(waiting));
        destination.finish(1);
        assertEquals(List.of("a"), running);
        assertEquals(0, destination.counts().running());
    }

    @Test
    void afterAnOutageItWarmsUpEvenly() {
        final Destination destination = new Destination(SETTINGS);
        assertEquals(1, destination.warmth(0));
        destination.recover(SECOND);
        assertEquals(0.5, destination.warmth(SECOND));
        assertEquals(0.75, destination.warmth(6 * SECOND));
        assertEquals(1, destination.warmth(11 * SECOND));
        assertEquals(5, destination.arrive(SECOND + 100 * MS, 10).taken(), "half its limit, for a tenth of a second");
    }

    @Test
    void sentFarMoreThanItBearsWhileColdItFallsAndIsColdAgain() {
        final Destination destination = new Destination(SETTINGS);
        destination.recover(0);
        for (int count = 0; count < 100; count++) {
            destination.arrive(MS, 1);
        }
        assertEquals(0, destination.counts().falls(), "twice what it bears is not more than that");
        destination.arrive(MS, 1);
        assertEquals(1, destination.counts().falls());
        assertEquals(new Destination.Admission(0, 2 * SECOND - MS), destination.arrive(2 * MS, 1), "fallen");
        assertEquals(0, destination.arrive(2 * SECOND, 1).taken());
        assertEquals(0.5, destination.warmth(2 * SECOND + MS), "cold again when the fall is over");
        assertEquals(1, destination.arrive(3 * SECOND, 1).taken());
        assertEquals(1, destination.counts().falls());
    }

    @Test
    void warmItDoesNotFallHoweverMuchItIsSent() {
        final Destination destination = new Destination(SETTINGS);
        destination.arrive(0, 10_000);
        assertEquals(0, destination.counts().falls());
    }

    @Test
    void withoutALimitAllThatHaveRoomAreTaken() {
        final Destination destination = new Destination(SETTINGS.withMessagesPerSecond(0));
        assertEquals(new Destination.Admission(10_000, 0), destination.arrive(0, 10_000));
        assertEquals(Duration.ofSeconds(10), SETTINGS.warming());
    }
}
