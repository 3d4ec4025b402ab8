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

/** A courier under load whose socket system calls fail for a time: before, during or after their effect. */
final class SocketFaultsTest extends AbstractCourierProcessTest {
    private static final int CLIENTS = 10;
    private static final int PAUSE_MS = 200;
    private static final long RESPONSE_DELAY_MS = 5;
    private static final int FAULT_PERIODS = 2;
    private static final long FAULT_PERIOD_MS = 1300;
    private static final long FAULT_FREE_MS = 1000;
    private static final long RESTART_FAULT_PERIOD_MS = 1800;
    /** The longest timeout of a message plus the grace period for its end. */
    private static final long MAX_END_MS = 7000;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final SoakRecord record = new SoakRecord();

    /** The system calls that fail for a time. */
    enum FaultPeriod {
        SENDS_AFTER_THEIR_EFFECT(faults -> failSends(faults, FaultPage.EIO, FaultPage.ALL_BYTES, 1)),
        ONE_SEND_IN_THREE_AFTER_ITS_EFFECT(faults -> failSends(faults, FaultPage.EIO, FaultPage.ALL_BYTES, 3)),
        ONE_SEND_IN_TWO_WITHOUT_BUFFERS_AFTER_ITS_EFFECT(
                faults -> failSends(faults, FaultPage.ENOBUFS, FaultPage.ALL_BYTES, 2)),
        ONE_SEND_IN_TWO_WITH_A_BROKEN_PIPE_AFTER_ITS_EFFECT(
                faults -> failSends(faults, FaultPage.EPIPE, FaultPage.ALL_BYTES, 2)),
        ONE_SEND_IN_TWO_AFTER_HALF_OF_ITS_EFFECT(
                faults -> failSends(faults, FaultPage.ENOMEM, FaultPage.HALF_OF_THE_BYTES, 2)),
        ONE_SEND_IN_TWO_BEFORE_ITS_EFFECT(faults -> failSends(faults, FaultPage.EPIPE, FaultPage.NO_BYTES, 2)),
        ONE_SEND_OR_SHUTDOWN_IN_TWO(faults ->
                failSends(faults.set(Fault.SHUTDOWN_ERRNO, FaultPage.ENOTCONN), FaultPage.EIO, FaultPage.ALL_BYTES, 2)),
        ONE_SEND_OR_CLOSE_IN_TWO_AFTER_ITS_EFFECT(faults ->
                failSends(faults.set(Fault.CLOSE_ERRNO, FaultPage.EIO), FaultPage.EIO, FaultPage.ALL_BYTES, 2)),
        ONE_SEND_OR_CONNECT_IN_TWO_AFTER_ITS_EFFECT(faults -> failSends(
                faults.set(Fault.CONNECT_EFFECT, 1).set(Fault.CONNECT_ERRNO, FaultPage.EHOSTUNREACH),
                FaultPage.EIO,
                FaultPage.ALL_BYTES,
                2)),
        ONE_SEND_AFTER_ITS_EFFECT_OR_POLL_IN_TWO(faults ->
                failSends(faults.set(Fault.POLL_ERRNO, FaultPage.EINTR), FaultPage.EIO, FaultPage.ALL_BYTES, 2)),
        ONE_READ_OR_SEND_IN_THREE(faults ->
                failSends(faults.set(Fault.RECEIVE_ERRNO, FaultPage.ETIMEDOUT), FaultPage.EIO, FaultPage.ALL_BYTES, 3));

        private final Consumer<FaultPage> inject;

        FaultPeriod(final Consumer<FaultPage> inject) {
            this.inject = inject;
        }

        private static void failSends(final FaultPage faults, final int error, final long effect, final int oneIn) {
            faults.set(Fault.SEND_EFFECT, effect).set(Fault.ONE_IN, oneIn).set(Fault.SEND_ERRNO, error);
        }
    }

    @BeforeEach
    void prepareWithFaults() throws IOException, InterruptedException {
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
        fixture.first.script((request, connection) -> answerCall("e1", request, connection));
        fixture.second.script((request, connection) -> answerCall("e2", request, connection));
    }

    @AfterEach
    void stopTimer() {
        timer.shutdownNow();
    }

    private void answerCall(
            final String name, final FakeServer.Request request, final FakeServer.Connection connection) {
        record.called(request, name, 200);
        timer.schedule(() -> connection.accept(request), RESPONSE_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /** The rule violations, after every message has had time to end. */
    private List<String> violations(final SoakClients clients) throws InterruptedException {
        clients.stop();
        final long deadlineMs = record.nowMs() + MAX_END_MS;
        while (record.pending() > 0 && record.nowMs() < deadlineMs) {
            Thread.sleep(20);
        }
        return record.violations();
    }

    /** A summary of the run, and the courier's log lines about the messages whose rules were violated. */
    private String describe(final List<String> violations) {
        return record.summary() + "\n"
                + fixture.log.stream()
                        .filter(line -> SoakRecord.idsIn(line).stream()
                                .anyMatch(
                                        id -> violations.stream().anyMatch(violation -> violation.contains(id + " "))))
                        .collect(Collectors.joining("\n"));
    }

    private void assertNoViolation(final SoakClients clients) throws InterruptedException {
        final List<String> violations = violations(clients);
        assertEquals(List.of(), violations, () -> describe(violations));
    }

    private SoakClients clients() {
        return new SoakClients(fixture, record, 1, draw -> "once", PAUSE_MS, PAUSE_MS + 1);
    }

    @ParameterizedTest
    @EnumSource(FaultPeriod.class)
    void noUnsafeMessageIsSentTwiceAndNoAcceptedMessageIsLost(final FaultPeriod faultPeriod) throws Exception {
        record.launched();
        fixture.start();
        final SoakClients clients = clients();
        clients.start(CLIENTS);
        for (int count = 0; count < FAULT_PERIODS; count++) {
            Thread.sleep(FAULT_FREE_MS);
            faultPeriod.inject.accept(fixture.faults);
            Thread.sleep(FAULT_PERIOD_MS);
            fixture.faults.clear();
        }
        assertNoViolation(clients);
        assertTrue(fixture.isAlive());
    }

    @ParameterizedTest
    @EnumSource(
            value = FaultPeriod.class,
            names = {"SENDS_AFTER_THEIR_EFFECT", "ONE_SEND_OR_SHUTDOWN_IN_TWO", "ONE_READ_OR_SEND_IN_THREE"})
    void noUnsafeMessageIsSentTwiceAndNoAcceptedMessageIsLostAcrossAKill(final FaultPeriod faultPeriod)
            throws Exception {
        record.launched();
        fixture.start();
        final SoakClients clients = clients();
        clients.start(CLIENTS);
        Thread.sleep(FAULT_FREE_MS);
        faultPeriod.inject.accept(fixture.faults);
        Thread.sleep(FAULT_PERIOD_MS);
        final long fromMs = record.nowMs();
        fixture.kill();
        record.launched();
        timer.schedule(fixture.faults::clear, RESTART_FAULT_PERIOD_MS, TimeUnit.MILLISECONDS);
        fixture.start();
        record.restarted(fromMs);
        Thread.sleep(FAULT_FREE_MS);
        assertNoViolation(clients);
    }

    @ParameterizedTest
    @EnumSource(
            value = FaultPeriod.class,
            names = {"SENDS_AFTER_THEIR_EFFECT", "ONE_SEND_OR_SHUTDOWN_IN_TWO", "ONE_READ_OR_SEND_IN_THREE"})
    void noUnsafeMessageIsSentTwiceAndNoAcceptedMessageIsLostAcrossAHandover(final FaultPeriod faultPeriod)
            throws Exception {
        record.launched();
        fixture.start();
        final SoakClients clients = clients();
        clients.start(CLIENTS);
        final Process old = fixture.startSuccessor();
        Thread.sleep(FAULT_FREE_MS);
        faultPeriod.inject.accept(fixture.faults);
        timer.schedule(fixture.faults::clear, RESTART_FAULT_PERIOD_MS, TimeUnit.MILLISECONDS);
        final long fromMs = record.nowMs();
        fixture.endOldProcess(old, false);
        record.restarted(fromMs);
        Thread.sleep(FAULT_FREE_MS);
        assertNoViolation(clients);
    }
}
