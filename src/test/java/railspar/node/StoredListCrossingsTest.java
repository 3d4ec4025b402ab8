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

/** What a restart asks for, what a start waits for, and what spoilt lists change: nothing that was good. */
final class StoredListCrossingsTest extends AbstractCourierProcessTest {
    /** The request lines of the watches. */
    private final List<String> asked = new CopyOnWriteArrayList<>();

    @BeforeEach
    void configure() {
        fixture.discovery = "pushed";
    }

    /** Plays the agent: each watch begins with the text at its place, the last one with all that follow. */
    private void agent(final String... texts) {
        fixture.platform.script((request, connection) -> {
            if (request.line().startsWith("POST")) {
                fixture.answerPlatformRequest(request, connection);
            } else {
                asked.add(request.line());
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                connection.chunk(texts[Math.min(asked.size(), texts.length) - 1]);
            }
        });
    }

    private void awaitLog(final String begin) {
        fixture.await(begin, () -> fixture.log.stream().anyMatch(line -> line.startsWith(begin)));
    }

    private long said(final String words) {
        return fixture.log.stream().filter(line -> line.contains(words)).count();
    }

    private String news() {
        return CourierProcessFixture.listLine(
                43,
                CourierProcessFixture.hostEntry("e1", fixture.first, "Gone") + ","
                        + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready"));
    }

    private Path copy() {
        return folder.resolve("state").resolve("list");
    }

    @Test
    void aRestartAsksOnlyForWhatCameAfterItsCopyAndServesByIt() throws IOException, InterruptedException {
        agent(news(), "\n");
        fixture.start();
        fixture.await("the copy", () -> Files.exists(copy()));
        fixture.killAndRestart();
        fixture.await("the second watch", () -> asked.size() == 2);
        assertTrue(asked.get(0).contains("after=41 "), asked.toString());
        assertTrue(asked.get(1).contains("after=43 "), asked.toString());
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call by the copy", () -> fixture.second.requests.size() == 1);
        assertEquals(0, fixture.first.requests.size());
    }

    @Test
    void aTornCopyIsDroppedAndTheConfigurationHolds() throws IOException, InterruptedException {
        agent(news(), "\n");
        fixture.start();
        fixture.await("the copy", () -> Files.exists(copy()));
        fixture.kill();
        Files.write(copy(), Arrays.copyOf(Files.readAllBytes(copy()), 60));
        fixture.start();
        fixture.await("the second watch", () -> asked.size() == 2);
        assertTrue(asked.get(1).contains("after=41 "), asked.toString());
        assertEquals(1, said("the stored list is dropped"));
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call by the configuration", () -> fixture.first.requests.size() == 1);
    }

    @Test
    void aCopyFromOtherSettingsIsDropped() throws IOException, InterruptedException {
        agent(news(), "\n");
        fixture.start();
        fixture.await("the copy", () -> Files.exists(copy()));
        fixture.kill();
        fixture.maxOpen++;
        fixture.start();
        fixture.await("the second watch", () -> asked.size() == 2);
        assertTrue(asked.get(1).contains("after=41 "), asked.toString());
        assertEquals(1, said("it was written under other settings"));
    }

    @Test
    void withNoListAtAllItIsReadyOnceOneIsInForce() throws IOException {
        fixture.hosts = "";
        agent(
                "{\"seq\":42,\"hosts\":[{\"ho\n",
                "{\"hosts\":[\n\n",
                CourierProcessFixture.listLine(42, CourierProcessFixture.hostEntry("e2", fixture.second, "Ready")));
        fixture.start();
        assertEquals(3, asked.size(), "what cannot be used is no list");
        final List<String> log = List.copyOf(fixture.log);
        final int inForce = indexOf(log, "the list at 42");
        assertTrue(inForce >= 0 && inForce < indexOf(log, "n0 is ready at"), log.toString());
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.second.requests.size() == 1);
    }

    @Test
    void withNoListAndASilentDiscoveryItStartsInTheEndAndSaysWhy() throws IOException {
        fixture.hosts = "";
        fixture.firstWatchLine = "";
        fixture.start();
        final int why = indexOf(fixture.log, "starts with 0 endpoints: no list has come");
        assertTrue(why >= 0 && why < indexOf(fixture.log, "n0 is ready at"), fixture.log.toString());
        assertTrue(fixture.watches.size() > 1, "it has asked again meanwhile");
    }

    private static int indexOf(final List<String> log, final String begin) {
        for (int index = 0; index < log.size(); index++) {
            if (log.get(index).startsWith(begin)) {
                return index;
            }
        }
        return -1;
    }

    @Test
    void aRepeatedEntryAndAnOlderVersionChangeNothingAndAreSaidOnce() throws IOException {
        final String two = CourierProcessFixture.hostEntry("e2", fixture.second, "Ready");
        final String repeated = CourierProcessFixture.listLine(
                        42, CourierProcessFixture.hostEntry("e1", fixture.first, "Gone") + "," + two + "," + two)
                .replace("false", "true");
        final String older = CourierProcessFixture.listLine(40, two).replace("false", "true");
        agent(repeated, repeated, older, older.replace("40", "39"), "\n");
        fixture.start();
        fixture.await("the fifth watch", () -> asked.size() == 5);
        assertEquals(1, said("it names e2 twice"));
        assertEquals(1, said("is older than 41"));
        assertTrue(asked.stream().allMatch(line -> line.contains("after=41 ")), asked.toString());
        assertFalse(Files.exists(copy()), "nothing new is in force");
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call by the list that holds", () -> fixture.first.requests.size() == 1);
        assertEquals(0, fixture.second.requests.size());
    }

    @Test
    void aListOfManyMegabytesIsInForceWithTheFirstWatch() throws IOException {
        final StringBuilder hosts = new StringBuilder(CourierProcessFixture.hostEntry("e2", fixture.second, "Ready"));
        for (int index = 0; index < 34_000; index++) {
            hosts.append(',')
                    .append(CourierProcessFixture.hostEntry("s-%08x".formatted(index), "127.0.0.1:9", "Ready")
                            .replace("\"block\":7", "\"block\":" + (1000 + index / 2)));
        }
        final String whole =
                CourierProcessFixture.listLine(42, hosts.toString()).replace("false", "true");
        assertTrue(whole.length() > 1 << 22, whole.length() + " bytes");
        agent(whole);
        fixture.start();
        awaitLog("the list at 42: FULL, 34001 entries, 1 gone");
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.second.requests.size() == 1);
        assertEquals(1, asked.size());
    }
}
