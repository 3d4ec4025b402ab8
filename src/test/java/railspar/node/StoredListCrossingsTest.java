package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what a restart requests, what a start waits for, and that invalid lists change nothing. */
final class StoredListCrossingsTest extends AbstractCourierProcessTest {
    /** The request lines of the watches, in order. */
    private final List<String> requested = new CopyOnWriteArrayList<>();

    @BeforeEach
    void configure() {
        fixture.discovery = "pushed";
    }

    /** Acts as the agent: the n-th watch begins with the n-th text, later ones with the last text. */
    private void scriptAgent(final String... texts) {
        fixture.platform.script((request, connection) -> {
            if (request.line().startsWith("POST")) {
                fixture.answerPlatformRequest(request, connection);
            } else {
                requested.add(request.line());
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                connection.chunk(texts[Math.min(requested.size(), texts.length) - 1]);
            }
        });
    }

    private void awaitLog(final String prefix) {
        fixture.await(prefix, () -> fixture.log.stream().anyMatch(line -> line.startsWith(prefix)));
    }

    private long countLogged(final String text) {
        return fixture.log.stream().filter(line -> line.contains(text)).count();
    }

    private String changedList() {
        return CourierProcessFixture.listLine(
                43,
                CourierProcessFixture.hostEntry("e1", fixture.first, "Gone") + ","
                        + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready"));
    }

    private Path storedList() {
        return folder.resolve("state").resolve("list");
    }

    @Test
    void aRestartRequestsOnlyChangesAfterItsStoredListAndUsesThatList() throws IOException, InterruptedException {
        scriptAgent(changedList(), "\n");
        fixture.start();
        fixture.await("the stored list", () -> Files.exists(storedList()));
        fixture.killAndRestart();
        fixture.await("the second watch", () -> requested.size() == 2);
        assertTrue(requested.get(0).contains("after=41 "), requested.toString());
        assertTrue(requested.get(1).contains("after=43 "), requested.toString());
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call to the endpoint of the stored list", () -> fixture.second.requests.size() == 1);
        assertEquals(0, fixture.first.requests.size());
    }

    @Test
    void anIncompleteStoredListIsDroppedAndTheConfiguredListIsUsed() throws IOException, InterruptedException {
        scriptAgent(changedList(), "\n");
        fixture.start();
        fixture.await("the stored list", () -> Files.exists(storedList()));
        fixture.kill();
        Files.write(storedList(), Arrays.copyOf(Files.readAllBytes(storedList()), 60));
        fixture.start();
        fixture.await("the second watch", () -> requested.size() == 2);
        assertTrue(requested.get(1).contains("after=41 "), requested.toString());
        assertEquals(1, countLogged("the stored list is dropped"));
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call to the endpoint of the configured list", () -> fixture.first.requests.size() == 1);
    }

    @Test
    void aStoredListOfOtherSettingsIsDropped() throws IOException, InterruptedException {
        scriptAgent(changedList(), "\n");
        fixture.start();
        fixture.await("the stored list", () -> Files.exists(storedList()));
        fixture.kill();
        fixture.maxOpen++;
        fixture.start();
        fixture.await("the second watch", () -> requested.size() == 2);
        assertTrue(requested.get(1).contains("after=41 "), requested.toString());
        assertEquals(1, countLogged("it was written under other settings"));
    }

    @Test
    void withoutAListItIsReadyOnceOneIsApplied() throws IOException {
        fixture.hosts = "";
        scriptAgent(
                "{\"seq\":42,\"hosts\":[{\"ho\n",
                "{\"hosts\":[\n\n",
                CourierProcessFixture.listLine(42, CourierProcessFixture.hostEntry("e2", fixture.second, "Ready")));
        fixture.start();
        assertEquals(3, requested.size(), "an invalid list does not make it ready");
        final List<String> log = List.copyOf(fixture.log);
        final int applied = indexOf(log, "the list at 42");
        assertTrue(applied >= 0 && applied < indexOf(log, "n0 is ready at"), log.toString());
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.second.requests.size() == 1);
    }

    @Test
    void withoutAListAndWithASilentDiscoveryItStartsAfterTheLongestWaitAndLogsWhy() throws IOException {
        fixture.hosts = "";
        fixture.firstWatchLine = "";
        fixture.start();
        final int reason = indexOf(fixture.log, "starts with 0 endpoints: no list was received in 8000 ms");
        assertTrue(reason >= 0 && reason < indexOf(fixture.log, "n0 is ready at"), fixture.log.toString());
        assertTrue(fixture.watches.size() > 1, "it has opened another watch meanwhile");
    }

    private static int indexOf(final List<String> log, final String prefix) {
        for (int index = 0; index < log.size(); index++) {
            if (log.get(index).startsWith(prefix)) {
                return index;
            }
        }
        return -1;
    }

    @Test
    void aRepeatedEntryAndAnOlderVersionChangeNothingAndAreLoggedOnce() throws IOException {
        final String entry = CourierProcessFixture.hostEntry("e2", fixture.second, "Ready");
        final String repeated = CourierProcessFixture.listLine(
                        42, CourierProcessFixture.hostEntry("e1", fixture.first, "Gone") + "," + entry + "," + entry)
                .replace("false", "true");
        final String older = CourierProcessFixture.listLine(40, entry).replace("false", "true");
        scriptAgent(repeated, repeated, older, older.replace("40", "39"), "\n");
        fixture.start();
        fixture.await("the fifth watch", () -> requested.size() == 5);
        assertEquals(1, countLogged("it names e2 twice"));
        assertEquals(1, countLogged("is older than 41"));
        assertTrue(requested.stream().allMatch(line -> line.contains("after=41 ")), requested.toString());
        assertFalse(Files.exists(storedList()), "nothing new has been applied");
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call to the endpoint of the unchanged list", () -> fixture.first.requests.size() == 1);
        assertEquals(0, fixture.second.requests.size());
    }

    @Test
    void aListOfManyMegabytesIsAppliedWithTheFirstWatch() throws IOException {
        final StringBuilder hosts = new StringBuilder(CourierProcessFixture.hostEntry("e2", fixture.second, "Ready"));
        for (int index = 0; index < 34_000; index++) {
            hosts.append(',')
                    .append(CourierProcessFixture.hostEntry("s-%08x".formatted(index), "127.0.0.1:9", "Ready")
                            .replace("\"block\":7", "\"block\":" + (1000 + index / 2)));
        }
        final String fullList =
                CourierProcessFixture.listLine(42, hosts.toString()).replace("false", "true");
        assertTrue(fullList.length() > 1 << 22, fullList.length() + " bytes");
        scriptAgent(fullList);
        fixture.start();
        awaitLog("the list at 42: FULL, 34001 entries, 1 gone");
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.second.requests.size() == 1);
        assertEquals(1, requested.size());
    }
}
