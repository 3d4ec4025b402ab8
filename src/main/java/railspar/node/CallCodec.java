package railspar.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import railspar.Courier;
import railspar.Courier.Result;
import railspar.node.EndpointClient.AttemptOutcome;

/** Encodes the requests of calls to endpoints and decodes the responses. */
final class CallCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double US_PER_SECOND = 1_000_000;
    private static final String LOAD_REPORT_HEADER = "X-Server-Load";
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private CallCodec() {}

    /** The request of a call with one message. */
    static FullHttpRequest singleRequest(final AcceptedMessage message, final String host, final long timeoutMs) {
        final FullHttpRequest request = request("/inbox", message.body, host, timeoutMs);
        request.headers().set("X-Request-ID", message.id);
        if (message.idempotencyKey != null) {
            request.headers().set("Idempotency-Key", message.idempotencyKey);
        }
        return request;
    }

    /** The request of a call with several messages. */
    static FullHttpRequest bulkRequest(final List<AcceptedMessage> messages, final String host, final long timeoutMs) {
        final FullHttpRequest request = request("/inbox/bulk", encodeMessages(messages), host, timeoutMs);
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        return request;
    }

    private static FullHttpRequest request(
            final String path, final byte[] body, final String host, final long timeoutMs) {
        final FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.wrappedBuffer(body));
        request.headers()
                .set(HttpHeaderNames.HOST, host)
                .set("X-Timeout-Ms", timeoutMs)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return request;
    }

    private static byte[] encodeMessages(final List<AcceptedMessage> messages) {
        final ArrayNode items = JSON.createArrayNode();
        for (final AcceptedMessage message : messages) {
            final ObjectNode item = items.addObject().put("id", message.id);
            if (message.idempotencyKey != null) {
                item.put("key", message.idempotencyKey);
            }
            item.put("body", message.body);
        }
        try {
            return JSON.writeValueAsString(items).getBytes(StandardCharsets.UTF_8);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /** The outcome that a response gives for a call, whether of one message or of several. */
    static AttemptOutcome outcomeOf(final HttpResponse head, final long retryAfterUs) {
        final Courier.ReportedLimit limit = parseLimit(loadReport(head));
        final boolean lineBusy = "1".equals(head.headers().get("X-Line-Busy"));
        return switch (head.status().code()) {
            case OK -> new AttemptOutcome(Result.DELIVERED, true, retryAfterUs, limit);
            case TOO_MANY_REQUESTS -> new AttemptOutcome(Result.REFUSED, false, retryAfterUs, limit);
            case SERVICE_UNAVAILABLE ->
                new AttemptOutcome(lineBusy ? Result.NOT_SENT : Result.REFUSED, false, retryAfterUs, limit);
            case GATEWAY_TIMEOUT -> new AttemptOutcome(Result.NOT_SENT, false, retryAfterUs, limit);
            case GONE -> new AttemptOutcome(Result.NOT_SENT, true, retryAfterUs, limit);
            default -> new AttemptOutcome(Result.ERROR, false, retryAfterUs, limit);
        };
    }

    /** The outcome of one message of a bulk call; {@code state} is empty if the response does not name the message. */
    static AttemptOutcome outcomeOfMessage(final String state, final AttemptOutcome callOutcome) {
        return switch (state) {
            case "accepted" ->
                new AttemptOutcome(Result.DELIVERED, true, callOutcome.retryAfterUs(), callOutcome.reportedLimit());
            case "deferred" ->
                new AttemptOutcome(Result.REFUSED, false, callOutcome.retryAfterUs(), callOutcome.reportedLimit());
            case "expired" ->
                new AttemptOutcome(Result.NOT_SENT, true, callOutcome.retryAfterUs(), callOutcome.reportedLimit());
            case "no_more" ->
                new AttemptOutcome(Result.NOT_SENT, false, callOutcome.retryAfterUs(), callOutcome.reportedLimit());
            default -> new AttemptOutcome(Result.ERROR, false, callOutcome.retryAfterUs(), callOutcome.reportedLimit());
        };
    }

    /** The states in a bulk response by message id; entries after a parse error are missing. */
    static Map<String, String> parseStates(final byte[] body) {
        final Map<String, String> states = new HashMap<>();
        try {
            for (final JsonNode item : JSON.readTree(body)) {
                states.put(item.path("id").asText(), item.path("state").asText());
            }
        } catch (final IOException e) {
            Log.info("cannot parse an endpoint's response to a bulk call: " + e.getMessage());
        }
        return states;
    }

    /** The wait in the Retry-After header, in seconds with decimals; 0 if it is absent or malformed. */
    static long retryAfterUs(final HttpResponse head) {
        final String text = head.headers().get(HttpHeaderNames.RETRY_AFTER);
        try {
            return text == null ? 0 : Math.max(0, (long) Math.ceil(Double.parseDouble(text) * US_PER_SECOND));
        } catch (final NumberFormatException e) {
            return 0;
        }
    }

    /** The header in which a destination reports its limit, or null. */
    static String loadReport(final HttpResponse head) {
        return head.headers().get(LOAD_REPORT_HEADER);
    }

    /** True if there is a report that contains no usable limit. */
    static boolean hasUnreadableLimitReport(final HttpResponse head) {
        return loadReport(head) != null && parseLimit(loadReport(head)) == null;
    }

    /** The limit that a destination reports; null if the report is absent or unusable. */
    private static Courier.ReportedLimit parseLimit(final String report) {
        if (report == null) {
            return null;
        }
        double shareLeft = Double.NaN;
        double callsPerSecond = Double.NaN;
        try {
            for (final String field : report.split(",")) {
                final String value = field.substring(field.indexOf('=') + 1).trim();
                if (field.trim().startsWith("x0=")) {
                    shareLeft = Double.parseDouble(value);
                } else if (field.trim().startsWith("x1=")) {
                    callsPerSecond = Double.parseDouble(value);
                }
            }
        } catch (final NumberFormatException e) {
            return null;
        }
        final boolean usable = Double.isFinite(shareLeft) && Double.isFinite(callsPerSecond) && callsPerSecond >= 0;
        return usable ? new Courier.ReportedLimit(shareLeft, callsPerSecond) : null;
    }
}
