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
        final Scene scene = listing(Scene.remembering(Scene.settings(), Integer.MAX_VALUE), listed);
        assertEquals(0, scene.control.workload().destinationsWithState());
        for (long destination = 0; destination < IN_USE; destination++) {
            scene.takeFor("m" + destination, SAFE, destination);
        }
        assertEquals(IN_USE, scene.control.workload().destinationsWithState());
        scene.pass(5 * Scene.SECOND);
        assertEquals(5 * IN_USE, scene.control.workload().routesVisited());
    }

    @Test
    void aDestinationAtRestIsNotVisited() {
        final Scene scene = listing(new Scene(Scene.settings()), 100);
        scene.takeFor("m", SAFE, 7);
        scene.end("m", Courier.Result.DELIVERED);
        scene.pass(60 * Scene.SECOND);
        assertEquals(1, scene.control.workload().routesVisited(), "the step of the second in which it was served");
    }

    @Test
    void whatADestinationMissedAtRestIsCaughtUpWithItsNextMessage() {
        final Scene rested = listing(new Scene(Scene.settings()), 1);
        final Scene watched = listing(new Scene(Scene.settings()), 1);
        for (final Scene scene : List.of(rested, watched)) {
            scene.takeFor("first", SAFE, 0);
            scene.pass(Scene.SECOND / 2);
            scene.end("first", Courier.Result.DELIVERED);
        }
        for (int second = 0; second < 20; second++) {
            rested.pass(Scene.SECOND);
            watched.pass(Scene.SECOND);
            // Any event at a destination wakes it, so that this one sees each step as it comes.
            watched.control.onRetryAfter(watched.nowUs, 1, 0);
        }
        for (final Scene scene : List.of(rested, watched)) {
            scene.takeFor("second", SAFE, 0);
        }
        assertEquals(2, rested.control.workload().routesVisited(), "its one step, and one visit to catch up");
        assertEquals(watched.control.describe(0), rested.control.describe(0));
    }

    @Test
    void howLongADestinationRestedCostsNoMoreVisits() {
        final Scene scene = listing(new Scene(Scene.settings()), 100);
        for (int event = 0; event < IN_USE; event++) {
            scene.takeFor("m" + event, SAFE, event);
            scene.end("m" + event, Courier.Result.DELIVERED);
        }
        scene.pass(340 * Scene.SECOND);
        final long before = scene.control.workload().routesVisited();
        for (int event = 0; event < IN_USE; event++) {
            scene.takeFor("n" + event, SAFE, event);
        }
        assertEquals(before + IN_USE, scene.control.workload().routesVisited());
    }

    @Test
    void ofTheDestinationsAtRestThoseUsedLastAreRemembered() {
        final Scene scene = listing(Scene.remembering(Scene.settings(), 4), 100);
        for (long destination = 0; destination < IN_USE; destination++) {
            scene.takeFor("m" + destination, SAFE, destination);
            scene.end("m" + destination, Courier.Result.DELIVERED);
            scene.pass(Scene.SECOND);
        }
        scene.pass(2 * Scene.SECOND);
        assertEquals(4, scene.control.workload().destinationsWithState());
        assertTrue(scene.control.describe(IN_USE - 1).contains("window"), "the last one is remembered");
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 1_000, 10_000})
    void aDecisionDoesNotReadTheDeadlinesOfMessagesThatWaitElsewhere(final int waiting) {
        final Scene scene = listing(new Scene(Scene.roomFor(2 * waiting)), 100);
        scene.control.onRetryAfter(scene.nowUs, 8, 10 * Scene.SECOND);
        for (int message = 0; message < waiting; message++) {
            scene.control.onMessage(
                    scene.nowUs,
                    new Courier.Message("w" + message, SAFE, -1, null, scene.nowUs + 16 * Scene.SECOND, 7));
        }
        scene.control.decide(scene.nowUs);
        final long before = scene.control.workload().messagesExamined();
        for (int message = 0; message < IN_USE; message++) {
            scene.takeFor("m" + message, SAFE, 20 + message);
            scene.end("m" + message, Courier.Result.DELIVERED);
        }
        final long visited = scene.control.workload().messagesExamined() - before;
        assertTrue(visited <= 4 * IN_USE, "visited " + visited + " with " + waiting + " waiting elsewhere");
        scene.pass(15 * Scene.SECOND);
        assertTrue(
                scene.control.workload().messagesExamined() > before + waiting / 2, "they are sent or ended in the end");
    }

    @Test
    void aSendWeighsTheMessagesOfItsDestinationAnewAndNoOthers() {
        final int destinations = 40;
        final int each = 5;
        final Scene scene = listing(new Scene(Scene.roomFor(1_000)), destinations);
        for (int message = 0; message < destinations * each; message++) {
            scene.control.onMessage(
                    scene.nowUs,
                    new Courier.Message(
                            "m" + message, SAFE, -1, null, scene.nowUs + 16 * Scene.SECOND, message % destinations));
        }
        scene.control.decide(scene.nowUs);
        final int slots = Scene.settings().limits().maxCallsInFlight();
        assertEquals(slots, scene.sent.size(), "every slot is taken");
        final long atMost = 2L * destinations * each + 2L * slots * each;
        final long visited = scene.control.workload().messagesExamined();
        assertTrue(visited <= atMost, "visited " + visited + " of at most " + atMost);
    }

    @Test
    void anOutageIsNeverForgotten() {
        final Scene scene = listing(Scene.remembering(Scene.settings(), 0), 100);
        scene.takeFor("down", SAFE, 7);
        for (int failure = 0; failure < 8; failure++) {
            if (scene.last("down").atUs() <= scene.nowUs && scene.count("down") > scene.ended("down")) {
                scene.end("down", Courier.Result.NO_CONNECTION);
            }
            scene.pass(2 * Scene.SECOND);
        }
        scene.pass(60 * Scene.SECOND);
        assertEquals(1, scene.control.workload().destinationsWithState());
        assertTrue(scene.control.describe(7).contains("PROBING"), scene.control.describe(7));
    }

    @Test
    void aToldWaitHoldsForADestinationThatNothingWasSentTo() {
        final Scene scene = listing(Scene.remembering(Scene.settings(), 0), 100);
        scene.control.onRetryAfter(scene.nowUs, 8, 30 * Scene.SECOND);
        scene.pass(5 * Scene.SECOND);
        scene.takeFor("m", SAFE, 7);
        assertEquals(0, scene.count("m"), "endpoint 8 is destination 7's, and its wait has 25 s left");
    }

    @Test
    void theFirstMessageFindsTheListAsItStandsThen() {
        final Scene scene = listing(new Scene(Scene.settings()), 100);
        final Courier.Endpoint drains = new Courier.Endpoint(8, Courier.Condition.DRAINING, "a", 1, 0, 7);
        scene.list(Courier.ListUpdate.INCREMENTAL, drains, Scene.endpoint(1_000, 7, "b"));
        scene.takeFor("m", SAFE, 7);
        assertEquals(1_000, scene.last("m").endpoint());
    }

    @Test
    void anEndpointThatMovesToAnotherDestinationGetsNothingForItsOldOne() {
        final Scene scene = listing(new Scene(Scene.settings()), 100);
        scene.takeFor("first", SAFE, 7);
        scene.end("first", Courier.Result.DELIVERED);
        scene.list(Courier.ListUpdate.INCREMENTAL, Scene.endpoint(8, 9, "a"));
        scene.takeFor("second", SAFE, 7);
        assertEquals(0, scene.count("second"));
    }

    @Test
    void aWholeListTakesOutWhatItDoesNotName() {
        final Scene scene = listing(new Scene(Scene.settings()), 100);
        scene.takeFor("first", SAFE, 7);
        scene.end("first", Courier.Result.DELIVERED);
        scene.list(Courier.ListUpdate.FULL, Scene.endpoint(1, 0, "a"));
        scene.takeFor("second", SAFE, 7);
        assertEquals(0, scene.count("second"));
    }

    /** One endpoint for each destination, its id one higher. */
    private static Scene listing(final Scene scene, final int destinations) {
        final List<Courier.Endpoint> entries = new ArrayList<>();
        for (int destination = 0; destination < destinations; destination++) {
            entries.add(Scene.endpoint(destination + 1, destination, "a"));
        }
        scene.list(Courier.ListUpdate.FULL, entries.toArray(Courier.Endpoint[]::new));
        return scene;
    }
}
