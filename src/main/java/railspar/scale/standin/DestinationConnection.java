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

/** One connection of a courier to the simulated destinations. All of it runs on the server's event loop. */
final class DestinationConnection extends HttpConnection {
    private static final String SINGLE_PATH = "/inbox";
    private static final String BULK_PATH = "/inbox/bulk";
    private static final String ID_HEADER = "X-Request-ID";
    private static final double NS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final DestinationServer server;
    /** The call in progress, or null. */
    private InboxCall currentCall;

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
        if (currentCall != null) {
            currentCall.abandon();
        }
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext ctx, final FullHttpRequest request) {
        final boolean acceptable = currentCall == null
                && request.decoderResult().isSuccess()
                && request.method().equals(HttpMethod.POST);
        if (acceptable && request.uri().equals(SINGLE_PATH)) {
            receive(List.of(String.valueOf(request.headers().get(ID_HEADER))), false);
        } else if (acceptable && request.uri().equals(BULK_PATH)) {
            receiveBulk(request.content().toString(StandardCharsets.UTF_8));
        } else {
            rejectMalformed();
        }
    }

    private void receiveBulk(final String body) {
        try {
            final List<String> ids = new ArrayList<>();
            final JsonNode messages = JSON.readTree(body);
            messages.forEach(message -> ids.add(message.path("id").asText()));
            final Set<String> distinct = new HashSet<>(ids);
            if (!messages.isArray() || ids.isEmpty() || distinct.size() < ids.size()) {
                rejectMalformed();
            } else {
                receive(ids, true);
            }
        } catch (final IOException e) {
            rejectMalformed();
        }
    }

    private void rejectMalformed() {
        server.ruleChecker().countMalformed();
        respond(HttpResponseStatus.BAD_REQUEST, "", 0);
    }

    private void receive(final List<String> ids, final boolean bulk) {
        final List<RegisteredMessage> messages = new ArrayList<>();
        for (final String id : ids) {
            final RegisteredMessage message = server.ruleChecker().findMessage(id);
            if (message == null) {
                respond(HttpResponseStatus.BAD_REQUEST, "", 0);
                return;
            }
            messages.add(message);
        }
        final long destination = messages.get(0).destination();
        if (messages.stream().anyMatch(message -> message.destination() != destination)) {
            rejectMalformed();
        } else if (ids.size() > server.settingsOf(destination).maxMessagesPerCall()) {
            respond(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "", 0);
        } else {
            server.ruleChecker()
                    .checkAddress(
                            destination, (InetSocketAddress) context().channel().localAddress(), server.nowNs());
            currentCall = new InboxCall(destination, messages, bulk);
            currentCall.admit();
        }
    }

    private void respond(final HttpResponseStatus status, final String body, final long retryAfterNs) {
        final DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (retryAfterNs > 0) {
            response.headers()
                    .set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterNs / NS_PER_SECOND));
        }
        context().writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** A call with one or several messages, until it is answered or abandoned. */
    private final class InboxCall implements Destination.Call {
        private final long destinationNumber;
        private final Destination destination;
        private final List<RegisteredMessage> messages;
        private final boolean bulk;
        private int admittedCount;
        private long retryAfterNs;
        private boolean hasSlot;
        private boolean ended;

        InboxCall(final long destinationNumber, final List<RegisteredMessage> messages, final boolean bulk) {
            this.destinationNumber = destinationNumber;
            this.destination = server.destination(destinationNumber);
            this.messages = messages;
            this.bulk = bulk;
        }

        private void admit() {
            messages.forEach(server.ruleChecker()::startCall);
            if (destination.isHung()) {
                return;
            }
            final Destination.Admission admission = destination.admit(server.nowNs(), messages.size());
            admittedCount = admission.admitted();
            retryAfterNs = admission.retryAfterNs();
            if (admittedCount == 0) {
                reject();
            } else {
                destination.start(this);
            }
        }

        private void reject() {
            end();
            final boolean sendsRetryAfter =
                    retryAfterNs > 0 && server.settingsOf(destinationNumber).sendsRetryAfter();
            respond(
                    sendsRetryAfter ? HttpResponseStatus.TOO_MANY_REQUESTS : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "",
                    sendsRetryAfter ? retryAfterNs : 0);
        }

        @Override
        public void run() {
            hasSlot = true;
            messages.subList(0, admittedCount).forEach(server.ruleChecker()::startExecution);
            context().executor().schedule(this::complete, server.latencyNs(destinationNumber), TimeUnit.NANOSECONDS);
        }

        private void complete() {
            if (ended || destination.isHung()) {
                return;
            }
            end();
            destination.finish(admittedCount);
            messages.subList(0, admittedCount).forEach(message -> server.notifyAccepted(message.id()));
            respond(HttpResponseStatus.OK, bulk ? messageStates() : "", bulk ? retryAfterNs : 0);
        }

        private String messageStates() {
            final ArrayNode states = JSON.createArrayNode();
            for (int index = 0; index < messages.size(); index++) {
                states.addObject()
                        .put("id", messages.get(index).id())
                        .put("state", index < admittedCount ? "accepted" : "deferred");
            }
            return states.toString();
        }

        /** The courier has closed the connection: frees the slot or the place in the queue. */
        private void abandon() {
            if (ended) {
                return;
            }
            end();
            if (hasSlot) {
                destination.finish(0);
            } else {
                destination.cancel(this);
            }
        }

        private void end() {
            ended = true;
            currentCall = null;
            messages.forEach(server.ruleChecker()::endCall);
        }
    }
}
