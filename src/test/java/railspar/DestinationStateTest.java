package railspar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** State and work of the decisions depend on the destinations in use, not on the length of the list. */
final class DestinationStateTest {
    private static final int SAFE = 0;
    private static final long IN_USE = 10;

    @ParameterizedTest
    @ValueSource(ints = {100, 5_000, 20_000, 45_000})
    void stateAndStepsDependOnTheDestinationsInUseAndNotOnTheList(final int listed) {
        final ControlFixture fixture =
                listing(ControlFixture.withMaxIdleDestinations(ControlFixture.settings(), Integer.MAX_VALUE), listed);
        assertEquals(0, fixture.control.workload().destinationsWithState());
        for (long destination = 0; destination < IN_USE; destination++) {
            fixture.acceptFor("m" + destination, SAFE, destination);
        }
        assertEquals(IN_USE, fixture.control.workload().destinationsWithState());
        fixture.advance(5 * ControlFixture.SECOND);
        assertEquals(5 * IN_USE, fixture.control.workload().routesVisited());
    }

    @Test
    void idleDestinationIsNotVisited() {
        final ControlFixture fixture = listing(new ControlFixture(ControlFixture.settings()), 100);
        fixture.acceptFor("m", SAFE, 7);
        fixture.endAttempt("m", Courier.Result.DELIVERED);
        fixture.advance(60 * ControlFixture.SECOND);
        assertEquals(
                1, fixture.control.workload().routesVisited(), "only the step of the second in which it was served");
    }

    @Test
    void idleDestinationTakesItsMissedStepsWithItsNextMessage() {
        final ControlFixture idle = listing(new ControlFixture(ControlFixture.settings()), 1);
        final ControlFixture active = listing(new ControlFixture(ControlFixture.settings()), 1);
        for (final ControlFixture fixture : List.of(idle, active)) {
            fixture.acceptFor("first", SAFE, 0);
            fixture.advance(ControlFixture.SECOND / 2);
            fixture.endAttempt("first", Courier.Result.DELIVERED);
        }
        for (int second = 0; second < 20; second++) {
            idle.advance(ControlFixture.SECOND);
            active.advance(ControlFixture.SECOND);
            // Any event at a destination makes it active, so that this one takes each step in time.
            active.control.onRetryAfter(active.nowUs, 1, 0);
        }
        for (final ControlFixture fixture : List.of(idle, active)) {
            fixture.acceptFor("second", SAFE, 0);
        }
        assertEquals(2, idle.control.workload().routesVisited(), "one step, and one visit for all missed steps");
        assertEquals(active.control.describe(0), idle.control.describe(0));
    }

    @Test
    void longerIdleTimeCostsNoMoreVisits() {
        final ControlFixture fixture = listing(new ControlFixture(ControlFixture.settings()), 100);
        for (int event = 0; event < IN_USE; event++) {
            fixture.acceptFor("m" + event, SAFE, event);
            fixture.endAttempt("m" + event, Courier.Result.DELIVERED);
        }
        fixture.advance(340 * ControlFixture.SECOND);
        final long before = fixture.control.workload().routesVisited();
        for (int event = 0; event < IN_USE; event++) {
            fixture.acceptFor("n" + event, SAFE, event);
        }
        assertEquals(before + IN_USE, fixture.control.workload().routesVisited());
    }

    @Test
    void idleDestinationsUsedLastKeepTheirState() {
        final ControlFixture fixture =
                listing(ControlFixture.withMaxIdleDestinations(ControlFixture.settings(), 4), 100);
        for (long destination = 0; destination < IN_USE; destination++) {
            fixture.acceptFor("m" + destination, SAFE, destination);
            fixture.endAttempt("m" + destination, Courier.Result.DELIVERED);
            fixture.advance(ControlFixture.SECOND);
        }
        fixture.advance(2 * ControlFixture.SECOND);
        assertEquals(4, fixture.control.workload().destinationsWithState());
        assertTrue(fixture.control.describe(IN_USE - 1).contains("window"), "the last destination still has its state");
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 1_000, 10_000})
    void decisionDoesNotExamineMessagesThatWaitForOtherDestinations(final int waiting) {
        final ControlFixture fixture =
                listing(new ControlFixture(ControlFixture.withMaxOpenMessages(2 * waiting)), 100);
        fixture.control.onRetryAfter(fixture.nowUs, 8, 10 * ControlFixture.SECOND);
        for (int message = 0; message < waiting; message++) {
            fixture.control.onMessage(
                    fixture.nowUs,
                    new Courier.Message("w" + message, SAFE, -1, null, fixture.nowUs + 16 * ControlFixture.SECOND, 7));
        }
        fixture.control.decide(fixture.nowUs);
        final long before = fixture.control.workload().messagesExamined();
        for (int message = 0; message < IN_USE; message++) {
            fixture.acceptFor("m" + message, SAFE, 20 + message);
            fixture.endAttempt("m" + message, Courier.Result.DELIVERED);
        }
        final long examined = fixture.control.workload().messagesExamined() - before;
        assertTrue(examined <= 4 * IN_USE, "visited " + examined + " with " + waiting + " waiting elsewhere");
        fixture.advance(15 * ControlFixture.SECOND);
        assertTrue(
                fixture.control.workload().messagesExamined() > before + waiting / 2,
                "the waiting messages are examined when they are sent or end");
    }

    @Test
    void sendExaminesOnlyTheMessagesOfItsDestinationAgain() {
        final int destinations = 40;
        final int each = 5;
        final ControlFixture fixture =
                listing(new ControlFixture(ControlFixture.withMaxOpenMessages(1_000)), destinations);
        for (int message = 0; message < destinations * each; message++) {
            fixture.control.onMessage(
                    fixture.nowUs,
                    new Courier.Message(
                            "m" + message,
                            SAFE,
                            -1,
                            null,
                            fixture.nowUs + 16 * ControlFixture.SECOND,
                            message % destinations));
        }
        fixture.control.decide(fixture.nowUs);
        final int slots = ControlFixture.settings().limits().maxCalls();
        assertEquals(slots, fixture.sent.size(), "every slot is in use");
        final long atMost = 2L * destinations * each + 2L * slots * each;
        final long examined = fixture.control.workload().messagesExamined();
        assertTrue(examined <= atMost, "visited " + examined + " of at most " + atMost);
    }

    @Test
    void stateWithAnOutageIsNeverDropped() {
        final ControlFixture fixture =
                listing(ControlFixture.withMaxIdleDestinations(ControlFixture.settings(), 0), 100);
        fixture.acceptFor("down", SAFE, 7);
        for (int failure = 0; failure < 8; failure++) {
            if (fixture.lastAttempt("down").atUs() <= fixture.nowUs
                    && fixture.attemptCount("down") > fixture.endedAttempts("down")) {
                fixture.endAttempt("down", Courier.Result.NO_CONNECTION);
            }
            fixture.advance(2 * ControlFixture.SECOND);
        }
        fixture.advance(60 * ControlFixture.SECOND);
        assertEquals(1, fixture.control.workload().destinationsWithState());
        assertTrue(fixture.control.describe(7).contains("PROBE"), fixture.control.describe(7));
    }

    @Test
    void retryAfterBlocksADestinationWithoutEarlierCalls() {
        final ControlFixture fixture =
                listing(ControlFixture.withMaxIdleDestinations(ControlFixture.settings(), 0), 100);
        fixture.control.onRetryAfter(fixture.nowUs, 8, 30 * ControlFixture.SECOND);
        fixture.advance(5 * ControlFixture.SECOND);
        fixture.acceptFor("m", SAFE, 7);
        assertEquals(0, fixture.attemptCount("m"), "endpoint 8 is of destination 7, and its retry-after has 25 s left");
    }

    @Test
    void firstMessageUsesThePresentList() {
        final ControlFixture fixture = listing(new ControlFixture(ControlFixture.settings()), 100);
        final Courier.Endpoint drains = new Courier.Endpoint(8, Courier.Condition.DRAINING, "a", 1, 0, 7);
        fixture.updateList(Courier.ListUpdate.INCREMENTAL, drains, ControlFixture.endpoint(1_000, 7, "b"));
        fixture.acceptFor("m", SAFE, 7);
        assertEquals(1_000, fixture.lastAttempt("m").endpoint());
    }

    @Test
    void endpointThatMovedGetsNoCallsForItsOldDestination() {
        final ControlFixture fixture = listing(new ControlFixture(ControlFixture.settings()), 100);
        fixture.acceptFor("first", SAFE, 7);
        fixture.endAttempt("first", Courier.Result.DELIVERED);
        fixture.updateList(Courier.ListUpdate.INCREMENTAL, ControlFixture.endpoint(8, 9, "a"));
        fixture.acceptFor("second", SAFE, 7);
        assertEquals(0, fixture.attemptCount("second"));
    }

    @Test
    void fullListRemovesEndpointsThatItDoesNotName() {
        final ControlFixture fixture = listing(new ControlFixture(ControlFixture.settings()), 100);
        fixture.acceptFor("first", SAFE, 7);
        fixture.endAttempt("first", Courier.Result.DELIVERED);
        fixture.updateList(Courier.ListUpdate.FULL, ControlFixture.endpoint(1, 0, "a"));
        fixture.acceptFor("second", SAFE, 7);
        assertEquals(0, fixture.attemptCount("second"));
    }

    /** One endpoint for each destination, its id one higher. */
    private static ControlFixture listing(final ControlFixture fixture, final int destinations) {
        final List<Courier.Endpoint> entries = new ArrayList<>();
        for (int destination = 0; destination < destinations; destination++) {
            entries.add(ControlFixture.endpoint(destination + 1, destination, "a"));
        }
        fixture.updateList(Courier.ListUpdate.FULL, entries.toArray(Courier.Endpoint[]::new));
        return fixture;
    }
}
