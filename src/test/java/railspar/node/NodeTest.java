package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A real courier over loopback sockets: the guarantees of the protocol, and network failures. */
final class NodeTest extends AbstractCourierProcessTest {
    private static final long STOP_LIMIT_MS = 3700;

    @Test
    void acceptsAMessageAndDeliversItUnchanged() throws IOException {
        fixture.start();
        assertEquals(200, fixture.send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status());
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.message("m1", "keyed", "\u00ff\u0000 any bytes"))
                        .status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
        final FakeServer.Request call = fixture.first.requests.get(0);
        assertEquals("POST /inbox HTTP/1.1", call.line());
        assertEquals("m1", call.header("X-Request-ID"));
        assertEquals("key-m1", call.header("Idempotency-Key"));
        assertEquals((byte) 0xff, call.body()[0]);
        assertTrue(Long.parseLong(call.header("X-Timeout-Ms")) > 0);
        assertTrue(fixture.notices.isEmpty(), "a delivered message gets no notice");
    }

    // ---------------------------------------------------------------- restarts

    @Test
    void aSafeMessageInFlightAtAKillIsSentAgain() throws IOException, InterruptedException {
        fixture.first.script((request, connection) -> {});
        fixture.start();
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
        fixture.first.script((request, connection) -> connection.accept(request));
        fixture.killAndRestart();
        fixture.await("the second call", () -> fixture.first.requests.size() == 2);
        assertEquals(List.of("m1", "m1"), fixture.first.ids());
        // A further call on the same connection shows that the response to the second call has been read.
        final FakeServer.Connection used = fixture.first.requests.get(1).connection();
        for (int count = 0;
                fixture.first.requests.stream()
                                .filter(request -> request.connection() == used)
                                .count()
                        < 2;
                count++) {
            final String id = "more" + count;
            assertEquals(202, fixture.submit(id, "safe").status());
            fixture.await(id, () -> fixture.first.ids().contains(id));
        }
        fixture.killAndRestart();
        assertEquals(202, fixture.submit("last", "safe").status());
        fixture.await("the last message", () -> fixture.first.ids().contains("last"));
        assertEquals(
                2, fixture.first.ids().stream().filter("m1"::equals).count(), "a delivered message is not sent again");
    }

    @Test
    void aKeyedMessageInFlightAtAKillIsSentAgainWithinItsDeduplicationWindow()
            throws IOException, InterruptedException {
        fixture.first.script((request, connection) -> {});
        fixture.start();
        assertEquals(202, fixture.submit("m1", "keyed").status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
        fixture.first.script((request, connection) -> connection.accept(request));
        fixture.killAndRestart();
        fixture.await("the second call", () -> fixture.first.requests.size() == 2);
        assertEquals("key-m1", fixture.first.requests.get(1).header("Idempotency-Key"));
    }

    @Test
    void aKeyedMessageWithoutAnIdempotencyKeyIsSentAgainUnderItsId() throws IOException, InterruptedException {
        fixture.first.script((request, connection) -> {});
        fixture.start();
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.message("m1", "keyed").replace("Idempotency-Key: key-m1\r\n", ""))
                        .status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
        fixture.first.script((request, connection) -> connection.accept(request));
        fixture.killAndRestart();
        fixture.await("the second call", () -> fixture.first.requests.size() == 2);
        assertEquals(List.of("m1", "m1"), fixture.first.ids());
    }

    @Test
    void aKeyedMessageIsNotSentAgainAfterItsDeduplicationWindow() throws IOException, InterruptedException {
        fixture.first.script((request, connection) -> {});
        fixture.start();
        assertEquals(202, fixture.submit("m1", "brief").status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
        final long calledNs = fixture.first.requests.get(0).atNs();
        fixture.kill();
        fixture.await(
                "the key's window to pass", () -> System.nanoTime() - calledNs > TimeUnit.MILLISECONDS.toNanos(400));
        fixture.start();
        fixture.await("its notice", () -> fixture.hasNotice("m1", "deferred"));
        assertTrue(fixture.hasNotice("m1", "again_ms"), "the notice says when to submit it again: " + fixture.notices);
        assertEquals(1, fixture.first.requests.size());
    }

    @Test
    void anUnsafeMessageInFlightAtAKillFails() throws IOException, InterruptedException {
        fixture.first.script((request, connection) -> {});
        fixture.start();
        assertEquals(202, fixture.submit("m1", "once").status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
        fixture.killAndRestart();
        fixture.await("its notice", () -> fixture.hasNotice("m1", "undeliverable"));
        assertEquals(1, fixture.first.requests.size());
    }

    @Test
    void aNoticeIsSentUntilItIsConfirmedEvenAcrossARestart() throws IOException, InterruptedException {
        fixture.noticeStatus = 503;
        fixture.first.script((request, connection) -> connection.reset());
        fixture.start();
        assertEquals(202, fixture.submit("m1", "once").status());
        fixture.await("two attempts to send the notice", () -> fixture.notices.size() >= 2);
        fixture.kill();
        final int before = fixture.notices.size();
        fixture.start();
        fixture.await("an attempt by the next process", () -> fixture.notices.size() > before);
        fixture.noticeStatus = 204;
        final int refused = fixture.notices.size();
        fixture.await("the confirmed notice", () -> fixture.notices.size() > refused);
        fixture.killAndRestart();
        fixture.noticeStatus = 503;
        assertEquals(202, fixture.submit("m2", "once").status());
        fixture.await("the next notice", () -> fixture.hasNotice("m2", "undeliverable"));
        assertFalse(
                fixture.notices.get(fixture.notices.size() - 1).contains("m1"), "a confirmed notice is not sent again");
    }

    @Test
    void onSigtermItServesForAWhileAndExitsBeforeItsKillDeadline() throws IOException, InterruptedException {
        fixture.first.script((request, connection) -> {});
        fixture.start();
        final Socket idle = fixture.connect();
        assertEquals(
                202,
                CourierProcessFixture.send(idle, CourierProcessFixture.message("m1", "safe"))
                        .status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
        final long sigtermNs = System.nanoTime();
        final Process ending = fixture.terminate();
        assertEquals(-1, idle.getInputStream().read(), "an idle client's connection is closed");
        final CourierProcessFixture.Answer lateAnswer = fixture.submit("m2", "safe");
        assertEquals(202, lateAnswer.status());
        assertTrue(lateAnswer.head().contains("connection: close"), lateAnswer.head());
        assertTrue(ending.waitFor(CourierProcessFixture.TIMEOUT_S, TimeUnit.SECONDS));
        final long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sigtermNs);
        assertTrue(tookMs < STOP_LIMIT_MS, "took " + tookMs);
        idle.close();
        fixture.first.script((request, connection) -> connection.accept(request));
        final int before = fixture.first.requests.size();
        fixture.start();
        fixture.await(
                "delivery of the messages that were open",
                () -> fixture.first.ids().stream()
                        .skip(before)
                        .collect(Collectors.toSet())
                        .containsAll(List.of("m1", "m2")));
    }

    // ---------------------------------------------------------------- calls

    @Test
    void theConnectionOfACallThatTimedOutIsClosedBeforeTheNextAttempt() throws IOException {
        final List<Boolean> closedBefore = new ArrayList<>();
        fixture.first.script((request, connection) -> {
            if (fixture.first.requests.size() > 1) {
                fixture.await(
                        "the first connection's end",
                        () -> fixture.first.requests.get(0).connection().ended);
                closedBefore.add(true);
                connection.answer(200, "");
            }
        });
        fixture.start();
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the second attempt", () -> closedBefore.size() == 1);
        assertEquals(List.of("m1", "m1"), fixture.first.ids());
    }

    @Test
    void anUnsafeMessageIsRetriedAfterAConnectionThatWasNeverEstablished() throws IOException {
        final FakeServer closedServer = new FakeServer((request, connection) -> {});
        closedServer.close();
        fixture.hosts = CourierProcessFixture.hostEntry("e0", closedServer, "Ready");
        fixture.start();
        assertEquals(202, fixture.submit("m1", "once").status());
        fixture.await("the watch", () -> !fixture.watches.isEmpty());
        fixture.sendListChange(42, CourierProcessFixture.hostEntry("e1", fixture.first, "Ready"));
        fixture.await("another endpoint's call", () -> fixture.first.requests.size() == 1);
        assertTrue(fixture.notices.isEmpty());
    }

    @Test
    void anUnsafeMessageWhoseConnectionBrokeAfterTheLastByteFailsAtOnce() throws IOException {
        fixture.first.script((request, connection) -> connection.reset());
        fixture.start();
        final long submittedNs = System.nanoTime();
        assertEquals(202, fixture.submit("m1", "once").status());
        fixture.await("its notice", () -> fixture.hasNotice("m1", "undeliverable"));
        assertEquals(1, fixture.first.requests.size());
        assertTrue(System.nanoTime() - submittedNs < TimeUnit.SECONDS.toNanos(15), "long before its timeout of 20 s");
    }

    @Test
    void aDeliveredMessageStaysDeliveredIfItsConnectionBreaksAfterTheStatusLine() throws IOException {
        fixture.first.script((request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
            connection.reset();
        });
        fixture.start();
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
        fixture.first.script((request, connection) -> connection.accept(request));
        assertEquals(202, fixture.submit("m2", "safe").status());
        fixture.await("the next", () -> fixture.first.ids().contains("m2"));
        assertEquals(2, fixture.first.requests.size());
    }

    @Test
    void aDeliveredMessageStaysDeliveredIfTheRestOfItsResponseIsMalformed() throws IOException {
        final List<String> malformedRests = List.of(
                "what is this\u0000\r\n\r\n",
                "Content-Length: 5\r\nContent-Length: 7\r\n\r\n",
                "Content-Length: many\r\n\r\n",
                "X-Long: " + "x".repeat(20_000) + "\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\nzz\r\n");
        fixture.first.script((request, connection) -> {
            final String id = request.header("X-Request-ID");
            if (id.startsWith("last")) {
                connection.answer(200, "");
            } else {
                connection.write("HTTP/1.1 200 OK\r\n" + malformedRests.get(Integer.parseInt(id.substring(1))));
                connection.reset();
            }
        });
        fixture.start();
        for (int index = 0; index < malformedRests.size(); index++) {
            final int calls = index + 1;
            assertEquals(202, fixture.submit("m" + index, "once").status());
            fixture.await("call " + calls, () -> fixture.first.requests.size() == calls);
        }
        assertEquals(202, fixture.submit("last", "once").status());
        fixture.await("the last", () -> fixture.first.ids().contains("last"));
        assertEquals(malformedRests.size() + 1, fixture.first.requests.size(), "no message is sent again");
        assertTrue(fixture.notices.isEmpty(), "no message has failed: " + fixture.notices);
    }

    @Test
    void aMalformedStatusLineIsAFailureThatMayHaveTakenEffect() throws IOException {
        fixture.first.script((request, connection) -> connection.write("HTTP/1.1 two hundred\r\n\r\n"));
        fixture.start();
        assertEquals(202, fixture.submit("m1", "once").status());
        fixture.await("its notice", () -> fixture.hasNotice("m1", "undeliverable"));
        assertEquals(1, fixture.first.requests.size());
    }

    @Test
    void aMessageThatAnEndpointReportsAsGoneStillGetsItsNotice() throws IOException {
        fixture.first.script((request, connection) -> connection.answer(410, ""));
        fixture.start();
        assertEquals(202, fixture.submit("m1", "once").status());
        fixture.await("its notice", () -> fixture.hasNotice("m1", "undeliverable"));
        assertEquals(1, fixture.first.requests.size(), "it is not sent again");
    }

    @Test
    void aDeliveredMessageStaysDeliveredIfTheBodyOfItsResponseNeverEnds() throws IOException {
        fixture.first.script(
                (request, connection) -> connection.write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf"));
        fixture.start();
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("m1", "team-1")
                                .replace("20000", "10000"))
                        .status());
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("m2", "team-1"))
                        .status());
        fixture.await(
                "the next message of the ordering key",
                () -> fixture.first.ids().contains("m2"));
        assertTrue(fixture.notices.isEmpty(), "the first was delivered: " + fixture.notices);
    }

    @Test
    void aDeliveredMessageStaysDeliveredIfTheHeadOfItsResponseNeverEnds() throws IOException {
        fixture.first.script((request, connection) -> connection.write("HTTP/1.1 200 OK\r\nContent-Le"));
        fixture.start();
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("m1", "team-1")
                                .replace("20000", "10000"))
                        .status());
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("m2", "team-1")
                                .replace("20000", "5000"))
                        .status());
        fixture.await(
                "the next message of the ordering key",
                () -> fixture.first.ids().contains("m2"));
        assertTrue(fixture.notices.isEmpty(), "the first was delivered: " + fixture.notices);
    }

    @Test
    void connectionsAreReused() throws IOException {
        fixture.start();
        for (int round = 0; round < 5; round++) {
            final int calls = round + 1;
            assertEquals(202, fixture.submit("m" + round, "safe").status());
            fixture.await("call " + calls, () -> fixture.first.requests.size() == calls);
        }
        assertTrue(fixture.first.connections.size() <= 2, "connections: " + fixture.first.connections.size());
    }

    @Test
    void aRetryAfterAppliesToTheWholeDestination() throws IOException {
        final long waitMs = 1500;
        fixture.hosts = CourierProcessFixture.hostEntry("e1", fixture.first, "Ready") + ","
                + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready");
        final List<Long> retryAfterNs = new ArrayList<>();
        final List<Long> nextCallNs = new ArrayList<>();
        final var script =
                (java.util.function.BiConsumer<FakeServer.Request, FakeServer.Connection>) (request, connection) -> {
                    synchronized (retryAfterNs) {
                        if (retryAfterNs.isEmpty()) {
                            retryAfterNs.add(System.nanoTime());
                            connection.answer(429, "", "Retry-After: 1.5");
                        } else {
                            nextCallNs.add(request.atNs());
                            connection.answer(200, "");
                        }
                    }
                };
        fixture.first.script(script);
        fixture.second.script(script);
        fixture.start();
        assertEquals(202, fixture.submit("m0", "safe").status());
        fixture.await("the retry-after", () -> !retryAfterNs.isEmpty());
        for (int count = 1; count < 5; count++) {
            assertEquals(202, fixture.submit("m" + count, "safe").status());
        }
        fixture.await("the delayed message", () -> !nextCallNs.isEmpty());
        final long tookMs = TimeUnit.NANOSECONDS.toMillis(nextCallNs.get(0) - retryAfterNs.get(0));
        assertTrue(tookMs >= waitMs, "sent after " + tookMs);
    }

    @Test
    void aRetryAfterThatArrivesAfterItsCallWasAbandonedApplies() throws IOException {
        fixture.first.script((request, connection) -> {});
        fixture.start();
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.message("m1", "once").replace("20000", "400"))
                        .status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
        final FakeServer.Connection abandoned = fixture.first.connections.get(0);
        fixture.await("the end of the abandoned call", () -> abandoned.ended);
        fixture.first.script((request, connection) -> connection.accept(request));
        final long retryAfterNs = System.nanoTime();
        abandoned.answer(429, "", "Retry-After: 1.5");
        assertEquals(202, fixture.submit("m2", "safe").status());
        fixture.await("the delayed message", () -> fixture.first.ids().contains("m2"));
        final long tookMs =
                TimeUnit.NANOSECONDS.toMillis(fixture.first.requests.get(1).atNs() - retryAfterNs);
        assertTrue(tookMs >= 1500, "sent after " + tookMs);
    }

    @Test
    void aMessageEndsByItsDeadlineWhileItsCallContinuesForOthers() throws IOException {
        fixture.start();
        // Fast responses, so that a message of this class would be retried long before its timeout.
        for (final String id : List.of("q1", "q2", "q3")) {
            assertEquals(202, fixture.submit(id, "safe").status());
            fixture.await(id, () -> fixture.first.ids().contains(id));
        }
        fixture.first.script((request, connection) -> {
            if (request.ids().contains("wait")) {
                connection.answer(429, "", "Retry-After: 1");
            }
        });
        assertEquals(202, fixture.submit("wait", "brief").status());
        fixture.await("the retry-after", () -> fixture.first.ids().contains("wait"));
        fixture.first.script((request, connection) -> {});
        assertEquals(202, fixture.submit("long", "once").status());
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.message("short", "safe").replace("20000", "6000"))
                        .status());
        fixture.await("its notice", () -> fixture.hasNotice("short", "deferred"));
        assertFalse(fixture.hasNotice("long", "undeliverable"), "its call continues");
        assertEquals(1, fixture.first.ids().stream().filter("short"::equals).count());
        assertTrue(
                fixture.first.requests.stream()
                        .anyMatch(request -> request.ids().containsAll(List.of("long", "short"))),
                "both were sent in one call: " + fixture.first.ids());
    }

    @Test
    void theMessageWithTheLatestDeadlineComesFirstInASharedCall() throws IOException {
        fixture.first.script((request, connection) -> {});
        fixture.start();
        // These two fill the in-flight window; the next three wait and share a call when it has room again.
        for (final String id : List.of("a", "b")) {
            assertEquals(202, fixture.submit(id, "once").status());
            fixture.await(id, () -> fixture.first.ids().contains(id));
        }
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.message("short", "once").replace("20000", "10000"))
                        .status());
        assertEquals(202, fixture.submit("long", "once").status());
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.message("middle", "once").replace("20000", "15000"))
                        .status());
        for (final FakeServer.Request request : List.copyOf(fixture.first.requests)) {
            request.connection().accept(request);
        }
        fixture.await("the shared call", () -> fixture.first.ids().size() == 5);
        assertEquals(
                List.of("long", "middle", "short"),
                fixture.first.requests.get(2).ids());
    }

    @Test
    void anOrderingKeyIsReleasedOnceTheSharedCallOfItsEndedMessageIsOver() throws IOException {
        final List<String> silent = List.of("a", "b", "long");
        fixture.first.script((request, connection) -> {
            if (request.ids().stream().noneMatch(silent::contains)) {
                connection.accept(request);
            }
        });
        fixture.start();
        // These two fill the in-flight window; the next two wait and share a call when it has room again.
        for (final String id : List.of("a", "b")) {
            assertEquals(202, fixture.submit(id, "once").status());
            fixture.await(id, () -> fixture.first.ids().contains(id));
        }
        assertEquals(202, fixture.submit("long", "once").status());
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("m1", "k").replace("20000", "4000"))
                        .status());
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("m2", "k")).status());
        for (final FakeServer.Request request : List.copyOf(fixture.first.requests)) {
            request.connection().accept(request);
        }
        fixture.await("the end of the first", () -> fixture.hasNotice("m1", "undeliverable"));
        final FakeServer.Request shared = fixture.first.requests.stream()
                .filter(request -> request.ids().containsAll(List.of("long", "m1")))
                .findFirst()
                .orElseThrow();
        assertFalse(fixture.first.ids().contains("m2"), "the call of the first message is still in flight");
        shared.connection().accept(shared);
        fixture.await(
                "the next message of the ordering key",
                () -> fixture.first.ids().contains("m2"));
    }

    @Test
    void eachMessageOfABulkCallHasTheOutcomeOfItsOwnState() throws IOException {
        final List<FakeServer.Request> bulkCalls = new ArrayList<>();
        fixture.first.script((request, connection) -> {
            if (request.line().contains("/inbox/bulk")) {
                bulkCalls.add(request);
                connection.answer(
                        200,
                        "[{\"id\":\"ok\",\"state\":\"accepted\"},{\"id\":\"bad\",\"state\":\"fault\"},"
                                + "{\"id\":\"off\",\"state\":\"deferred\"},{\"id\":\"old\",\"state\":\"expired\"}]");
            } else if (fixture.first.requests.size() == 1) {
                connection.answer(429, "", "Retry-After: 1");
            } else {
                connection.answer(200, "");
            }
        });
        fixture.start();
        assertEquals(202, fixture.submit("off", "brief").status());
        fixture.await("the retry-after", () -> fixture.first.requests.size() == 1);
        for (final String id : List.of("ok", "bad", "old")) {
            assertEquals(202, fixture.submit(id, "brief").status());
        }
        fixture.await(
                "all ends",
                () -> fixture.hasNotice("bad", "deferred")
                        && fixture.first.requests.size() >= 3
                        && "off"
                                .equals(fixture.first
                                        .requests
                                        .get(fixture.first.requests.size() - 1)
                                        .header("X-Request-ID")));
        assertEquals(1, bulkCalls.size());
        assertTrue(
                bulkCalls.get(0).text().contains("\"body\":\"aGVsbG8=\""),
                bulkCalls.get(0).text());
        fixture.await(
                "a notice for the message that the endpoint reports as expired",
                () -> fixture.hasNotice("old", "undeliverable"));
        assertEquals(2, fixture.notices.size(), "only those two notices: " + fixture.notices);
    }

    @Test
    void messagesOfOneOrderingKeyAreSentOneAtATimeInOrder() throws IOException {
        fixture.first.script((request, connection) -> {});
        fixture.start();
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("m1", "team-1"))
                        .status());
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("m2", "team-1"))
                        .status());
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("other", "team-2"))
                        .status());
        fixture.await("the other key's call", () -> fixture.first.ids().contains("other"));
        assertEquals(List.of("m1", "other"), fixture.first.ids(), "the second message of the key waits for the first");
        fixture.first.script((request, connection) -> connection.accept(request));
        fixture.first.requests.get(0).connection().answer(200, "");
        fixture.await("the second message of the key", () -> fixture.first.ids().contains("m2"));
    }

    @Test
    void anOrderingKeyIsBlockedUntilThePreviousNoticeIsConfirmedEvenAcrossARestart()
            throws IOException, InterruptedException {
        fixture.noticeStatus = 503;
        fixture.first.script((request, connection) -> {
            if (request.ids().contains("m1")) {
                connection.reset();
            } else {
                connection.accept(request);
            }
        });
        fixture.start();
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("m1", "team-1"))
                        .status());
        fixture.await("its notice", () -> fixture.hasNotice("m1", "undeliverable"));
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("m2", "team-1"))
                        .status());
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("o1", "team-2"))
                        .status());
        fixture.await("the other key's call", () -> fixture.first.ids().contains("o1"));
        fixture.killAndRestart();
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.orderedMessage("o2", "team-3"))
                        .status());
        fixture.await("another key's call", () -> fixture.first.ids().contains("o2"));
        assertFalse(fixture.first.ids().contains("m2"), "the notice of the message before it is not confirmed");
        fixture.noticeStatus = 204;
        fixture.await("the next message of the key", () -> fixture.first.ids().contains("m2"));
    }

    @Test
    void anOrderedMessageWithoutAnOrderingKeyIsRejected() throws IOException {
        fixture.start();
        assertEquals(
                404, fixture.send(CourierProcessFixture.message("m1", "turn")).status());
        assertEquals(
                404,
                fixture.send(CourierProcessFixture.orderedMessage("m1", "")).status());
    }

    @Test
    void anUndeliveredMessageIsLoggedWithItsAttemptsAndLastResult() throws IOException {
        fixture.first.script((request, connection) -> connection.reset());
        fixture.start();
        assertEquals(202, fixture.submit("m1", "once").status());
        fixture.await(
                "its log line",
                () -> fixture.log.stream()
                        .anyMatch(line -> line.startsWith("message m1 once to 7 failed")
                                && line.contains("1 attempts")
                                && line.contains("last RESET")));
    }

    @Test
    void aBulkResponseIsParsedAsBulkAfterSomeOfItsMessagesExpired() throws IOException {
        fixture.first.script((request, connection) -> {});
        fixture.start();
        assertEquals(202, fixture.submit("gate1", "once").status());
        assertEquals(202, fixture.submit("gate2", "once").status());
        fixture.await("a full window", () -> fixture.first.requests.size() == 2);
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.message("short", "once").replace("20000", "3000"))
                        .status());
        assertEquals(202, fixture.submit("long", "once").status());
        fixture.first.requests.get(0).connection().answer(200, "");
        fixture.await("the bulk call", () -> fixture.first.requests.size() == 3);
        fixture.await("the notice of the expired message", () -> fixture.hasNotice("short", "undeliverable"));
        fixture.first
                .requests
                .get(2)
                .connection()
                .answer(200, "[{\"id\":\"short\",\"state\":\"accepted\"}," + "{\"id\":\"long\",\"state\":\"fault\"}]");
        fixture.await(
                "the notice of the other message, by its own state", () -> fixture.hasNotice("long", "undeliverable"));
    }

    // ---------------------------------------------------------------- the list

    @Test
    void nothingNewIsSentToADrainingEndpoint() throws IOException {
        fixture.hosts = CourierProcessFixture.hostEntry("e1", fixture.first, "Ready") + ","
                + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready");
        fixture.start();
        fixture.await("the watch", () -> !fixture.watches.isEmpty());
        // In two parts: a line may arrive in several reads.
        final String line = "{\"seq\":42,\"whole\":false,\"hosts\":["
                + CourierProcessFixture.hostEntry("e1", fixture.first, "Terminating") + "]}\n";
        fixture.watches.get(0).chunk(line.substring(0, 30));
        fixture.watches.get(0).chunk(line.substring(30));
        fixture.sendListChange(43, CourierProcessFixture.hostEntry("e3", fixture.first, "Gone"));
        assertEquals(202, fixture.submit("warm", "safe").status());
        fixture.await(
                "a call after the list change",
                () -> fixture.second.requests.size() + fixture.first.requests.size() == 1);
        final int before = fixture.first.requests.size();
        for (int round = 0; round < 6; round++) {
            final int calls = round + 2;
            assertEquals(202, fixture.submit("m" + round, "safe").status());
            fixture.await(
                    "call " + calls, () -> fixture.second.requests.size() + fixture.first.requests.size() == calls);
        }
        assertEquals(before, fixture.first.requests.size());
    }

    @Test
    void listChangesWhileNoProcessRanApplyFromTheFirstCall() throws IOException, InterruptedException {
        fixture.discovery = "pushed";
        fixture.first.script((request, connection) -> {});
        fixture.start();
        for (int count = 0; count < 3; count++) {
            assertEquals(202, fixture.submit("m" + count, "safe").status());
        }
        fixture.await("a call", () -> !fixture.first.requests.isEmpty());
        fixture.kill();
        final int before = fixture.first.requests.size();
        fixture.firstWatchLine = CourierProcessFixture.listLine(
                42,
                CourierProcessFixture.hostEntry("e1", fixture.first, "Terminating") + ","
                        + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready"));
        fixture.start();
        fixture.await(
                "delivery of the open messages by the other endpoint",
                () -> fixture.second.ids().containsAll(List.of("m0", "m1", "m2")));
        assertEquals(
                before, fixture.first.requests.size(), "nothing new was sent to the draining endpoint: " + fixture.log);
    }

    @Test
    void aSilentDiscoveryDoesNotPreventTheStart() throws IOException {
        fixture.discovery = "pushed";
        fixture.firstWatchLine = "";
        fixture.start();
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await(
                "the call, based on the configured list",
                () -> fixture.first.ids().contains("m1"));
    }

    /** A test body that runs while an endpoint neither accepts nor refuses connections. */
    private interface TestBody {
        void run(String address) throws IOException;
    }

    private static void withUnacceptedConnections(final TestBody body) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            final List<Socket> fillers = new ArrayList<>();
            // A full backlog accepts no further connection.
            for (int count = 0; count < 4; count++) {
                final Socket filler = new Socket();
                fillers.add(filler);
                try {
                    filler.connect(server.getLocalSocketAddress(), 200);
                } catch (final SocketTimeoutException e) {
                    break;
                }
            }
            body.run("127.0.0.1:" + server.getLocalPort());
            for (final Socket filler : fillers) {
                filler.close();
            }
        }
    }

    @Test
    void aCallStillConnectingToADrainingEndpointIsSentElsewhere() throws IOException {
        fixture.connectTimeoutUs = 60_000_000;
        withUnacceptedConnections(address -> {
            fixture.hosts = CourierProcessFixture.hostEntry("e1", address, "Ready");
            fixture.start();
            fixture.await("the watch", () -> !fixture.watches.isEmpty());
            assertEquals(202, fixture.submit("m1", "once").status());
            fixture.sendListChange(
                    42,
                    CourierProcessFixture.hostEntry("e1", address, "Terminating") + ","
                            + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready"));
            fixture.await(
                    "a call elsewhere, long before the connect timeout",
                    () -> fixture.second.ids().contains("m1"));
        });
    }

    @Test
    void aMessageThatExpiresWhileItsCallIsConnectingIsDeferred() throws IOException {
        fixture.connectTimeoutUs = 60_000_000;
        withUnacceptedConnections(address -> {
            fixture.hosts = CourierProcessFixture.hostEntry("e1", address, "Ready");
            fixture.start();
            assertEquals(
                    202,
                    fixture.send(CourierProcessFixture.message("m1", "once").replace("20000", "2000"))
                            .status());
            fixture.await("its notice", () -> fixture.notices.stream().anyMatch(line -> line.contains("\"m1\"")));
            assertTrue(fixture.hasNotice("m1", "deferred"), "it may be submitted again: " + fixture.notices);
        });
    }

    @Test
    void aBrokenWatchIsResumedFromTheLastVersion() throws IOException {
        fixture.start();
        fixture.await("the watch", () -> fixture.watches.size() == 1);
        assertTrue(fixture.platform.requests.get(0).line().contains("after=41"));
        fixture.sendListChange(42, CourierProcessFixture.hostEntry("e2", fixture.second, "Ready"));
        fixture.sendListChange(43, CourierProcessFixture.hostEntry("e1", fixture.first, "Gone"));
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.second.requests.size() + fixture.first.requests.size() == 1);
        fixture.watches.get(0).reset();
        fixture.await("the next watch", () -> fixture.watches.size() == 2);
        final int last = fixture.platform.requests.size() - 1;
        assertTrue(fixture.platform.requests.get(last).line().contains("after=43"));
    }

    @Test
    void aPushedListIsWatchedFromTheStartAndAgainAfterADisconnect() throws IOException {
        fixture.discovery = "pushed";
        fixture.start();
        fixture.await("the watch", () -> fixture.watches.size() == 1);
        fixture.sendListChange(
                42,
                CourierProcessFixture.hostEntry("e2", fixture.second, "Ready") + ","
                        + CourierProcessFixture.hostEntry("e1", fixture.first, "Terminating"));
        fixture.await("the change", () -> fixture.log.stream().anyMatch(line -> line.startsWith("the list at 42")));
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.second.requests.size() == 1);
        fixture.watches.get(0).reset();
        fixture.await("the next watch", () -> fixture.watches.size() == 2);
        assertTrue(fixture.platform.requests.get(1).line().contains("after=42"));
    }

    @Test
    void onSighupItSwitchesToTheNewDiscoveryAddressAndKeepsServing() throws IOException, InterruptedException {
        fixture.discovery = "pushed";
        fixture.start();
        fixture.await("the watch", () -> fixture.watches.size() == 1);
        fixture.first.script((request, connection) -> connection.reset());
        assertEquals(202, fixture.submit("m1", "once").status());
        fixture.await("a notice to the old address", () -> fixture.hasNotice("m1", "undeliverable"));
        try (FakeServer moved = new FakeServer(fixture::answerPlatformRequest)) {
            fixture.reload(moved);
            fixture.await("the watch at the new address", () -> fixture.watches.size() == 2);
            assertTrue(
                    moved.requests.get(0).line().contains("after=41"),
                    moved.requests.get(0).line());
            assertEquals(202, fixture.submit("m2", "once").status());
            fixture.await(
                    "a notice to the new address",
                    () -> moved.requests.stream()
                            .anyMatch(request -> request.line().startsWith("POST")
                                    && request.text().contains("m2")));
            fixture.await(
                    "the old connections' end",
                    () -> fixture.platform.connections.stream().allMatch(connection -> connection.ended));
        }
        assertTrue(fixture.isAlive());
    }

    @Test
    void anIgnoredSighupIsLoggedAtTheStart() throws IOException {
        fixture.shellPrefix = "trap '' HUP";
        fixture.start();
        assertTrue(fixture.log.stream().anyMatch(line -> line.startsWith("SIGHUP is ignored")), fixture.log.toString());
    }

    @Test
    void anUnreadableConfigurationAtSighupChangesNothing() throws IOException, InterruptedException {
        fixture.start();
        fixture.reloadTruncatedConfig();
        fixture.await("its log line", () -> fixture.log.stream().anyMatch(line -> line.startsWith("reload: kept")));
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
    }

    @Test
    void aSilentWatchIsReplaced() throws IOException {
        fixture.start();
        fixture.await("the watch", () -> fixture.watches.size() == 1);
        fixture.await("the next watch", () -> fixture.watches.size() == 2);
        fixture.await("the end of the silent watch", () -> fixture.watches.get(0).ended);
        assertFalse(fixture.watches.get(1).ended, "the watch that is not silent is kept");
    }

    @Test
    void anUnreadableListLineEndsTheWatchButNotTheCourier() throws IOException {
        fixture.start();
        fixture.await("the watch", () -> fixture.watches.size() == 1);
        fixture.watches.get(0).chunk("{\"seq\":42,\"hosts\":[{\"host\":\"e9\"\n");
        fixture.await("the next watch", () -> fixture.watches.size() == 2);
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
    }

    // ---------------------------------------------------------------- clients

    @Test
    void invalidRequestsAreRejectedWithAClientError() throws IOException {
        fixture.start();
        final String valid = CourierProcessFixture.message("bad", "keyed");
        final List<String> invalid = List.of(
                "what is this\r\n\r\n",
                valid.replace("POST /keyed", "POST /unheard"),
                valid.replace("POST", "GET"),
                valid.replace("X-Priority-Class: keyed", "X-Priority-Class: safe"),
                valid.replace("X-Request-ID: bad\r\n", ""),
                valid.replace("X-Timeout-Ms: 20000", "X-Timeout-Ms: soon"),
                valid.replace("20000", "-1"),
                valid.replace("dest=7", "dest=x"),
                valid.replace("X-Consignee: dest=7\r\n", ""),
                valid.replace("Length: 5", "Length: -5"),
                valid.replace("Length: 5", "Length: 99999999999999999999"),
                CourierProcessFixture.message("bad", "keyed", "x".repeat((1 << 16) + 1)),
                valid.replace("X-Request-ID: bad", "X-Request-ID: bad\r\nX-Request-ID: other"),
                valid.replace("Host: backend.local\r\n", ""),
                valid.replace("POST /keyed", "POST /keyed/more"),
                valid.replace("POST /keyed", "POST /keyed?v=1"),
                valid.replace("POST /keyed", "POST keyed"),
                CourierProcessFixture.orderedMessage("bad", "k?v=1"),
                CourierProcessFixture.orderedMessage("bad", "k/more"),
                CourierProcessFixture.orderedMessage("bad", "k%20"),
                valid.replace("Content-Length: 5", "Transfer-Encoding: chunked\r\nContent-Length: 5"),
                "GET /" + "x".repeat(20_000) + " HTTP/1.1\r\n\r\n",
                valid.replace("Host: backend.local", "Host: " + "x".repeat(20_000)));
        for (final String raw : invalid) {
            final int status = fixture.send(raw).status();
            assertTrue(
                    status >= 400 && status < 500,
                    status + " for " + raw.lines().limit(8).toList());
        }
        try (Socket incomplete = fixture.connect()) {
            incomplete
                    .getOutputStream()
                    .write(valid.substring(0, valid.length() - 2)
                            .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
        }
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the valid message", () -> fixture.first.requests.size() == 1);
        assertEquals(List.of("m1"), fixture.first.ids());
        assertTrue(fixture.notices.isEmpty());
    }

    @Test
    void idleAndIncompleteClientConnectionsTimeOutWhileOthersAreServed() throws IOException {
        fixture.start();
        final String valid = CourierProcessFixture.message("half", "safe");
        final List<String> starts = List.of("PO", valid.substring(0, 60), valid.substring(0, valid.length() - 2));
        final List<Socket> peers = new ArrayList<>();
        for (final String start : starts) {
            final Socket peer = fixture.connect();
            peer.getOutputStream().write(start.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
            peers.add(peer);
        }
        final Socket silent = fixture.connect();
        final Socket healthChecker = fixture.connect();
        assertEquals(
                200,
                CourierProcessFixture.send(healthChecker, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                        .status());
        final Socket used = fixture.connect();
        assertEquals(
                202,
                CourierProcessFixture.send(used, CourierProcessFixture.message("m1", "safe"))
                        .status());
        used.getOutputStream().write("POST /sa".getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
        peers.add(used);
        for (final Socket peer : peers) {
            assertEquals(408, CourierProcessFixture.read(peer.getInputStream()).status());
            assertEquals(-1, peer.getInputStream().read(), "the connection is closed afterwards");
            peer.close();
        }
        assertEquals(-1, silent.getInputStream().read(), "no request was started, so there is no response");
        assertEquals(-1, healthChecker.getInputStream().read(), "nor on a connection after a health check");
        silent.close();
        healthChecker.close();
        fixture.await("the valid message", () -> fixture.first.ids().equals(List.of("m1")));
    }

    @Test
    void aMessageForADestinationThatWasNeverListedIsRejected() throws IOException {
        fixture.start();
        fixture.await("the watch", () -> !fixture.watches.isEmpty());
        final String message = CourierProcessFixture.message("m1", "safe").replace("dest=7", "dest=70000");
        final CourierProcessFixture.Answer refused = fixture.send(message);
        assertEquals(503, refused.status());
        assertTrue(refused.head().contains("retry-after"), refused.head());
        fixture.sendListChange(
                42,
                CourierProcessFixture.hostEntry("e2", fixture.second, "Ready")
                        .replace("\"block\":7", "\"block\":70000"));
        fixture.sendListChange(
                43,
                CourierProcessFixture.hostEntry("e2", fixture.second, "Gone")
                        .replace("\"block\":7", "\"block\":70000"));
        fixture.await(
                "the list change", () -> fixture.log.stream().anyMatch(line -> line.startsWith("the list at 43")));
        assertEquals(
                202, fixture.send(message).status(), "a destination that was listed once may have endpoints again");
        assertEquals(0, fixture.first.requests.size());
    }

    @Test
    void theLargestBodyIsAccepted() throws IOException {
        fixture.start();
        assertEquals(
                202,
                fixture.send(CourierProcessFixture.message("m1", "safe", "x".repeat(1 << 16)))
                        .status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
        assertEquals(1 << 16, fixture.first.requests.get(0).body().length);
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws IOException {
        fixture.start();
        try (Socket socket = fixture.connect()) {
            final String three = CourierProcessFixture.message("m1", "safe") + "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
                    + CourierProcessFixture.message("m2", "unheard");
            assertEquals(202, CourierProcessFixture.send(socket, three).status());
            assertEquals(
                    200, CourierProcessFixture.read(socket.getInputStream()).status());
            assertEquals(
                    404, CourierProcessFixture.read(socket.getInputStream()).status());
        }
    }

    @Test
    void theIdOfAnOpenMessageIsNotAcceptedTwice() throws IOException {
        fixture.first.script((request, connection) -> {});
        fixture.start();
        assertEquals(202, fixture.submit("m1", "safe").status());
        assertEquals(409, fixture.submit("m1", "safe").status());
    }

    @Test
    void aFullStoreRejectsMessagesInsteadOfLosingThem() throws IOException {
        fixture.maxOpen = 3;
        fixture.first.script((request, connection) -> {});
        fixture.start();
        final List<Integer> statuses = new ArrayList<>();
        for (int count = 0; count < 8; count++) {
            final CourierProcessFixture.Answer answer = fixture.submit("m" + count, "once");
            statuses.add(answer.status());
            assertTrue(answer.status() == 202 || answer.head().contains("retry-after"), answer.head());
        }
        final long accepted = statuses.stream().filter(status -> status == 202).count();
        assertTrue(accepted >= 2 && accepted <= 3 + fixture.notices.size(), statuses.toString());
        assertTrue(statuses.stream().allMatch(status -> status == 202 || status == 429 || status == 503));
    }

    @Test
    void aFullJournalRejectsMessagesInsteadOfAcceptingThem() throws IOException {
        fixture.diskMb = 1;
        fixture.first.script((request, connection) -> {});
        fixture.start();
        final List<Integer> statuses = new ArrayList<>();
        for (int count = 0; count < 20; count++) {
            statuses.add(fixture.send(CourierProcessFixture.message("m" + count, "once", "x".repeat(50_000)))
                    .status());
        }
        assertEquals(202, statuses.get(0));
        assertEquals(503, statuses.get(statuses.size() - 1));
    }

    // ---------------------------------------------------------------- the start

    @Test
    void anInvalidSettingEndsTheStartWithOneLogLine() throws IOException, InterruptedException {
        fixture.extraSetting = "\"step\":5000,\"goal\":{\"whole\":0.5}";
        fixture.maxOpen = 0;
        final Process process = fixture.launch();
        assertTrue(process.waitFor(CourierProcessFixture.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(1, process.exitValue());
        fixture.await("its log line", () -> !fixture.log.isEmpty());
        assertEquals(1, fixture.log.size(), fixture.log.toString());
        assertTrue(fixture.log.get(0).contains("at least one message, not 0"), fixture.log.toString());
    }

    /** A list must never stop the courier, not even at its start. */
    @Test
    void anInvalidListEntryDoesNotAffectTheOthers() throws IOException {
        fixture.discovery = "pushed";
        final String valid = fixture.hosts;
        fixture.hosts = CourierProcessFixture.hostEntry("e8", "nowhere", "Ready") + "," + valid;
        fixture.start();
        fixture.await("the watch", () -> fixture.watches.size() == 1);
        fixture.sendListChange(
                42,
                CourierProcessFixture.hostEntry("e9", fixture.second, "Unwell") + ",{\"host\":\"e7\"},17,"
                        + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready") + ","
                        + CourierProcessFixture.hostEntry("e1", "nowhere", "Terminating"));
        fixture.await("the change", () -> fixture.log.stream().anyMatch(line -> line.startsWith("the list at 42")));
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call to the endpoint with a valid entry", () -> fixture.second.requests.size() == 1);
        assertEquals(0, fixture.first.requests.size(), "a drain is obeyed although the entry's address is invalid");
        assertEquals(
                1,
                fixture.log.stream().filter(line -> line.contains("'nowhere'")).count(),
                fixture.log.toString());
    }

    @Test
    void anUnreadableListIsRequestedWithBackoffAndLoggedOnce() throws IOException {
        fixture.discovery = "pushed";
        fixture.startWatchesWithInvalidLine = true;
        fixture.start();
        final long fromNs = System.nanoTime();
        fixture.await("watches", () -> fixture.watches.size() == 4);
        assertTrue(System.nanoTime() - fromNs > TimeUnit.MILLISECONDS.toNanos(300 + 600 + 1200), "the delays grow");
        assertEquals(
                1,
                fixture.log.stream()
                        .filter(line -> line.contains("the list cannot be read"))
                        .count());
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
    }

    @Test
    void anUnusableLimitReportIsIgnoredAndLoggedOnce() throws IOException {
        fixture.start();
        for (final String load :
                List.of("x0=nan,x1=4", "x0=0.5,x1=-3", "x0=0.5", "what", "x0=7,x1=Infinity", "x0=0.5,x1=0.000001")) {
            fixture.first.script((request, connection) ->
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Server-Load: " + load + "\r\n\r\n"));
            final int before = fixture.first.requests.size();
            assertEquals(202, fixture.submit("m" + before, "safe").status());
            fixture.await("the call after " + before, () -> fixture.first.requests.size() == before + 1);
        }
        assertEquals(
                1,
                fixture.log.stream()
                        .filter(line -> line.contains("reports an unusable limit"))
                        .count(),
                fixture.log.toString());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"\"balancers\":0", "\"balancers\":-3", "\"balancers\":\"many\"", "\"balancers\":99999999999"})
    void anInvalidFleetSizeIsBounded(final String size) throws IOException {
        fixture.fleetSetting = size;
        fixture.start();
        assertEquals(
                1,
                fixture.log.stream()
                        .filter(line -> line.startsWith("a fleet of"))
                        .count(),
                fixture.log.toString());
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
    }

    // ---------------------------------------------------------------- many and slow clients

    @Test
    void silentClientConnectionsAreClosedToMakeRoomForAMessage() throws IOException {
        fixture.sockets = 60;
        fixture.start();
        final List<Socket> silentClients = new ArrayList<>();
        for (int count = 0; count < 100; count++) {
            final Socket socket = fixture.connect();
            if (count % 2 == 0) {
                socket.getOutputStream().write("POST /safe HTTP/1.1\r\nHost".getBytes(StandardCharsets.US_ASCII));
            }
            silentClients.add(socket);
        }
        assertEquals(202, fixture.submit("m1", "safe").status());
        fixture.await("the call", () -> fixture.first.requests.size() == 1);
        final InputStream begun = silentClients.get(0).getInputStream();
        assertEquals(503, CourierProcessFixture.read(begun).status(), "a request that has begun is answered");
        assertEquals(-1, begun.read(), "and its connection is closed");
        assertEquals(
                -1,
                silentClients.get(1).getInputStream().read(),
                "the idle connection that was silent for longest is closed");
        assertTrue(fixture.isAlive());
        for (final Socket socket : silentClients) {
            socket.close();
        }
    }

    /** Writes a message in two parts with a delay between them; returns the actual delay in milliseconds. */
    private static long sendSlowly(final Socket socket, final String message, final long delayMs) throws IOException {
        final byte[] bytes = message.getBytes(StandardCharsets.US_ASCII);
        final long fromNs = System.nanoTime();
        socket.getOutputStream().write(bytes, 0, bytes.length / 2);
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(delayMs));
        final long delayNs = System.nanoTime() - fromNs;
        socket.getOutputStream().write(bytes, bytes.length / 2, bytes.length - bytes.length / 2);
        return TimeUnit.NANOSECONDS.toMillis(delayNs);
    }

    @Test
    void theTimeoutOfAMessageRunsFromItsFirstByte() throws IOException {
        fixture.start();
        try (Socket socket = fixture.connect()) {
            // A first request, so that idle time of the connection before it does not count.
            assertEquals(
                    202,
                    CourierProcessFixture.send(socket, CourierProcessFixture.message("m0", "safe"))
                            .status());
            final long delayMs = sendSlowly(socket, CourierProcessFixture.message("m1", "once"), 900);
            assertEquals(
                    202, CourierProcessFixture.read(socket.getInputStream()).status());
            fixture.await("the call", () -> fixture.first.ids().contains("m1"));
            final FakeServer.Request call = fixture.first.requests.stream()
                    .filter(request -> request.ids().contains("m1"))
                    .findFirst()
                    .orElseThrow();
            // Part of the delay may pass before the first part is read.
            assertTrue(
                    Long.parseLong(call.header("X-Timeout-Ms")) <= 20_000 - delayMs / 2,
                    call.headers().toString());
        }
    }

    @Test
    void aMessageThatExpiresBeforeItIsCompleteIsRejected() throws IOException {
        fixture.start();
        try (Socket socket = fixture.connect()) {
            sendSlowly(
                    socket,
                    CourierProcessFixture.message("m1", "safe").replace("X-Timeout-Ms: 20000", "X-Timeout-Ms: 100"),
                    900);
            final CourierProcessFixture.Answer answer = CourierProcessFixture.read(socket.getInputStream());
            assertEquals(503, answer.status());
            assertTrue(answer.head().contains("retry-after"), answer.head());
        }
        assertEquals(0, fixture.first.requests.size());
    }
}
