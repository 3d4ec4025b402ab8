package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import railspar.node.FaultPage.Fault;

/** A real courier whose state folder, sockets or wall clock fail at startup or while it runs. */
final class FolderFaultsTest extends AbstractCourierProcessTest {
    private static final int HOUR_S = 3600;
    private static final int MESSAGE_COUNT = 40;
    /** How long a startup fault lasts. */
    private static final long FAULT_MS = 1500;

    @BeforeEach
    void preload() throws IOException, InterruptedException {
        final Path state = folder.resolve("state");
        fixture.faults = new FaultPage(folder, state);
        fixture.discovery = "pushed";
        fixture.maxOpen = 200;
    }

    /** Submits messages that the courier accepts; the endpoint must be draining, so that none is delivered. */
    private List<String> submitMessages(final String prefix, final int timeoutMs) throws IOException {
        final List<String> ids = new ArrayList<>();
        for (int count = 0; count < MESSAGE_COUNT; count++) {
            final String id = prefix + count;
            final String message = CourierProcessFixture.message(id, "safe")
                    .replace("X-Timeout-Ms: 20000", "X-Timeout-Ms: " + timeoutMs);
            assertEquals(202, fixture.send(message).status());
            ids.add(id);
        }
        return ids;
    }

    private void awaitLog(final String text) {
        fixture.await(text, () -> fixture.log.stream().anyMatch(line -> line.contains(text)));
    }

    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {"OPEN_ERRNO", "READ_ERRNO", "WRITE_ERRNO", "RENAME_ERRNO", "TRUNCATE_ERRNO", "UNLINK_ERRNO"})
    void startupWaitsForTheStateFolderAndLosesNoMessage(final Fault fault) throws Exception {
        fixture.firstWatchLine =
                CourierProcessFixture.listLine(42, CourierProcessFixture.hostEntry("e1", fixture.first, "Terminating"));
        fixture.start();
        final List<String> ids = submitMessages("m", 20_000);
        fixture.kill();
        fixture.firstWatchLine =
                CourierProcessFixture.listLine(43, CourierProcessFixture.hostEntry("e1", fixture.first, "Ready"));
        fixture.faults.set(fault, FaultPage.EIO).set(Fault.WRITE_EFFECT, FaultPage.NO_BYTES);
        final Process process = fixture.launch();
        TimeUnit.MILLISECONDS.sleep(FAULT_MS);
        assertTrue(process.isAlive(), "the process ended: " + fixture.log);
        fixture.faults.clear();
        fixture.await("a call for each", () -> Set.copyOf(fixture.first.ids()).containsAll(ids));
    }

    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {"SOCKET_ERRNO", "BIND_ERRNO", "CONNECT_ERRNO"})
    void startupWaitsUntilItCanListen(final Fault fault) throws Exception {
        fixture.faults.set(fault, fault == Fault.BIND_ERRNO ? FaultPage.EADDRINUSE : FaultPage.EMFILE);
        final Process process = fixture.launch();
        TimeUnit.MILLISECONDS.sleep(FAULT_MS);
        assertTrue(process.isAlive(), "the process ended: " + fixture.log);
        fixture.faults.clear();
        awaitLog("is ready at");
    }

    @ParameterizedTest
    @ValueSource(ints = {HOUR_S, -HOUR_S})
    void messagesKeepTheirDeadlineAcrossAWallClockStepBetweenProcesses(final int stepS) throws Exception {
        fixture.firstWatchLine =
                CourierProcessFixture.listLine(42, CourierProcessFixture.hostEntry("e1", fixture.first, "Terminating"));
        fixture.start();
        final List<String> ids = submitMessages("m", 20_000);
        fixture.kill();
        fixture.faults.set(Fault.CLOCK_STEP_S, stepS);
        fixture.firstWatchLine =
                CourierProcessFixture.listLine(43, CourierProcessFixture.hostEntry("e1", fixture.first, "Ready"));
        fixture.start();
        fixture.await("a call for each", () -> Set.copyOf(fixture.first.ids()).containsAll(ids));
        assertEquals(List.of(), fixture.notices);
    }

    @ParameterizedTest
    @ValueSource(ints = {HOUR_S, -HOUR_S})
    void messagesExpireOnTimeAfterAWallClockStepBetweenProcesses(final int stepS) throws Exception {
        fixture.firstWatchLine =
                CourierProcessFixture.listLine(42, CourierProcessFixture.hostEntry("e1", fixture.first, "Terminating"));
        fixture.start();
        final List<String> ids = submitMessages("m", 6_000);
        final long acceptedNs = System.nanoTime();
        fixture.kill();
        fixture.faults.set(Fault.CLOCK_STEP_S, stepS);
        fixture.start();
        fixture.await("a notice for each", () -> ids.stream().allMatch(id -> fixture.hasNotice(id, "\"status\"")));
        final long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - acceptedNs);
        assertTrue(tookMs < 6_300, "too late: notices after " + tookMs + " ms");
        assertTrue(tookMs > 3_000, "too early: notices after " + tookMs + " ms");
    }

    @Test
    void aMessageRejectedAfterAFailedWriteIsNotSentAfterARestart() throws Exception {
        fixture.firstWatchLine =
                CourierProcessFixture.listLine(42, CourierProcessFixture.hostEntry("e1", fixture.first, "Terminating"));
        fixture.start();
        fixture.faults.set(Fault.WRITE_EFFECT, FaultPage.ALL_BYTES).set(Fault.WRITE_ERRNO, FaultPage.EIO);
        final int status = fixture.submit("doubtful", "safe").status();
        fixture.kill();
        fixture.faults.clear();
        fixture.firstWatchLine =
                CourierProcessFixture.listLine(43, CourierProcessFixture.hostEntry("e1", fixture.first, "Ready"));
        fixture.start();
        assertEquals(202, fixture.submit("marker", "safe").status());
        fixture.await("the call", () -> fixture.first.ids().contains("marker"));
        assertTrue(status == 202 || status == 503, "status " + status);
        assertEquals(status == 202, fixture.first.ids().contains("doubtful"), "status " + status);
    }

    @Test
    void noMessageIsAcceptedWhileWriteReadAndTruncateFail() throws Exception {
        fixture.start();
        fixture.faults
                .set(Fault.WRITE_EFFECT, FaultPage.ALL_BYTES)
                .set(Fault.READ_ERRNO, FaultPage.EIO)
                .set(Fault.TRUNCATE_ERRNO, FaultPage.EIO)
                .set(Fault.WRITE_ERRNO, FaultPage.EIO);
        assertEquals(500, fixture.submit("doubtful", "safe").status());
        assertEquals(503, fixture.submit("refused", "safe").status());
        fixture.faults.clear();
        assertEquals(202, fixture.submit("taken", "safe").status());
        fixture.await("the call", () -> fixture.first.ids().contains("taken"));
        fixture.killAndRestart();
        assertEquals(202, fixture.submit("marker", "safe").status());
        fixture.await("the call after the kill", () -> fixture.first.ids().contains("marker"));
        assertEquals(Set.of("taken", "marker"), Set.copyOf(fixture.first.ids()));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1})
    void messagesAcceptedAfterAFailedCompactionRenameSurviveAKill(final long renameTookEffect) throws Exception {
        fixture.diskMb = 1;
        fixture.start();
        fixture.faults.set(Fault.RENAME_EFFECT, renameTookEffect).set(Fault.RENAME_ERRNO, FaultPage.EIO);
        final String body = "x".repeat(8000);
        final List<String> accepted = new ArrayList<>();
        for (int count = 0; count < 100; count++) {
            if (fixture.send(CourierProcessFixture.message("m" + count, "safe", body))
                            .status()
                    == 202) {
                accepted.add("m" + count);
            }
        }
        assertTrue(accepted.size() > 20, "accepted: " + accepted);
        fixture.faults.clear();
        fixture.await("a call for each", () -> Set.copyOf(fixture.first.ids()).containsAll(accepted));
        fixture.first.script((request, connection) -> {});
        assertEquals(202, fixture.submit("kept", "safe").status());
        fixture.await("its first call", () -> fixture.first.ids().contains("kept"));
        fixture.kill();
        fixture.first.script((request, connection) -> connection.accept(request));
        final int callsBefore = fixture.first.ids().size();
        fixture.start();
        fixture.await(
                "its next call",
                () -> fixture.first.ids().stream().skip(callsBefore).anyMatch("kept"::equals));
    }

    @Test
    void noticesAreSentOnTimeEvenIfTheOutcomeCannotBeRecorded() throws Exception {
        fixture.firstWatchLine =
                CourierProcessFixture.listLine(42, CourierProcessFixture.hostEntry("e1", fixture.first, "Terminating"));
        fixture.start();
        final long acceptedNs = System.nanoTime();
        final List<String> ids = submitMessages("m", 3_000);
        fixture.faults.set(Fault.WRITE_ERRNO, FaultPage.EIO);
        fixture.await("a notice for each", () -> ids.stream().allMatch(id -> fixture.hasNotice(id, "\"status\"")));
        final long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - acceptedNs);
        assertTrue(tookMs < 3_300, "too late: notices after " + tookMs + " ms");
    }

    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {"OPEN_ERRNO", "WRITE_ERRNO", "RENAME_ERRNO"})
    void aDrainReceivedWhileTheFolderFailedIsKnownAfterARestartWithoutDiscovery(final Fault fault) throws Exception {
        fixture.hosts = CourierProcessFixture.hostEntry("e1", fixture.first, "Ready") + ","
                + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready");
        fixture.start();
        fixture.faults.set(fault, FaultPage.EIO);
        fixture.sendListChange(42, CourierProcessFixture.hostEntry("e1", fixture.first, "Terminating"));
        awaitLog("the list at 42");
        awaitLog("the stored list cannot be written for now");
        fixture.faults.clear();
        fixture.sendListChange(43, CourierProcessFixture.hostEntry("e2", fixture.second, "Ready"));
        awaitLog("the list at 43");
        awaitLog("the stored list is written anew");
        fixture.firstWatchLine = "";
        fixture.killAndRestart();
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.second.ids().contains("m1"));
        assertEquals(List.of(), fixture.first.ids());
    }

    @Test
    void aConfigurationCompletedAfterItsSignalIsLoaded() throws Exception {
        fixture.start();
        fixture.reloadTruncatedConfig();
        awaitLog("reload: kept what was known before");
        final int watchesBefore = fixture.watches.size();
        try (FakeServer newPlatform = new FakeServer(fixture::answerPlatformRequest)) {
            fixture.writeConfig(newPlatform);
            fixture.await("the watch at the new address", () -> fixture.watches.size() > watchesBefore);
        }
    }
}
