package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A message that may not be repeated is submitted again under its id after it has ended: it is not run twice. */
final class RepeatedSubmissionTest extends AbstractCourierProcessTest {
    private static final int ACCEPTED = 202;
    private static final int CONFLICT = 409;

    private static String once(final String id) {
        return CourierProcessFixture.message(id, "once");
    }

    private static String retried(final String id) {
        return once(id).replace("X-Timeout-Ms", "X-Retried: again\r\nX-Timeout-Ms");
    }

    private void deliver(final String id) throws IOException {
        assertEquals(ACCEPTED, fixture.send(once(id)).status());
        awaitDelivered(id);
    }

    /** Waits until the courier has read the endpoint's response: a message submitted later is delivered after it. */
    private void awaitDelivered(final String id) throws IOException {
        fixture.await("the call of " + id, () -> fixture.first.ids().contains(id));
        fixture.await("the end of " + id, () -> {
            try {
                return fixture.send(retried(id)).status() == ACCEPTED;
            } catch (final IOException e) {
                return false;
            }
        });
    }

    private void assertRanOnce(final String id) throws IOException {
        assertEquals(ACCEPTED, fixture.submit("last-" + id, "safe").status());
        fixture.await("a later call", () -> fixture.first.ids().contains("last-" + id));
        assertEquals(1, fixture.first.ids().stream().filter(id::equals).count(), "calls of " + fixture.first.ids());
    }

    /** Guards against a delivered message that is run again for a client which did not hear that it was accepted. */
    @Test
    void deliveredMessageIsAnsweredAsAcceptedAndNotRunAgain() throws IOException {
        fixture.start();
        deliver("m1");
        assertEquals(ACCEPTED, fixture.send(once("m1")).status());
        assertEquals(ACCEPTED, fixture.send(retried("m1")).status());
        assertRanOnce("m1");
    }

    /** Guards against the same in the next process after a kill. */
    @Test
    void deliveredMessageIsNotRunAgainByTheNextProcess() throws Exception {
        fixture.start();
        deliver("m1");
        fixture.killAndRestart();
        assertEquals(ACCEPTED, fixture.send(retried("m1")).status());
        assertRanOnce("m1");
    }

    /** Guards against a message that may have run, ends by a notice, and is run again. */
    @Test
    void messageThatMayHaveRunIsNotRunAgainAfterItsNotice() throws Exception {
        fixture.first.script((request, connection) -> connection.reset());
        fixture.start();
        assertEquals(ACCEPTED, fixture.send(once("m1")).status());
        fixture.await("the notice", () -> fixture.hasNotice("m1", "undeliverable"));
        fixture.first.script((request, connection) -> connection.accept(request));
        assertEquals(CONFLICT, fixture.send(retried("m1")).status());
        fixture.killAndRestart();
        assertEquals(CONFLICT, fixture.send(retried("m1")).status());
        assertRanOnce("m1");
    }

    /** Guards against the requests of a client that has closed its connection with much of it unread. */
    @Test
    void requestsOfAClientThatHasLeftRunAtMostOnceWhenTheyComeAgain() throws IOException {
        final int requests = 300;
        final int again = 40;
        fixture.maxOpen = 1_000_000;
        fixture.start();
        final StringBuilder text = new StringBuilder();
        for (int index = 0; index < requests; index++) {
            text.append(once("m" + index));
        }
        try (Socket client = fixture.connect()) {
            client.getOutputStream().write(text.toString().getBytes(StandardCharsets.US_ASCII));
        }
        for (int index = 0; index < again; index++) {
            fixture.send(retried("m" + index));
        }
        assertEquals(ACCEPTED, fixture.submit("last", "safe").status());
        fixture.await("a later call", () -> fixture.first.ids().contains("last"));
        final List<String> ids = List.copyOf(fixture.first.ids());
        assertEquals(ids.stream().distinct().count(), ids.size(), "an id ran twice: " + ids);
    }

    /** Guards against a second run at the other process of a replacement, before its predecessor's file is polled. */
    @Test
    void messageOfThePredecessorIsNotRunAgainByItsSuccessor() throws IOException {
        final int crossings = 20;
        final List<Socket> kept = new ArrayList<>();
        fixture.start();
        deliver("before");
        for (int index = 0; index < crossings; index++) {
            kept.add(fixture.connect());
            assertEquals(
                    ACCEPTED,
                    CourierProcessFixture.send(kept.get(index), once("kept" + index))
                            .status());
        }
        final Process old = fixture.startSuccessor();
        fixture.endOldProcess(old, false);
        for (int index = 0; index < crossings; index++) {
            final String id = "crossing" + index;
            assertEquals(
                    ACCEPTED,
                    CourierProcessFixture.send(kept.get(index), once(id)).status());
            assertNotEquals(0, fixture.send(retried(id)).status());
            kept.get(index).close();
        }
        assertEquals(ACCEPTED, fixture.send(retried("before")).status());
        assertRanOnce("before");
        final List<String> ids = List.copyOf(fixture.first.ids());
        assertEquals(ids.stream().distinct().count(), ids.size(), "an id ran twice: " + ids);
    }

    /** Guards against a second run of a message that its successor delivered, by way of the old process. */
    @Test
    void messageOfTheSuccessorIsNotRunAgainByWayOfItsPredecessor() throws IOException {
        fixture.start();
        try (Socket kept = fixture.connect()) {
            assertEquals(
                    ACCEPTED, CourierProcessFixture.send(kept, once("kept")).status());
            final Process old = fixture.startSuccessor();
            fixture.endOldProcess(old, false);
            deliver("m1");
            assertEquals(
                    ACCEPTED, CourierProcessFixture.send(kept, retried("m1")).status());
            assertRanOnce("m1");
        }
    }

    /** Guards against a refusal of a message that has surely not run: its client may submit it again. */
    @Test
    void messageThatNeverRanMayBeSubmittedAgain() throws IOException {
        fixture.first.script((request, connection) -> connection.answer(429, "", "Retry-After: 2.000"));
        fixture.start();
        assertEquals(
                ACCEPTED,
                fixture.send(once("m1").replace("X-Timeout-Ms: 20000", "X-Timeout-Ms: 1000"))
                        .status());
        fixture.await("the notice", () -> fixture.notices.stream().anyMatch(line -> line.contains("\"m1\"")));
        fixture.first.script((request, connection) -> connection.accept(request));
        final long before = fixture.first.ids().stream().filter("m1"::equals).count();
        fixture.await("the message to be accepted again", () -> {
            try {
                return fixture.send(retried("m1")).status() == ACCEPTED;
            } catch (final IOException e) {
                return false;
            }
        });
        fixture.await(
                "the next call",
                () -> fixture.first.ids().stream().filter("m1"::equals).count() > before);
    }
}
