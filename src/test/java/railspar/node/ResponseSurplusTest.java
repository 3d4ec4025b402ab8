package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Responses of endpoints and of the platform that bring more than belongs to them, in the same write: a second copy, a
 * part of one, or noise. Each message has one end, and what comes after a good response is never read as the next one.
 */
final class ResponseSurplusTest extends AbstractCourierProcessTest {
    private static final int MESSAGES = 160;
    /** Each fourth message may have run when its endpoint answers, and ends by a notice. */
    private static final int FAILING_EVERY = 4;

    private static final int REFUSED_PERCENT = 25;
    private static final int REFUSED_NOTICES_PERCENT = 40;
    private static final int NOISE_BYTES = 40;
    private static final int LARGE_NOISE_BYTES = 1 << 20;
    private static final String NEXT_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    private final Map<String, Integer> deliveries = new ConcurrentHashMap<>();
    private final Set<String> notified = new ConcurrentSkipListSet<>();
    private final Map<String, Integer> drawn = new ConcurrentHashMap<>();
    private Random random;

    private synchronized int draw(final int bound) {
        return random.nextInt(bound);
    }

    private String noise(final int length) {
        final StringBuilder text = new StringBuilder();
        for (int index = 0; index < length; index++) {
            text.append((char) (' ' + draw('~' - ' ')));
        }
        return text.toString();
    }

    private String surplus(final String response) {
        final String[] kinds = {"none", "copy", "part", "noise", "megabyte"};
        final String kind = kinds[draw(kinds.length)];
        drawn.merge(kind, 1, Integer::sum);
        return switch (kind) {
            case "copy" -> response;
            case "part" -> NEXT_RESPONSE.substring(0, 1 + draw(NEXT_RESPONSE.length() - 1));
            case "noise" -> noise(NOISE_BYTES);
            case "megabyte" -> noise(NOISE_BYTES).repeat(LARGE_NOISE_BYTES / NOISE_BYTES);
            default -> "";
        };
    }

    private String encode(final String body) {
        final String[] forms = {"plain", "chunked", "continue", "close"};
        final String form = forms[draw(forms.length)];
        drawn.merge(form, 1, Integer::sum);
        final String plain = "Content-Length: " + body.length() + "\r\n\r\n" + body;
        return switch (form) {
            case "chunked" ->
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + (body.isEmpty() ? "" : Integer.toHexString(body.length()) + "\r\n" + body + "\r\n")
                        + "0\r\n\r\n";
            case "continue" -> "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + plain;
            case "close" -> "HTTP/1.1 200 OK\r\nConnection: close\r\n" + plain;
            default -> "HTTP/1.1 200 OK\r\n" + plain;
        };
    }

    private void answerCall(final FakeServer.Request request, final FakeServer.Connection connection) {
        if (draw(100) < REFUSED_PERCENT) {
            connection.answer(503, "");
            return;
        }
        final boolean bulk = request.line().contains("/inbox/bulk");
        final List<String> failing =
                request.ids().stream().filter(id -> id.startsWith("n")).toList();
        if (!bulk && !failing.isEmpty()) {
            connection.answer(500, "");
            return;
        }
        request.ids().stream().filter(id -> !failing.contains(id)).forEach(id -> deliveries.merge(id, 1, Integer::sum));
        final String states = request.ids().stream()
                .map(id ->
                        "{\"id\":\"" + id + "\",\"state\":\"" + (failing.contains(id) ? "fault" : "accepted") + "\"}")
                .collect(Collectors.joining(",", "[", "]"));
        final String response = encode(bulk ? states : "");
        connection.write(response + surplus(response));
    }

    private void answerNotices(final FakeServer.Request request, final FakeServer.Connection connection) {
        if (!request.line().startsWith("POST")) {
            fixture.answerPlatformRequest(request, connection);
            return;
        }
        if (draw(100) < REFUSED_NOTICES_PERCENT) {
            connection.answer(500, "");
            return;
        }
        notified.addAll(request.ids());
        request.text().lines().forEach(line -> notified.add(line.replaceFirst(".*\"id\":\"([^\"]*)\".*", "$1")));
        final String response = "HTTP/1.1 204 No Content\r\n\r\n";
        connection.write(response + surplus(response));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void eachMessageHasOneEndWhateverFollowsAGoodResponse(final long seed) throws IOException {
        random = new Random(seed);
        fixture.maxOpen = 2 * MESSAGES;
        fixture.first.script(this::answerCall);
        fixture.platform.script(this::answerNotices);
        fixture.start();
        final List<String> accepted = new ArrayList<>();
        try (Socket client = fixture.connect()) {
            for (int index = 0; index < MESSAGES; index++) {
                final String id = (index % FAILING_EVERY == 0 ? "n" : "m") + index;
                assertEquals(
                        202,
                        CourierProcessFixture.send(client, CourierProcessFixture.message(id, "once"))
                                .status());
                accepted.add(id);
            }
        }
        fixture.await(
                "each message's end; drawn with seed " + seed + ": " + drawn,
                () -> accepted.stream().allMatch(id -> deliveries.containsKey(id) || notified.contains(id)));
        assertEquals(
                Map.of(),
                deliveries.entrySet().stream()
                        .filter(entry -> entry.getValue() > 1)
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)),
                "delivered more than once");
        assertEquals(
                List.of(),
                accepted.stream()
                        .filter(id -> deliveries.containsKey(id) && notified.contains(id))
                        .toList(),
                "delivered, and yet ended by a notice");
    }
}
