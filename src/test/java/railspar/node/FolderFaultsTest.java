package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import railspar.node.FaultPage.Fault;
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

/** A real courier whose state folder, sockets or wall clock fail, at a start and while it runs. */
final class FolderFaultsTest extends AbstractCourierProcessTest {
    private static final int HOUR_S = 3600;
    private static final int EACH = 40;
    /** How long a fault lasts after it has been seen. */
    private static final long FAULT_MS = 1500;

    @BeforeEach
    void preload() throws IOException, InterruptedException {
        final Path state = folder.resolve("state");
        rig.faults = new FaultPage(folder, state);
        rig.discovery = "pushed";
        rig.maxOpen = 200;
    }

    /** Has the courier take messages on that no endpoint answers. */
    private List<String> takeOn(final String prefix, final int timeoutMs) throws IOException {
        final List<String> ids = new ArrayList<>();
        for (int count = 0; count < EACH; count++) {
            final String id = prefix + count;
            final String message = Rig.message(id, "safe").replace("X-Timeout-Ms: 20000", "X-Timeout-Ms: " + timeoutMs);
            assertEquals(202, rig.send(message).status());
            ids.add(id);
        }
        return ids;
    }

    private void awaitLog(final String words) {
        rig.await(words, () -> rig.log.stream().anyMatch(line -> line.contains(words)));
    }

    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {"OPEN_ERRNO", "READ_ERRNO", "WRITE_ERRNO", "RENAME_ERRNO", "TRUNCATE_ERRNO", "UNLINK_ERRNO"})
    void aStartWaitsUntilTheFolderCanBeUsedAndLosesNothing(final Fault fault) throws Exception {
        rig.news = Rig.line(42, Rig.host("e1", rig.first, "Terminating"));
        rig.start();
        final List<String> ids = takeOn("m", 20_000);
        rig.kill();
        rig.news = Rig.line(43, Rig.host("e1", rig.first, "Ready"));
        rig.faults.set(fault, FaultPage.EIO).set(Fault.WRITE_EFFECT, FaultPage.NO_BYTES);
        final Process process = rig.launch();
        TimeUnit.MILLISECONDS.sleep(FAULT_MS);
        assertTrue(process.isAlive(), "it ended: " + rig.log);
        rig.faults.clear();
        rig.await("a call for each", () -> Set.copyOf(rig.first.ids()).containsAll(ids));
    }

    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {"SOCKET_ERRNO", "BIND_ERRNO", "CONNECT_ERRNO"})
    void aStartWaitsUntilItCanListen(final Fault fault) throws Exception {
        rig.faults.set(fault, fault == Fault.BIND_ERRNO ? FaultPage.EADDRINUSE : FaultPage.EMFILE);
        final Process process = rig.launch();
        TimeUnit.MILLISECONDS.sleep(FAULT_MS);
        assertTrue(process.isAlive(), "it ended: " + rig.log);
        rig.faults.clear();
        awaitLog("is ready at");
    }

    @ParameterizedTest
    @ValueSource(ints = {HOUR_S, -HOUR_S})
    void messagesKeepTheirTimeThoughTheWallClockIsSteppedWhileNoProcessRuns(final int stepS) throws Exception {
        rig.news = Rig.line(42, Rig.host("e1", rig.first, "Terminating"));
        rig.start();
        final List<String> ids = takeOn("m", 20_000);
        rig.kill();
        rig.faults.set(Fault.CLOCK_STEP_S, stepS);
        rig.news = Rig.line(43, Rig.host("e1", rig.first, "Ready"));
        rig.start();
        rig.await("a call for each", () -> Set.copyOf(rig.first.ids()).containsAll(ids));
        assertEquals(List.of(), rig.notices);
    }

    @ParameterizedTest
    @ValueSource(ints = {HOUR_S, -HOUR_S})
    void messagesEndInTimeThoughTheWallClockIsSteppedWhileNoProcessRuns(final int stepS) throws Exception {
        rig.news = Rig.line(42, Rig.host("e1", rig.first, "Terminating"));
        rig.start();
        final List<String> ids = takeOn("m", 6_000);
        final long takenNs = System.nanoTime();
        rig.kill();
        rig.faults.set(Fault.CLOCK_STEP_S, stepS);
        rig.start();
        rig.await("a notice for each", () -> ids.stream().allMatch(id -> rig.noticed(id, "\"status\"")));
        final long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - takenNs);
        assertTrue(tookMs < 6_300, "told after " + tookMs + " ms");
        assertTrue(tookMs > 3_000, "given up after " + tookMs + " ms");
    }

    @Test
    void whatWasRefusedAsItsWriteFailedIsNotSentByTheNextProcess() throws Exception {
        rig.news = Rig.line(42, Rig.host("e1", rig.first, "Terminating"));
        rig.start();
        rig.faults.set(Fault.WRITE_EFFECT, FaultPage.ALL_BYTES).set(Fault.WRITE_ERRNO, FaultPage.EIO);
        final int status = rig.handIn("doubtful", "safe").status();
        rig.kill();
        rig.faults.clear();
        rig.news = Rig.line(43, Rig.host("e1", rig.first, "Ready"));
        rig.start();
        assertEquals(202, rig.handIn("marker", "safe").status());
        rig.await("the call", () -> rig.first.ids().contains("marker"));
        assertTrue(status == 202 || status == 503, "status " + status);
        assertEquals(status == 202, rig.first.ids().contains("doubtful"), "status " + status);
    }

    @Test
    void nothingIsPromisedWhereNeitherWritingNorReadingNorCuttingWorks() throws Exception {
        rig.start();
        rig.faults
                .set(Fault.WRITE_EFFECT, FaultPage.ALL_BYTES)
                .set(Fault.READ_ERRNO, FaultPage.EIO)
                .set(Fault.TRUNCATE_ERRNO, FaultPage.EIO)
                .set(Fault.WRITE_ERRNO, FaultPage.EIO);
        assertEquals(500, rig.handIn("doubtful", "safe").status());
        assertEquals(503, rig.handIn("refused", "safe").status());
        rig.faults.clear();
        assertEquals(202, rig.handIn("taken", "safe").status());
        rig.await("the call", () -> rig.first.ids().contains("taken"));
        rig.killAndRestart();
        assertEquals(202, rig.handIn("marker", "safe").status());
        rig.await("the call after the kill", () -> rig.first.ids().contains("marker"));
        assertEquals(Set.of("taken", "marker"), Set.copyOf(rig.first.ids()));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1})
    void whatIsTakenOnAfterACompactionThatCouldNotRenameItsFileOutlastsAKill(final long tookEffect) throws Exception {
        rig.diskMb = 1;
        rig.start();
        rig.faults.set(Fault.RENAME_EFFECT, tookEffect).set(Fault.RENAME_ERRNO, FaultPage.EIO);
        final String body = "x".repeat(8000);
        final List<String> accepted = new ArrayList<>();
        for (int count = 0; count < 100; count++) {
            if (rig.send(Rig.message("m" + count, "safe", body)).status() == 202) {
                accepted.add("m" + count);
            }
        }
        assertTrue(accepted.size() > 20, "accepted: " + accepted);
        rig.faults.clear();
        rig.await("a call for each", () -> Set.copyOf(rig.first.ids()).containsAll(accepted));
        rig.first.script((request, connection) -> {});
        assertEquals(202, rig.handIn("kept", "safe").status());
        rig.await("its first call", () -> rig.first.ids().contains("kept"));
        rig.kill();
        rig.first.script((request, connection) -> connection.accept(request));
        final int before = rig.first.ids().size();
        rig.start();
        rig.await("its next call", () -> rig.first.ids().stream().skip(before).anyMatch("kept"::equals));
    }

    @Test
    void anEndThatCannotBeRecordedIsToldInTimeAllTheSame() throws Exception {
        rig.news = Rig.line(42, Rig.host("e1", rig.first, "Terminating"));
        rig.start();
        final long takenNs = System.nanoTime();
        final List<String> ids = takeOn("m", 3_000);
        rig.faults.set(Fault.WRITE_ERRNO, FaultPage.EIO);
        rig.await("a notice for each", () -> ids.stream().allMatch(id -> rig.noticed(id, "\"status\"")));
        final long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - takenNs);
        assertTrue(tookMs < 3_300, "told after " + tookMs + " ms");
    }

    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {"OPEN_ERRNO", "WRITE_ERRNO", "RENAME_ERRNO"})
    void aDrainThatCameWhileTheFolderFailedIsKnownToTheNextProcessThoughDiscoveryIsDown(final Fault fault)
            throws Exception {
        rig.hosts = Rig.host("e1", rig.first, "Ready") + "," + Rig.host("e2", rig.second, "Ready");
        rig.start();
        rig.faults.set(fault, FaultPage.EIO);
        rig.change(42, Rig.host("e1", rig.first, "Terminating"));
        awaitLog("the list at 42");
        awaitLog("the stored list cannot be written for now");
        rig.faults.clear();
        rig.change(43, Rig.host("e2", rig.second, "Ready"));
        awaitLog("the list at 43");
        awaitLog("the stored list is written anew");
        rig.news = "";
        rig.killAndRestart();
        assertEquals(202, rig.handIn("m1", "safe").status());
        rig.await("the call", () -> rig.second.ids().contains("m1"));
        assertEquals(List.of(), rig.first.ids());
    }

    @Test
    void aConfigurationThatIsWholeOnlyAfterItsSignalIsRead() throws Exception {
        rig.start();
        rig.reloadTorn();
        awaitLog("reload: kept what was known before");
        final int watches = rig.watches.size();
        try (FakeServer moved = new FakeServer(rig::platform)) {
            rig.configure(moved);
            rig.await("the watch at the new address", () -> rig.watches.size() > watches);
        }
    }
}
