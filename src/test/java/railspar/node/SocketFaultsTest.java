package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import railspar.node.FaultPage.Fault;

/**
 * A real courier under load whose calls on sockets fail for a spell, before, in the midst of or after their effect.
 */
final class SocketFaultsTest extends AbstractCourierProcessTest {
    private static final int CLIENTS = 10;
    private static final int PAUSE_MS = 200;
    private static final long ANSWER_MS = 5;
    private static final int SPELLS = 2;
    private static final long SPELL_MS = 1300;
    private static final long REST_MS = 1000;
    private static final long RESTART_SPELL_MS = 1800;
    /** The longest time of a message, and the grace for its end. */
    private static final long MOST_END_MS = 7000;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final SoakRecord record = new SoakRecord();

    /** What fails in a spell. */
    enum Spell {
        SENDS_AFTER_THEIR_EFFECT(faults -> sends(faults, FaultPage.EIO, FaultPage.ALL_BYTES, 1)),
        ONE_SEND_IN_THREE_AFTER_ITS_EFFECT(faults -> sends(faults, FaultPage.EIO, FaultPage.ALL_BYTES, 3)),
        ONE_SEND_IN_TWO_FOR_WANT_OF_BUFFERS_AFTER_ITS_EFFECT(
                faults -> sends(faults, FaultPage.ENOBUFS, FaultPage.ALL_BYTES, 2)),
        ONE_SEND_IN_TWO_WITH_A_BROKEN_PIPE_AFTER_ITS_EFFECT(
                faults -> sends(faults, FaultPage.EPIPE, FaultPage.ALL_BYTES, 2)),
        ONE_SEND_IN_TWO_WITHIN_ITS_EFFECT(faults -> sends(faults, FaultPage.ENOMEM, FaultPage.HALF_OF_THE_BYTES, 2)),
        ONE_SEND_IN_TWO_BEFORE_ITS_EFFECT(faults -> sends(faults, FaultPage.EPIPE, FaultPage.NO_BYTES, 2)),
        ONE_SEND_OR_SHUTDOWN_IN_TWO(faults ->
                sends(faults.set(Fault.SHUTDOWN_ERRNO, FaultPage.ENOTCONN), FaultPage.EIO, FaultPage.ALL_BYTES, 2)),
        ONE_SEND_OR_CLOSE_IN_TWO_AFTER_ITS_EFFECT(
                faults -> sends(faults.set(Fault.CLOSE_ERRNO, FaultPage.EIO), FaultPage.EIO, FaultPage.ALL_BYTES, 2)),
        ONE_SEND_OR_CONNECT_IN_TWO_AFTER_ITS_EFFECT(faults -> sends(
                faults.set(Fault.CONNECT_EFFECT, 1).set(Fault.CONNECT_ERRNO, FaultPage.EHOSTUNREACH),
                FaultPage.EIO,
                FaultPage.ALL_BYTES,
                2)),
        ONE_SEND_AFTER_ITS_EFFECT_OR_POLL_IN_TWO(
                faults -> sends(faults.set(Fault.POLL_ERRNO, FaultPage.EINTR), FaultPage.EIO, FaultPage.ALL_BYTES, 2)),
        ONE_READ_OR_SEND_IN_THREE(faults ->
                sends(faults.set(Fault.RECEIVE_ERRNO, FaultPage.ETIMEDOUT), FaultPage.EIO, FaultPage.ALL_BYTES, 3));

        private final Consumer<FaultPage> begin;

        Spell(final Consumer<FaultPage> begin) {
            this.begin = begin;
        }

        private static void sends(final FaultPage faults, final int error, final long effect, final int oneIn) {
            faults.set(Fault.SEND_EFFECT, effect).set(Fault.ONE_IN, oneIn).set(Fault.SEND_ERRNO, error);
        }
    }

    @BeforeEach
    void preload() throws IOException, InterruptedException {
        fixture.faults = new FaultPage(folder, folder.resolve("state"));
        fixture.discovery = "pushed";
        fixture.maxOpen = 200;
        fixture.hosts = CourierProcessFixture.hostEntry("e1", fixture.first, "Ready") + ","
                + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready");
        fixture.platform.script((request, connection) -> {
            if (request.line().startsWith("POST")) {
                record.noticed(request.text());
            }
            fixture.answerPlatformRequest(request, connection);
        });
        fixture.first.script((request, connection) -> endpoint("e1", request, connection));
        fixture.second.script((request, connection) -> endpoint("e2", request, connection));
    }

    @AfterEach
    void stopTimer() {
        timer.shutdownNow();
    }

    private void endpoint(final String name, final FakeServer.Request request, final FakeServer.Connection connection) {
        record.called(request, name, 200);
        timer.schedule(() -> connection.accept(request), ANSWER_MS, TimeUnit.MILLISECONDS);
    }

    /** The broken rules, once every message has had the time to end. */
    private List<String> violations(final SoakClients clients) throws InterruptedException {
        clients.stop();
        final long untilMs = record.nowMs() + MOST_END_MS;
        while (record.pending() > 0 && record.nowMs() < untilMs) {
            Thread.sleep(20);
        }
        return record.violations();
    }

    /** What was played, and the courier's lines on the messages whose rules were broken. */
    private String story(final List<String> violations) {
        return record.summary() + "\n"
                + fixture.log.stream()
                        .filter(line -> SoakRecord.idsIn(line).stream()
                                .anyMatch(id -> violations.stream().anyMatch(broken -> broken.contains(id + " "))))
                        .collect(Collectors.joining("\n"));
    }

    private void assertNoViolation(final SoakClients clients) throws InterruptedException {
        final List<String> violations = violations(clients);
        assertEquals(List.of(), violations, () -> story(violations));
    }

    private SoakClients clients() {
        return new SoakClients(fixture, record, 1, draw -> "once", PAUSE_MS, PAUSE_MS + 1);
    }

    @ParameterizedTest
    @EnumSource(Spell.class)
    void noUnsafeMessageIsSentTwiceAndNoneThatWasTakenOnIsLost(final Spell spell) throws Exception {
        record.launched();
        fixture.start();
        final SoakClients clients = clients();
        clients.start(CLIENTS);
        for (int count = 0; count < SPELLS; count++) {
            Thread.sleep(REST_MS);
            spell.begin.accept(fixture.faults);
            Thread.sleep(SPELL_MS);
            fixture.faults.clear();
        }
        assertNoViolation(clients);
        assertTrue(fixture.isAlive());
    }

    @ParameterizedTest
    @EnumSource(
            value = Spell.class,
            names = {"SENDS_AFTER_THEIR_EFFECT", "ONE_SEND_OR_SHUTDOWN_IN_TWO", "ONE_READ_OR_SEND_IN_THREE"})
    void noUnsafeMessageIsSentTwiceAndNoneThatWasTakenOnIsLostAcrossAKill(final Spell spell) throws Exception {
        record.launched();
        fixture.start();
        final SoakClients clients = clients();
        clients.start(CLIENTS);
        Thread.sleep(REST_MS);
        spell.begin.accept(fixture.faults);
        Thread.sleep(SPELL_MS);
        final long fromMs = record.nowMs();
        fixture.kill();
        record.launched();
        timer.schedule(fixture.faults::clear, RESTART_SPELL_MS, TimeUnit.MILLISECONDS);
        fixture.start();
        record.restarted(fromMs);
        Thread.sleep(REST_MS);
        assertNoViolation(clients);
    }

    @ParameterizedTest
    @EnumSource(
            value = Spell.class,
            names = {"SENDS_AFTER_THEIR_EFFECT", "ONE_SEND_OR_SHUTDOWN_IN_TWO", "ONE_READ_OR_SEND_IN_THREE"})
    void noUnsafeMessageIsSentTwiceAndNoneThatWasTakenOnIsLostAcrossAHandOver(final Spell spell) throws Exception {
        record.launched();
        fixture.start();
        final SoakClients clients = clients();
        clients.start(CLIENTS);
        final Process old = fixture.startSuccessor();
        Thread.sleep(REST_MS);
        spell.begin.accept(fixture.faults);
        timer.schedule(fixture.faults::clear, RESTART_SPELL_MS, TimeUnit.MILLISECONDS);
        final long fromMs = record.nowMs();
        fixture.endOldProcess(old, false);
        record.restarted(fromMs);
        Thread.sleep(REST_MS);
        assertNoViolation(clients);
    }
}
