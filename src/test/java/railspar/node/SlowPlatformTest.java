package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import railspar.node.FaultPage.Fault;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A platform that answers notices late: they are confirmed all the same, and keys go on. */
final class SlowPlatformTest extends AbstractCourierProcessTest {
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<String> posts = new CopyOnWriteArrayList<>();

    @AfterEach
    void stopTimer() {
        timer.shutdownNow();
    }

    private void answerAfter(final long ms) {
        rig.discovery = "pushed";
        rig.platform.script((request, connection) -> {
            if (request.line().startsWith("POST")) {
                posts.add(request.text());
                timer.schedule(() -> connection.answer(204, ""), ms, TimeUnit.MILLISECONDS);
            } else {
                rig.platform(request, connection);
            }
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {800, 1500, 4000})
    void theNextMessageOfAKeyGoesOnceTheNoticeOfTheOneBeforeIsAnsweredLate(final long ms) throws IOException {
        answerAfter(ms);
        rig.start();
        rig.first.script((request, connection) -> {
            if (request.ids().contains("first")) {
                connection.answer(410, "");
            } else {
                connection.accept(request);
            }
        });
        assertEquals(202, rig.send(Rig.inTurn("first", "k")).status());
        rig.await("the notice", () -> posts.stream().anyMatch(text -> text.contains("\"first\"")));
        assertEquals(202, rig.send(Rig.inTurn("second", "k")).status());
        rig.await("the call of the second", () -> rig.first.ids().contains("second"));
    }

    @Test
    void noticesThatAreAnsweredLateAreNotOwedAfterARestart() throws IOException, InterruptedException {
        answerAfter(2500);
        rig.start();
        rig.first.script((request, connection) -> connection.answer(410, ""));
        assertEquals(202, rig.handIn("m1", "safe").status());
        final Process ending = rig.terminate();
        assertTrue(ending.waitFor(Rig.PATIENCE_S, TimeUnit.SECONDS));
        rig.await("the notice", () -> posts.stream().anyMatch(text -> text.contains("\"m1\"")));
        final int told = posts.size();
        answerAfter(0);
        rig.start();
        assertEquals(202, rig.handIn("m2", "safe").status());
        rig.await("the notice of the next one", () -> posts.stream().anyMatch(text -> text.contains("\"m2\"")));
        assertTrue(
                posts.subList(told, posts.size()).stream().noneMatch(text -> text.contains("\"m1\"")),
                posts.toString());
    }

    @Test
    void noticesAreToldThoughNoConnectionCanBeOpenedAndAllWaitForTheirAnswers()
            throws IOException, InterruptedException {
        rig.faults = new FaultPage(folder, folder.resolve("state"));
        rig.discovery = "pushed";
        rig.platform.script((request, connection) -> {
            if (request.line().startsWith("POST")) {
                posts.add(request.text());
            } else {
                rig.platform(request, connection);
            }
        });
        rig.start();
        rig.first.script((request, connection) -> connection.answer(410, ""));
        assertEquals(202, rig.handIn("m0", "safe").status());
        rig.await("the notice that is not answered", () -> posts.stream().anyMatch(text -> text.contains("\"m0\"")));
        rig.faults.set(Fault.SOCKET_ERRNO, FaultPage.EMFILE);
        for (int count = 1; count < 4; count++) {
            final String id = "m" + count;
            assertEquals(202, rig.handIn(id, "safe").status());
            rig.await("the next notice", () -> posts.stream().anyMatch(text -> text.contains('"' + id + '"')));
        }
    }
}
