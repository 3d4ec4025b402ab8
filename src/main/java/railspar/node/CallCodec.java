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

/** The requests of calls to endpoints and the meaning of their answers, as the protocol page gives both. */
final class CallCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double US_PER_SECOND = 1_000_000;
    private static final String REPORT = "X-Server-Load";
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int BUSY = 429;
    private static final int UNAVAILABLE = 503;
    private static final int NO_MORE = 504;

    private CallCodec() {}

    /** A call with one message. */
    static FullHttpRequest singleRequest(final AcceptedMessage message, final String host, final long timeoutMs) {
        final FullHttpRequest request = request("/inbox", message.body, host, timeoutMs);
        request.headers().set("X-Request-ID", message.id);
        if (message.idempotencyKey != null) {
            request.headers().set("Idempotency-Key", message.idempotencyKey);
        }
        return request;
    }

    /** A call with several messages. */
    static FullHttpRequest bulkRequest(final List<AcceptedMessage> messages, final String host, final long timeoutMs) {
        final FullHttpRequest request = request("/inbox/bulk", array(messages), host, timeoutMs);
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

    private static byte[] array(final List<AcceptedMessage> messages) {
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

    /** What an answer says of a call, of one message or of all of several. */
    static AttemptOutcome outcomeOf(final HttpResponse head, final long waitUs) {
        final Courier.ReportedLimit allowance = allowance(loadReport(head));
        final boolean lineBusy = "1".equals(head.headers().get("X-Line-Busy"));
        return switch (head.status().code()) {
            case OK -> new AttemptOutcome(Result.DELIVERED, true, waitUs, allowance);
            case BUSY -> new AttemptOutcome(Result.REFUSED, false, waitUs, allowance);
            case UNAVAILABLE ->
                new AttemptOutcome(lineBusy ? Result.NOT_SENT : Result.REFUSED, false, waitUs, allowance);
            case NO_MORE -> new AttemptOutcome(Result.NOT_SENT, false, waitUs, allowance);
            case GONE -> new AttemptOutcome(Result.NOT_SENT, true, waitUs, allowance);
            default -> new AttemptOutcome(Result.ERROR, false, waitUs, allowance);
        };
    }

    /** What an answer says of one of several messages; {@code state} is empty for one that it does not name. */
    static AttemptOutcome outcomeOfMessage(final String state, final AttemptOutcome all) {
        return switch (state) {
            case "accepted" -> new AttemptOutcome(Result.DELIVERED, true, all.retryAfterUs(), all.reportedLimit());
            case "deferred" -> new AttemptOutcome(Result.REFUSED, false, all.retryAfterUs(), all.reportedLimit());
            case "expired" -> new AttemptOutcome(Result.NOT_SENT, true, all.retryAfterUs(), all.reportedLimit());
            case "no_more" -> new AttemptOutcome(Result.NOT_SENT, false, all.retryAfterUs(), all.reportedLimit());
            default -> new AttemptOutcome(Result.ERROR, false, all.retryAfterUs(), all.reportedLimit());
        };
    }

    /** The states of several messages by their ids; what cannot be read names none. */
    static Map<String, String> parseStates(final byte[] body) {
        final Map<String, String> states = new HashMap<>();
        try {
            for (final JsonNode item : JSON.readTree(body)) {
                states.put(item.path("id").asText(), item.path("state").asText());
            }
        } catch (final IOException e) {
            Log.info("an endpoint's answer to several messages cannot be read: " + e.getMessage());
        }
        return states;
    }

    /** The wait that an answer tells: seconds, with decimals. One that cannot be read is none. */
    static long retryAfterUs(final HttpResponse head) {
        final String text = head.headers().get(HttpHeaderNames.RETRY_AFTER);
        try {
            return text == null ? 0 : Math.max(0, (long) Math.ceil(Double.parseDouble(text) * US_PER_SECOND));
        } catch (final NumberFormatException e) {
            return 0;
        }
    }

    /** The text in which a destination reports its limit, or null. */
    static String loadReport(final HttpResponse head) {
        return head.headers().get(REPORT);
    }

    /** True where there is a report that says nothing of a limit. */
    static boolean hasUnreadableLimitReport(final HttpResponse head) {
        return loadReport(head) != null && allowance(loadReport(head)) == null;
    }

    /** What a destination told of its limit; null if it told nothing, or nothing that can be read. */
    private static Courier.ReportedLimit allowance(final String report) {
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
        final boolean whole = Double.isFinite(shareLeft) && Double.isFinite(callsPerSecond) && callsPerSecond >= 0;
        return whole ? new Courier.ReportedLimit(shareLeft, callsPerSecond) : null;
    }
}
