package railspar.scale.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** One connection of a courier to the destinations' stand-in; all of it runs on the server's event loop. */
final class DestinationConnection extends HttpConnection {
    private static final String ONE_PATH = "/inbox";
    private static final String MANY_PATH = "/inbox/bulk";
    private static final String ID_HEADER = "X-Request-ID";
    private static final double NS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final DestinationServer server;
    /** The call that is out, or null. */
    private InboxCall current;

    DestinationConnection(final DestinationServer server) {
        this.server = server;
    }

    @Override
    void opened() {
        server.opened(this);
    }

    @Override
    void closed() {
        server.closed(this);
        if (current != null) {
            current.giveUp();
        }
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext ctx, final FullHttpRequest request) {
        final boolean readable = current == null
                && request.decoderResult().isSuccess()
                && request.method().equals(HttpMethod.POST);
        if (readable && request.uri().equals(ONE_PATH)) {
            arrive(List.of(String.valueOf(request.headers().get(ID_HEADER))), false);
        } else if (readable && request.uri().equals(MANY_PATH)) {
            arriveTogether(request.content().toString(StandardCharsets.UTF_8));
        } else {
            refuseMalformed();
        }
    }

    private void arriveTogether(final String body) {
        try {
            final List<String> ids = new ArrayList<>();
            final JsonNode messages = JSON.readTree(body);
            messages.forEach(message -> ids.add(message.path("id").asText()));
            final Set<String> distinct = new HashSet<>(ids);
            if (!messages.isArray() || ids.isEmpty() || distinct.size() < ids.size()) {
                refuseMalformed();
            } else {
                arrive(ids, true);
            }
        } catch (final IOException e) {
            refuseMalformed();
        }
    }

    private void refuseMalformed() {
        server.checks().malformed();
        answer(HttpResponseStatus.BAD_REQUEST, "", 0);
    }

    private void arrive(final List<String> ids, final boolean together) {
        final List<RegisteredMessage> messages = new ArrayList<>();
        for (final String id : ids) {
            final RegisteredMessage message = server.checks().find(id);
            if (message == null) {
                answer(HttpResponseStatus.BAD_REQUEST, "", 0);
                return;
            }
            messages.add(message);
        }
        final long destination = messages.get(0).destination();
        if (messages.stream().anyMatch(message -> message.destination() != destination)) {
            refuseMalformed();
        } else if (ids.size() > server.settingsOf(destination).messagesPerCall()) {
            answer(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "", 0);
        } else {
            server.checks()
                    .arrived(
                            destination, (InetSocketAddress) context().channel().localAddress(), server.nowNs());
            current = new InboxCall(destination, messages, together);
            current.admit();
        }
    }

    private void answer(final HttpResponseStatus status, final String body, final long waitNs) {
        final DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (waitNs > 0) {
            response.headers()
                    .set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", waitNs / NS_PER_SECOND));
        }
        context().writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** One call with one message or several, until it is answered or given up. */
    private final class InboxCall implements Destination.Call {
        private final long number;
        private final Destination destination;
        private final List<RegisteredMessage> messages;
        private final boolean together;
        private int taken;
        private long waitNs;
        private boolean hasSlot;
        private boolean over;

        InboxCall(final long number, final List<RegisteredMessage> messages, final boolean together) {
            this.number = number;
            this.destination = server.destination(number);
            this.messages = messages;
            this.together = together;
        }

        private void admit() {
            messages.forEach(server.checks()::begins);
            if (destination.isHung()) {
                return;
            }
            final Destination.Admission admission = destination.arrive(server.nowNs(), messages.size());
            taken = admission.taken();
            waitNs = admission.waitNs();
            if (taken == 0) {
                turnAway();
            } else {
                destination.start(this);
            }
        }

        private void turnAway() {
            leave();
            final boolean told = waitNs > 0 && server.settingsOf(number).retryAfter();
            answer(
                    told ? HttpResponseStatus.TOO_MANY_REQUESTS : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "",
                    told ? waitNs : 0);
        }

        @Override
        public void run() {
            hasSlot = true;
            messages.subList(0, taken).forEach(server.checks()::runs);
            context().executor().schedule(this::done, server.latencyNs(number), TimeUnit.NANOSECONDS);
        }

        private void done() {
            if (over || destination.isHung()) {
                return;
            }
            leave();
            destination.finish(taken);
            messages.subList(0, taken).forEach(message -> server.accepted(message.id()));
            answer(HttpResponseStatus.OK, together ? states() : "", together ? waitNs : 0);
        }

        private String states() {
            final ArrayNode states = JSON.createArrayNode();
            for (int index = 0; index < messages.size(); index++) {
                states.addObject()
                        .put("id", messages.get(index).id())
                        .put("state", index < taken ? "accepted" : "deferred");
            }
            return states.toString();
        }

        /** The courier has closed the connection: the slot is free. */
        private void giveUp() {
            if (over) {
                return;
            }
            leave();
            if (hasSlot) {
                destination.finish(0);
            } else {
                destination.withdraw(this);
            }
        }

        private void leave() {
            over = true;
            current = null;
            messages.forEach(server.checks()::ends);
        }
    }
}
