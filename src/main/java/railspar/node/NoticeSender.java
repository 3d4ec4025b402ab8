package railspar.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Sends notices to the platform about accepted messages that ended without delivery. A notice is sent again until it
 * is confirmed. Repeats are harmless, as the message has ended.
 *
 * <p>The platform normally responds at once, so one connection carries one request after another. If a response is
 * slow, further notices are sent on another connection, and the slow request stays open: if each slow request were
 * abandoned for a new one, a slow platform could never confirm any. If no connection can be opened, further notices are
 * pipelined on a connection that is waiting for a response.
 */
final class NoticeSender {
    /** How long due notices wait for the response to the previous request before they use another connection. */
    private static final int SLOW_RESPONSE_MS = 100;
    /** The wait grows by {@link #SLOW_RESPONSE_MS} per this many slow connections, as connections are limited. */
    private static final int SLOW_CONNECTIONS_PER_STEP = 4;
    /** Notices that have not been answered after this time are sent again, beside the open request. */
    private static final int RESEND_MS = 1000;
    /** Delay before a failed request is retried. It doubles with each failure, up to {@link #MAX_BACKOFF_MS}. */
    private static final int INITIAL_BACKOFF_MS = 10;

    private static final int MAX_BACKOFF_MS = 100;
    /** Idle connections that are kept beside the current one, after a period of slow responses. */
    private static final int MAX_IDLE_CONNECTIONS = 8;
    /** Connections that may wait for a slow response, beside the current one. */
    private static final int MAX_SLOW_CONNECTIONS = 16;
    /** Timeout of a connection attempt, and of a request whose response is slow. */
    private static final int REQUEST_TIMEOUT_MS = 30_000;

    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final int MAX_RESPONSE_BYTES = 1 << 16;
    private static final int NO_CONTENT = 204;
    private static final int BAD_REQUEST = 400;

    private InetSocketAddress address;
    private final EventLoop loop;
    private final MessageService service;
    private final AgentConnector connector;
    private final ObjectMapper json = new ObjectMapper();
    /** Messages whose notices are due; late responses may have confirmed some of them meanwhile. */
    private final Deque<AcceptedMessage> due = new ArrayDeque<>();
    /** Messages whose notices no response has confirmed. */
    private final Set<AcceptedMessage> unconfirmed = new HashSet<>();
    /** Idle connections beside the current one; they are kept because opening a new one may fail when it is needed. */
    private final Deque<Connection> idle = new ArrayDeque<>();
    /** Connections that are still waiting for a slow response, or to be established; oldest first. */
    private final List<Connection> slow = new ArrayList<>();

    private Connection current;
    /** A request, a connection attempt or a retry delay is in progress; due notices are sent when it ends. */
    private boolean busy;
    /** After a 400 response, each request carries one notice, so that an invalid notice does not block the others. */
    private boolean oneAtATime;

    private boolean discarded;
    private int backoffMs = INITIAL_BACKOFF_MS;

    NoticeSender(final InetSocketAddress address, final EventLoop loop, final MessageService service) {
        this.address = address;
        this.loop = loop;
        this.service = service;
        this.connector = new AgentConnector(loop, service::relieveDescriptorShortage);
    }

    /** Changes the address of the platform. Due notices are sent there; open requests still get their responses. */
    void moveTo(final InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            List.copyOf(idle).forEach(Connection::close);
            final Connection old = current;
            if (old != null && old.isIdle()) {
                current = null;
                old.close();
            }
        }
    }

    /** Adds a message that has ended: the platform is to be notified of it. */
    void add(final AcceptedMessage message) {
        due.add(message);
        unconfirmed.add(message);
    }

    /** Drops all notices and stops sending: the successor process sends the unconfirmed ones. */
    void discard() {
        due.clear();
        unconfirmed.clear();
        discarded = true;
    }

    /** True if all notices have been confirmed. */
    boolean isEmpty() {
        return unconfirmed.isEmpty();
    }

    /** Sends the due notices, unless a request, a connection attempt or a retry delay is in progress. */
    void flush() {
        if (discarded || busy) {
            return;
        }
        due.removeIf(message -> !unconfirmed.contains(message));
        if (due.isEmpty()) {
            return;
        }
        busy = true;
        while (!idle.isEmpty() && (current == null || !current.isUsable())) {
            current = idle.pollLast();
        }
        if (current != null && current.isUsable()) {
            current.sendDue();
        } else {
            connect();
        }
    }

    private void connect() {
        final Connection connection = new Connection(address);
        current = connection;
        connection.startSlowTimer();
        connector.connect(
                address,
                REQUEST_TIMEOUT_MS,
                connection::onConnected,
                connection::onEnded,
                new HttpRequestEncoder(),
                connection.decoder,
                new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                connection);
    }

    /**
     * Sends the due notices on the slow connection with the fewest open requests; false if there is none. Responses
     * come in the order of the requests, and a surplus only where no request is open, so that none is taken for the
     * response to another request.
     */
    private boolean pipeline() {
        due.removeIf(message -> !unconfirmed.contains(message));
        final Optional<Connection> shared =
                slow.stream().filter(Connection::isOpen).min(Comparator.comparingInt(Connection::pendingRequests));
        if (due.isEmpty() || shared.isEmpty()) {
            return false;
        }
        current = shared.get();
        slow.remove(current);
        current.sendDue();
        return true;
    }

    /** Makes the unconfirmed notices of a request due again, ahead of the others. */
    private void requeue(final List<AcceptedMessage> messages) {
        for (int index = messages.size() - 1; index >= 0; index--) {
            if (unconfirmed.contains(messages.get(index))) {
                due.addFirst(messages.get(index));
            }
        }
    }

    /** Retries the notices of a failed request after the backoff delay. */
    private void retryLater(final List<AcceptedMessage> messages) {
        requeue(messages);
        loop.schedule(this::sendNext, backoffMs, TimeUnit.MILLISECONDS);
        backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    }

    private void sendNext() {
        busy = false;
        flush();
    }

    private void confirm(final List<AcceptedMessage> messages) {
        backoffMs = INITIAL_BACKOFF_MS;
        service.noticesConfirmed(messages.stream().filter(unconfirmed::remove).toList());
    }

    /**
     * Keeps a slow connection open for its response. Beyond the limit, the second oldest is closed: the oldest stays
     * open until its timeout, so that one request gets its response even from a very slow platform.
     */
    private void keepSlow(final Connection connection) {
        slow.add(connection);
        if (slow.size() > MAX_SLOW_CONNECTIONS) {
            slow.get(1).close();
        }
        loop.schedule(connection::onTimeout, REQUEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private byte[] encode(final AcceptedMessage message) {
        final AcceptedMessage.Notice notice = message.notice();
        final ObjectNode item = json.createObjectNode()
                .put("id", message.id)
                .put("status", notice.failed() ? "undeliverable" : "deferred");
        if (!notice.failed() && notice.retryAfterMs() > 0) {
            item.put("again_ms", notice.retryAfterMs());
        }
        return (item + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** An open request: the messages of its notices, and the timer that sends them again beside it. */
    private record Request(List<AcceptedMessage> messages, ScheduledFuture<?> resendTimer) {}

    /** A connection to the platform. It carries one request at a time, unless no further connection can be opened. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress target;
        private final ResponseDecoder decoder = new ResponseDecoder();
        private final Deque<Request> requests = new ArrayDeque<>();
        private ChannelHandlerContext context;
        /** Releases due notices to another connection when it fires. */
        private ScheduledFuture<?> slowTimer;

        private boolean established;

        Connection(final InetSocketAddress target) {
            this.target = target;
        }

        @Override
        public void handlerAdded(final ChannelHandlerContext added) {
            context = added;
        }

        private boolean isIdle() {
            return established && requests.isEmpty();
        }

        private boolean isOpen() {
            return established && context.channel().isActive() && target.equals(address);
        }

        private boolean isUsable() {
            return isIdle() && isOpen() && decoder.isReadyForRequest();
        }

        /** Number of requests without a response. */
        private int pendingRequests() {
            return requests.size();
        }

        private void close() {
            if (context != null) {
                context.close();
            }
        }

        private void onTimeout() {
            if (slow.contains(this)) {
                close();
            }
        }

        private void onConnected() {
            final boolean wasCurrent = current == this;
            established = true;
            slow.remove(this);
            slowTimer.cancel(false);
            if (discarded || !target.equals(address) || current != null && !wasCurrent) {
                close();
                if (wasCurrent) {
                    current = null;
                    sendNext();
                }
                return;
            }
            current = this;
            if (wasCurrent) {
                sendNext();
            } else {
                flush();
            }
        }

        /** Starts the wait for the connection or the response, after which due notices use another connection. */
        private void startSlowTimer() {
            if (slowTimer != null) {
                slowTimer.cancel(false);
            }
            final int waitMs = SLOW_RESPONSE_MS * (1 + slow.size() / SLOW_CONNECTIONS_PER_STEP);
            slowTimer = loop.schedule(this::onSlow, waitMs, TimeUnit.MILLISECONDS);
        }

        private void onSlow() {
            if (current == this) {
                current = null;
                keepSlow(this);
                sendNext();
            }
        }

        private void onResendDue(final List<AcceptedMessage> messages) {
            Log.info("the platform has not answered " + messages.size() + " notices in " + RESEND_MS
                    + " ms: sending them again beside the open request");
            requeue(messages);
            flush();
        }

        private void sendDue() {
            final ByteBuf body = Unpooled.buffer();
            final List<AcceptedMessage> sent = new ArrayList<>();
            while (!due.isEmpty() && (sent.isEmpty() || !oneAtATime)) {
                final byte[] text = encode(due.peekFirst());
                if (!sent.isEmpty() && body.readableBytes() + text.length > MAX_BODY_BYTES) {
                    break;
                }
                body.writeBytes(text);
                sent.add(due.pollFirst());
            }
            requests.add(new Request(sent, loop.schedule(() -> onResendDue(sent), RESEND_MS, TimeUnit.MILLISECONDS)));
            startSlowTimer();
            final var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/v1/outcomes", body);
            request.headers()
                    .set(HttpHeaderNames.HOST, target.getHostString())
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson")
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            decoder.onRequest();
            context.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final FullHttpResponse response) {
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return;
            }
            final Request request = requests.poll();
            if (request == null) {
                ctx.close();
                return;
            }
            request.resendTimer().cancel(false);
            if (response.decoderResult().isFailure()) {
                requests.addFirst(request);
                ctx.close();
                return;
            }
            final List<AcceptedMessage> messages = request.messages();
            if (!requests.isEmpty()) {
                handleStatus(response.status().code(), messages, false);
                return;
            }
            slowTimer.cancel(false);
            slow.remove(this);
            final boolean wasCurrent = current == this;
            final boolean reusable = HttpUtil.isKeepAlive(response) && target.equals(address) && !decoder.hasSurplus();
            if (reusable && (wasCurrent || current == null)) {
                current = this;
            } else if (reusable && idle.size() < MAX_IDLE_CONNECTIONS) {
                idle.add(this);
            } else {
                close();
            }
            handleStatus(response.status().code(), messages, wasCurrent);
        }

        private void handleStatus(final int status, final List<AcceptedMessage> messages, final boolean wasCurrent) {
            if (status == BAD_REQUEST && messages.size() == 1) {
                Log.info("the platform rejected the notice of " + messages.get(0).id + " as unreadable: dropping it");
                confirm(messages);
            } else if (status == NO_CONTENT) {
                confirm(messages);
            } else {
                Log.info("the platform answered " + status + " to " + messages.size() + " notices: sending them again");
                oneAtATime = status == BAD_REQUEST;
                if (wasCurrent) {
                    retryLater(messages);
                } else {
                    requeue(messages);
                }
                return;
            }
            due.removeIf(message -> !unconfirmed.contains(message));
            oneAtATime &= !due.isEmpty();
            if (wasCurrent) {
                sendNext();
            } else {
                flush();
            }
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            if (established) {
                onEnded();
            }
        }

        /** The connection has ended, or could not be established. */
        private void onEnded() {
            idle.remove(this);
            final boolean wasSlow = slow.remove(this);
            final boolean inUse = !isIdle();
            final List<AcceptedMessage> unanswered = removeUnanswered();
            slowTimer.cancel(false);
            if (current == this) {
                current = null;
                if (inUse && (established || !pipeline())) {
                    retryLater(unanswered);
                }
            } else if (wasSlow) {
                requeue(unanswered);
                flush();
            }
        }

        private List<AcceptedMessage> removeUnanswered() {
            requests.forEach(request -> request.resendTimer().cancel(false));
            final List<AcceptedMessage> unanswered = requests.stream()
                    .flatMap(request -> request.messages().stream())
                    .toList();
            requests.clear();
            return unanswered;
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            FatalError.exitOn("notices to the platform", cause);
            if (!(cause instanceof IOException)) {
                Log.failure("notices to the platform", cause);
            }
            ctx.close();
        }
    }
}
