package railspar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the decisions hold and visit follows the destinations in use, however long the list is. */
final class DestinationStateTest {
    private static final int SAFE = 0;
    private static final long IN_USE = 10;

    @ParameterizedTest
    @ValueSource(ints = {100, 5_000, 20_000, 45_000})
    void stateAndStepsFollowTheDestinationsInUseAndNotTheList(final int listed) {
        final ControlFixture scene =
                listing(ControlFixture.withMaxIdleDestinations(ControlFixture.settings(), Integer.MAX_VALUE), listed);
        assertEquals(0, scene.control.workload().destinationsWithState());
        for (long destination = 0; destination < IN_USE; destination++) {
            scene.acceptFor("m" + destination, SAFE, destination);
        }
        assertEquals(IN_USE, scene.control.workload().destinationsWithState());
        scene.advance(5 * ControlFixture.SECOND);
        assertEquals(5 * IN_USE, scene.control.workload().routesVisited());
    }

    @Test
    void aDestinationAtRestIsNotVisited() {
        final ControlFixture scene = listing(new ControlFixture(ControlFixture.settings()), 100);
        scene.acceptFor("m", SAFE, 7);
        scene.endAttempt("m", Courier.Result.DELIVERED);
        scene.advance(60 * ControlFixture.SECOND);
        assertEquals(1, scene.control.workload().routesVisited(), "the step of the second in which it was served");
    }

    @Test
    void whatADestinationMissedAtRestIsCaughtUpWithItsNextMessage() {
        final ControlFixture rested = listing(new ControlFixture(ControlFixture.settings()), 1);
        final ControlFixture watched = listing(new ControlFixture(ControlFixture.settings()), 1);
        for (final ControlFixture scene : List.of(rested, watched)) {
            scene.acceptFor("first", SAFE, 0);
            scene.advance(ControlFixture.SECOND / 2);
            scene.endAttempt("first", Courier.Result.DELIVERED);
        }
        for (int second = 0; second < 20; second++) {
            rested.advance(ControlFixture.SECOND);
            watched.advance(ControlFixture.SECOND);
            // Any event at a destination wakes it, so that this one sees each step as it comes.
            watched.control.onRetryAfter(watched.nowUs, 1, 0);
        }
        for (final ControlFixture scene : List.of(rested, watched)) {
            scene.acceptFor("second", SAFE, 0);
        }
        assertEquals(2, rested.control.workload().routesVisited(), "its one step, and one visit to catch up");
        assertEquals(watched.control.describe(0), rested.control.describe(0));
    }

    @Test
    void howLongADestinationRestedCostsNoMoreVisits() {
        final ControlFixture scene = listing(new ControlFixture(ControlFixture.settings()), 100);
        for (int event = 0; event < IN_USE; event++) {
            scene.acceptFor("m" + event, SAFE, event);
            scene.endAttempt("m" + event, Courier.Result.DELIVERED);
        }
        scene.advance(340 * ControlFixture.SECOND);
        final long before = scene.control.workload().routesVisited();
        for (int event = 0; event < IN_USE; event++) {
            scene.acceptFor("n" + event, SAFE, event);
        }
        assertEquals(before + IN_USE, scene.control.workload().routesVisited());
    }

    @Test
    void ofTheDestinationsAtRestThoseUsedLastAreRemembered() {
        final ControlFixture scene = listing(ControlFixture.withMaxIdleDestinations(ControlFixture.settings(), 4), 100);
        for (long destination = 0; destination < IN_USE; destination++) {
            scene.acceptFor("m" + destination, SAFE, destination);
            scene.endAttempt("m" + destination, Courier.Result.DELIVERED);
            scene.advance(ControlFixture.SECOND);
        }
        scene.advance(2 * ControlFixture.SECOND);
        assertEquals(4, scene.control.workload().destinationsWithState());
        assertTrue(scene.control.describe(IN_USE - 1).contains("window"), "the last one is remembered");
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 1_000, 10_000})
    void aDecisionDoesNotReadTheDeadlinesOfMessagesThatWaitElsewhere(final int waiting) {
        final ControlFixture scene = listing(new ControlFixture(ControlFixture.withMaxOpenMessages(2 * waiting)), 100);
        scene.control.onRetryAfter(scene.nowUs, 8, 10 * ControlFixture.SECOND);
        for (int message = 0; message < waiting; message++) {
            scene.control.onMessage(
                    scene.nowUs,
                    new Courier.Message("w" + message, SAFE, -1, null, scene.nowUs + 16 * ControlFixture.SECOND, 7));
        }
        scene.control.decide(scene.nowUs);
        final long before = scene.control.workload().messagesExamined();
        for (int message = 0; message < IN_USE; message++) {
            scene.acceptFor("m" + message, SAFE, 20 + message);
            scene.endAttempt("m" + message, Courier.Result.DELIVERED);
        }
        final long visited = scene.control.workload().messagesExamined() - before;
        assertTrue(visited <= 4 * IN_USE, "visited " + visited + " with " + waiting + " waiting elsewhere");
        scene.advance(15 * ControlFixture.SECOND);
        assertTrue(
                scene.control.workload().messagesExamined() > before + waiting / 2,
                "they are sent or ended in the end");
    }

    @Test
    void aSendWeighsTheMessagesOfItsDestinationAnewAndNoOthers() {
        final int destinations = 40;
        final int each = 5;
        final ControlFixture scene =
                listing(new ControlFixture(ControlFixture.withMaxOpenMessages(1_000)), destinations);
        for (int message = 0; message < destinations * each; message++) {
            scene.control.onMessage(
                    scene.nowUs,
                    new Courier.Message(
                            "m" + message,
                            SAFE,
                            -1,
                            null,
                            scene.nowUs + 16 * ControlFixture.SECOND,
                            message % destinations));
        }
        scene.control.decide(scene.nowUs);
        final int slots = ControlFixture.settings().limits().maxCalls();
        assertEquals(slots, scene.sent.size(), "every slot is taken");
        final long atMost = 2L * destinations * each + 2L * slots * each;
        final long visited = scene.control.workload().messagesExamined();
        assertTrue(visited <= atMost, "visited " + visited + " of at most " + atMost);
    }

    @Test
    void anOutageIsNeverForgotten() {
        final ControlFixture scene = listing(ControlFixture.withMaxIdleDestinations(ControlFixture.settings(), 0), 100);
        scene.acceptFor("down", SAFE, 7);
        for (int failure = 0; failure < 8; failure++) {
            if (scene.lastAttempt("down").atUs() <= scene.nowUs
                    && scene.attemptCount("down") > scene.endedAttempts("down")) {
                scene.endAttempt("down", Courier.Result.NO_CONNECTION);
            }
            scene.advance(2 * ControlFixture.SECOND);
        }
        scene.advance(60 * ControlFixture.SECOND);
        assertEquals(1, scene.control.workload().destinationsWithState());
        assertTrue(scene.control.describe(7).contains("PROBE"), scene.control.describe(7));
    }

    @Test
    void aToldWaitHoldsForADestinationThatNothingWasSentTo() {
        final ControlFixture scene = listing(ControlFixture.withMaxIdleDestinations(ControlFixture.settings(), 0), 100);
        scene.control.onRetryAfter(scene.nowUs, 8, 30 * ControlFixture.SECOND);
        scene.advance(5 * ControlFixture.SECOND);
        scene.acceptFor("m", SAFE, 7);
        assertEquals(0, scene.attemptCount("m"), "endpoint 8 is destination 7's, and its wait has 25 s left");
    }

    @Test
    void theFirstMessageFindsTheListAsItStandsThen() {
        final ControlFixture scene = listing(new ControlFixture(ControlFixture.settings()), 100);
        final Courier.Endpoint drains = new Courier.Endpoint(8, Courier.Condition.DRAINING, "a", 1, 0, 7);
        scene.updateList(Courier.ListUpdate.INCREMENTAL, drains, ControlFixture.endpoint(1_000, 7, "b"));
        scene.acceptFor("m", SAFE, 7);
        assertEquals(1_000, scene.lastAttempt("m").endpoint());
    }

    @Test
    void anEndpointThatMovesToAnotherDestinationGetsNothingForItsOldOne() {
        final ControlFixture scene = listing(new ControlFixture(ControlFixture.settings()), 100);
        scene.acceptFor("first", SAFE, 7);
        scene.endAttempt("first", Courier.Result.DELIVERED);
        scene.updateList(Courier.ListUpdate.INCREMENTAL, ControlFixture.endpoint(8, 9, "a"));
        scene.acceptFor("second", SAFE, 7);
        assertEquals(0, scene.attemptCount("second"));
    }

    @Test
    void aWholeListTakesOutWhatItDoesNotName() {
        final ControlFixture scene = listing(new ControlFixture(ControlFixture.settings()), 100);
        scene.acceptFor("first", SAFE, 7);
        scene.endAttempt("first", Courier.Result.DELIVERED);
        scene.updateList(Courier.ListUpdate.FULL, ControlFixture.endpoint(1, 0, "a"));
        scene.acceptFor("second", SAFE, 7);
        assertEquals(0, scene.attemptCount("second"));
    }

    /** One endpoint for each destination, its id one higher. */
    private static ControlFixture listing(final ControlFixture scene, final int destinations) {
        final List<Courier.Endpoint> entries = new ArrayList<>();
        for (int destination = 0; destination < destinations; destination++) {
            entries.add(ControlFixture.endpoint(destination + 1, destination, "a"));
        }
        scene.updateList(Courier.ListUpdate.FULL, entries.toArray(Courier.Endpoint[]::new));
        return scene;
    }
}
