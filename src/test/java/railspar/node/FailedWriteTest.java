package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import railspar.node.FaultPage.Fault;

/** A failed write to an endpoint or a client: when it counts as sent, not sent or in doubt. */
final class FailedWriteTest extends AbstractCourierProcessTest {
    private static final String REQUEST_IN_DOUBT = "the request may have left";
    private static final String ANSWER_IN_DOUBT = "its client may have read that it is taken on";

    @BeforeEach
    void startWithFaults() throws IOException, InterruptedException {
        fixture.faults = new FaultPage(folder, folder.resolve("state"));
        fixture.discovery = "pushed";
        fixture.hosts = bothEndpoints("Ready");
        fixture.start();
    }

    private void failSends(final long scope, final int error, final long effect) {
        fixture.faults
                .set(Fault.SOCKET_SCOPE, scope)
                .set(Fault.SEND_EFFECT, effect)
                .set(Fault.SEND_ERRNO, error);
    }

    private void awaitLog(final String text) {
        fixture.await(text, () -> fixture.log.stream().anyMatch(line -> line.contains(text)));
    }

    /** The number of complete requests that contained a message. */
    private long received(final String id) {
        return Collections.frequency(fixture.first.ids(), id) + Collections.frequency(fixture.second.ids(), id);
    }

    @ParameterizedTest
    @CsvSource({
        FaultPage.EIO + "," + FaultPage.ALL_BYTES,
        FaultPage.EPIPE + "," + FaultPage.ALL_BYTES,
        FaultPage.ECONNRESET + "," + FaultPage.ALL_BYTES,
        FaultPage.ENOBUFS + "," + FaultPage.HALF_OF_THE_BYTES,
        FaultPage.ETIMEDOUT + "," + FaultPage.NO_BYTES
    })
    void anUnsafeMessageWhoseRequestMayHaveBeenSentIsNotRetried(final int error, final long effect) throws IOException {
        failSends(FaultPage.CONNECTED_SOCKETS, error, effect);
        assertEquals(202, fixture.submit("m1", "once").status());
        awaitLog(REQUEST_IN_DOUBT);
        fixture.faults.clear();
        fixture.await("its end", () -> fixture.hasNotice("m1", "undeliverable"));
        assertTrue(received("m1") <= 1, "sent " + received("m1") + " times");
    }

    @Test
    void noUnsafeMessageOfABulkCallThatMayHaveBeenSentIsRetried() throws Exception {
        final List<String> ids = List.of("m1", "m2", "m3");
        final List<Socket> clients = new ArrayList<>();
        for (int count = 0; count < ids.size(); count++) {
            clients.add(fixture.connect());
        }
        fixture.signal("STOP");
        for (int count = 0; count < ids.size(); count++) {
            clients.get(count)
                    .getOutputStream()
                    .write(CourierProcessFixture.message(ids.get(count), "once").getBytes(StandardCharsets.ISO_8859_1));
        }
        failSends(FaultPage.CONNECTED_SOCKETS, FaultPage.EIO, FaultPage.ALL_BYTES);
        fixture.signal("CONT");
        for (final Socket client : clients) {
            assertEquals(
                    202, CourierProcessFixture.read(client.getInputStream()).status());
            client.close();
        }
        awaitLog(REQUEST_IN_DOUBT);
        fixture.faults.clear();
        fixture.await(
                "their ends",
                () -> ids.stream()
                        .allMatch(
                                id -> fixture.hasNotice(id, "undeliverable") || received(id) > 0 && isNotInDoubt(id)));
        ids.forEach(id -> assertTrue(received(id) <= 1, id + " was sent " + received(id) + " times"));
        assertTrue(
                fixture.log.stream()
                        .anyMatch(line -> line.contains(REQUEST_IN_DOUBT) && line.matches("call of \\[\\S+, .*")),
                fixture.log.toString());
    }

    /** True if no call of the message is logged as in doubt: it was delivered by a call whose write did not fail. */
    private boolean isNotInDoubt(final String id) {
        return fixture.log.stream().noneMatch(line -> line.contains(REQUEST_IN_DOUBT) && line.contains(id));
    }

    @Test
    void aSafeMessageWhoseRequestMayHaveBeenSentIsRetried() throws IOException {
        failSends(FaultPage.CONNECTED_SOCKETS, FaultPage.EIO, FaultPage.NO_BYTES);
        assertEquals(202, fixture.submit("m1", "safe").status());
        awaitLog(REQUEST_IN_DOUBT);
        fixture.faults.clear();
        fixture.await("its delivery", () -> received("m1") > 0);
    }

    @Test
    void aKeyedMessageWhoseRequestMayHaveBeenSentIsNotRetriedAfterItsDeduplicationWindow() throws Exception {
        failSends(FaultPage.CONNECTED_SOCKETS, FaultPage.EIO, FaultPage.ALL_BYTES);
        assertEquals(202, fixture.submit("m1", "brief").status());
        awaitLog(REQUEST_IN_DOUBT);
        TimeUnit.MILLISECONDS.sleep(CourierProcessFixture.BRIEF_WINDOW_MS);
        final long before = received("m1");
        fixture.faults.clear();
        fixture.await("its end", () -> fixture.hasNotice("m1", "deferred"));
        assertEquals(before, received("m1"));
    }

    @ParameterizedTest
    @ValueSource(longs = {FaultPage.ALL_BYTES, FaultPage.HALF_OF_THE_BYTES})
    void aMessageWhoseClientReadTheAcceptanceIsDelivered(final long effect) throws IOException {
        failSends(FaultPage.ACCEPTED_SOCKETS, FaultPage.EIO, effect);
        assertEquals(202, fixture.submit("m1", "once").status());
        awaitLog(ANSWER_IN_DOUBT);
        fixture.faults.clear();
        fixture.await("its delivery", () -> received("m1") == 1);
    }

    private String bothEndpoints(final String health) {
        return CourierProcessFixture.hostEntry("e1", fixture.first, health) + ","
                + CourierProcessFixture.hostEntry("e2", fixture.second, health);
    }

    @Test
    void aMessageWhoseClientReadTheAcceptanceIsDeliveredAfterAKill() throws Exception {
        // While both endpoints drain no call is out, which would count as possibly delivered after the kill.
        fixture.sendListChange(42, bothEndpoints("Terminating"));
        awaitLog("the list at 42");
        failSends(FaultPage.ACCEPTED_SOCKETS, FaultPage.EIO, FaultPage.ALL_BYTES);
        assertEquals(202, fixture.submit("m1", "once").status());
        awaitLog(ANSWER_IN_DOUBT);
        fixture.kill();
        fixture.faults.clear();
        assertEquals(0, received("m1"));
        fixture.firstWatchLine = CourierProcessFixture.listLine(43, bothEndpoints("Ready"));
        fixture.start();
        fixture.await("its call by the next process", () -> received("m1") == 1);
    }

    @Test
    void aNoticeWhoseRequestMayHaveBeenSentIsRepeatedAndItsMessageIsNotRetried() throws IOException {
        fixture.second.script((request, connection) -> {
            fixture.faults.set(Fault.SEND_EFFECT, FaultPage.ALL_BYTES).set(Fault.SEND_ERRNO, FaultPage.EIO);
            connection.answer(410, "");
        });
        fixture.first.script((request, connection) -> {
            fixture.faults.set(Fault.SEND_EFFECT, FaultPage.ALL_BYTES).set(Fault.SEND_ERRNO, FaultPage.EIO);
            connection.answer(410, "");
        });
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("its notice", () -> fixture.hasNotice("m1", "undeliverable"));
        fixture.faults.clear();
        final int noticesBefore = fixture.notices.size();
        fixture.await("its notice again", () -> fixture.notices.size() > noticesBefore);
        assertEquals(1, received("m1"));
        assertEquals(Set.of(), Set.copyOf(violations()));
    }

    private List<String> violations() {
        return fixture.log.stream().filter(line -> line.contains("violation")).toList();
    }
}
