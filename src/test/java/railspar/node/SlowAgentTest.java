package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests an agent that is slow at any step of a watch, while the courier is expected to know changes 6 s later. */
final class SlowAgentTest extends AbstractCourierProcessTest {
    /** The courier is expected to know a change this long after the agent could send it. */
    private static final long KNOWN_AFTER_MS = 6000;

    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<FakeServer.Connection> watches = new CopyOnWriteArrayList<>();
    /** The first line that each new watch receives. */
    private volatile String firstLine = "\n";
    /** Delays of the response head, then of the first half of the first line, then of the rest of that line. */
    private volatile long headMs;

    private volatile long lineMs;
    private volatile long restMs;

    @AfterEach
    void stopTimer() {
        timer.shutdownNow();
    }

    private void scriptAgent() {
        fixture.platform.script((request, connection) -> {
            if (request.line().startsWith("POST")) {
                fixture.answerPlatformRequest(request, connection);
                return;
            }
            watches.add(connection);
            after(headMs, () -> connection.write(RESPONSE_HEAD));
            final String line = firstLine;
            final int half = Math.max(1, line.length() / 2);
            after(headMs + lineMs, () -> connection.chunk(line.substring(0, half)));
            if (half < line.length()) {
                after(headMs + lineMs + restMs, () -> connection.chunk(line.substring(half)));
            }
        });
    }

    private void after(final long ms, final Runnable step) {
        if (ms == 0) {
            step.run();
        } else {
            timer.schedule(step, ms, TimeUnit.MILLISECONDS);
        }
    }

    private static String drainOfFirst(final CourierProcessFixture fixture) {
        return CourierProcessFixture.listLine(
                42,
                CourierProcessFixture.hostEntry("e1", fixture.first, "Terminating") + ","
                        + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready"));
    }

    private boolean isDrainKnown() {
        return fixture.log.stream().anyMatch(line -> line.startsWith("the list at 42"));
    }

    @ParameterizedTest
    @CsvSource({"1500,0,0", "3000,0,0", "5000,0,0", "0,4000,0", "0,0,4000", "1500,1500,1500"})
    void aDrainIsKnownInTimeHoweverSlowlyTheNextWatchIsAnswered(
            final long slowHeadMs, final long slowLineMs, final long slowRestMs) throws IOException {
        fixture.discovery = "pushed";
        scriptAgent();
        fixture.start();
        headMs = slowHeadMs;
        lineMs = slowLineMs;
        restMs = slowRestMs;
        firstLine = drainOfFirst(fixture);
        final long fromNs = System.nanoTime();
        watches.forEach(FakeServer.Connection::reset);
        fixture.await("the drain", this::isDrainKnown);
        final long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - fromNs);
        assertTrue(tookMs < KNOWN_AFTER_MS, "it took " + tookMs + " ms");
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.second.requests.size() == 1);
        assertEquals(0, fixture.first.requests.size());
    }

    @ParameterizedTest
    @ValueSource(longs = {1500, 3000})
    void aNewProcessSendsNothingToAnEndpointThatBeganToDrainWhileNoProcessRan(final long slowHeadMs)
            throws IOException, InterruptedException {
        fixture.discovery = "pushed";
        scriptAgent();
        fixture.start();
        fixture.kill();
        headMs = slowHeadMs;
        firstLine = drainOfFirst(fixture);
        fixture.start();
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.second.requests.size() == 1);
        assertEquals(0, fixture.first.requests.size());
    }

    @Test
    void aSilentAgentGetsOnlyALimitedNumberOfConcurrentWatches() throws IOException {
        fixture.discovery = "pushed";
        scriptAgent();
        fixture.start();
        headMs = TimeUnit.SECONDS.toMillis(60);
        watches.forEach(FakeServer.Connection::reset);
        fixture.await("more watches than may be open at once", () -> watches.size() > ListSubscription.MAX_WATCHES + 2);
        fixture.await(
                "the excess watches to be closed",
                () -> watches.stream().filter(watch -> !watch.ended).count() <= ListSubscription.MAX_WATCHES);
        assertFalse(watches.get(1).ended, "the oldest unanswered watch is kept");
    }

    @Test
    void aLineThatArrivesWhileTheProcessIsStoppedIsApplied() throws IOException, InterruptedException {
        fixture.discovery = "pushed";
        scriptAgent();
        fixture.start();
        // New watches are not answered: only the open watch receives the change.
        headMs = TimeUnit.SECONDS.toMillis(60);
        fixture.signal("STOP");
        watches.get(watches.size() - 1).chunk(drainOfFirst(fixture));
        Thread.sleep(Watch.SILENCE_TIMEOUT_MS + 500);
        fixture.signal("CONT");
        fixture.await("the drain", this::isDrainKnown);
    }

    @Test
    void nothingIsSentToAnEndpointWhoseDrainArrivesWhileTheProcessIsStopped() throws IOException, InterruptedException {
        fixture.discovery = "pushed";
        fixture.hosts = CourierProcessFixture.hostEntry("e0", fixture.first, "Ready");
        scriptAgent();
        fixture.start();
        for (int round = 0; round < 6; round++) {
            final FakeServer draining = round % 2 == 0 ? fixture.first : fixture.second;
            final FakeServer ready = round % 2 == 0 ? fixture.second : fixture.first;
            draining.script((request, connection) -> connection.answer(429, "", "Retry-After: 1.0"));
            ready.script((request, connection) -> connection.accept(request));
            final int before = draining.requests.size();
            final String id = "m" + round;
            assertEquals(202, fixture.submit(id, "safe").status());
            fixture.await("the call that is answered with Retry-After", () -> draining.requests.size() > before);
            // After this, the answer has been read and the event loop waits for its next timer.
            Thread.sleep(300);
            fixture.signal("STOP");
            watches.get(watches.size() - 1)
                    .chunk(CourierProcessFixture.listLine(
                            42 + round,
                            CourierProcessFixture.hostEntry("e" + round, draining, "Terminating") + ","
                                    + CourierProcessFixture.hostEntry("e" + (round + 1), ready, "Ready")));
            // The Retry-After time ends meanwhile: the next attempt is due when the process continues.
            Thread.sleep(1500);
            fixture.signal("CONT");
            fixture.await(
                    "the call to the endpoint that is ready", () -> ready.ids().contains(id));
            assertEquals(before + 1, draining.requests.size(), "round " + round);
        }
    }

    @Test
    void aSuccessorWhoseAgentHasNotRespondedYetSendsNothingToADrainingEndpoint() throws Exception {
        fixture.discovery = "pushed";
        fixture.hosts = CourierProcessFixture.hostEntry("e1", fixture.first, "Ready") + ","
                + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready");
        scriptAgent();
        fixture.start();
        headMs = 2500;
        firstLine = drainOfFirst(fixture);
        fixture.endOldProcess(fixture.startSuccessor(), true);
        for (int count = 0; count < 12; count++) {
            assertEquals(202, fixture.submit("m" + count, "safe").status());
        }
        fixture.await("their calls", () -> fixture.second.ids().size() >= 12);
        assertEquals(List.of(), fixture.first.ids());
    }
}
