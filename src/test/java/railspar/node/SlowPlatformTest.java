package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import railspar.node.FaultPage.Fault;

/** Tests a platform that answers notices late: they are still confirmed, and the next message of a key is sent. */
final class SlowPlatformTest extends AbstractCourierProcessTest {
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<String> posts = new CopyOnWriteArrayList<>();

    @AfterEach
    void stopTimer() {
        timer.shutdownNow();
    }

    private void answerAfter(final long ms) {
        fixture.discovery = "pushed";
        fixture.platform.script((request, connection) -> {
            if (request.line().startsWith("POST")) {
                posts.add(request.text());
                timer.schedule(() -> connection.answer(204, ""), ms, TimeUnit.MILLISECONDS);
            } else {
                fixture.answerPlatformRequest(request, connection);
            }
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {800, 1500, 4000})
    void theNextMessageOfAKeyIsSentOnceThePreviousNoticeIsAnsweredLate(final long ms) throws IOException {
        answerAfter(ms);
        fixture.start();
        fixture.first.script((request, connection) -> {
            if (request.ids().contains("first")) {
                connection.answer(410, "");
            } else {
                connection.accept(request);
            }
        });
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("first", "k")).status());
        fixture.await("the notice", () -> posts.stream().anyMatch(text -> text.contains("\"first\"")));
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("second", "k"))
                        .status());
        fixture.await("the call of the second", () -> fixture.first.ids().contains("second"));
    }

    @Test
    void noticesThatAreAnsweredLateAreNotSentAgainAfterARestart() throws IOException, InterruptedException {
        answerAfter(2500);
        fixture.start();
        fixture.first.script((request, connection) -> connection.answer(410, ""));
        assertEquals(202, fixture.submit("m1", "safe").status());
        final Process terminated = fixture.terminate();
        assertTrue(terminated.waitFor(CourierProcessFixture.TIMEOUT_S, TimeUnit.SECONDS));
        fixture.await("the notice", () -> posts.stream().anyMatch(text -> text.contains("\"m1\"")));
        final int postsBefore = posts.size();
        answerAfter(0);
        fixture.start();
        assertEquals(202, fixture.submit("m2", "safe").status());
        fixture.await("the notice of the next one", () -> posts.stream().anyMatch(text -> text.contains("\"m2\"")));
        assertTrue(
                posts.subList(postsBefore, posts.size()).stream().noneMatch(text -> text.contains("\"m1\"")),
                posts.toString());
    }

    @Test
    void noticesAreSentWhileNoConnectionCanBeOpenedAndAllOthersWaitForAnswers()
            throws IOException, InterruptedException {
        fixture.faults = new FaultPage(folder, folder.resolve("state"));
        fixture.discovery = "pushed";
        fixture.platform.script((request, connection) -> {
            if (request.line().startsWith("POST")) {
                posts.add(request.text());
            } else {
                fixture.answerPlatformRequest(request, connection);
            }
        });
        fixture.start();
        fixture.first.script((request, connection) -> connection.answer(410, ""));
        assertEquals(202, fixture.submit("m0", "safe").status());
        fixture.await(
                "the notice that is not answered", () -> posts.stream().anyMatch(text -> text.contains("\"m0\"")));
        fixture.faults.set(Fault.SOCKET_ERRNO, FaultPage.EMFILE);
        for (int count = 1; count < 4; count++) {
            final String id = "m" + count;
            assertEquals(202, fixture.submit(id, "safe").status());
            fixture.await("the next notice", () -> posts.stream().anyMatch(text -> text.contains('"' + id + '"')));
        }
    }
}
