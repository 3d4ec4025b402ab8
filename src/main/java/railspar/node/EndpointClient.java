package railspar.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import railspar.Courier;
import railspar.Courier.Result;
import railspar.DeliveryRules;
import railspar.DeliveryRules.Transmission;

/**
 * Makes calls to endpoints, with one message or several, over persistent connections that carry one call at a time. It
 * reports the outcome of each message to the {@link MessageService}, above all whether the message may have taken
 * effect. That depends on whether the request's last byte may have been sent before the connection broke; see
 * {@link DeliveryRules}.
 */
final class EndpointClient {
    private static final long US_PER_MS = 1000;
    private static final int MAX_BODY_BYTES = 1 << 16;
    /**
     * Sizes of receive buffers: smallest, first and largest. A connection keeps its buffer while that ends in a part
     * of a line, and memory for buffers outside the heap is limited.
     */
    private static final AdaptiveRecvByteBufAllocator RECEIVE_BUFFERS =
            new AdaptiveRecvByteBufAllocator(64, 2 << 10, 4 << 10);

    /** Idle connections are closed at this share of the endpoints' idle timeout, so that no request crosses a close. */
    private static final double IDLE_TIMEOUT_SHARE = 0.8;
    /** Share of the file descriptors for connections to endpoints; the rest is for clients and the process. */
    private static final double SOCKET_SHARE = 0.3;
    /** How long to wait for the body of a 200, which has no meaning: the next message of its ordering key waits too. */
    private static final long DELIVERED_BODY_TIMEOUT_MS = 200;
    /** How long an abandoned call's connection stays readable for a late response: more than a round trip. */
    private static final long LATE_RESPONSE_TIMEOUT_MS = 300;

    private static final Pattern OK_STATUS_LINE = Pattern.compile("HTTP/1\\.[01] 200(?!\\d)");
    private static final int MAX_STATUS_LINE_CHARS = 64;
    private static final int OK = 200;
    private static final int FIRST_FINAL_STATUS = 200;

    private final Clock clock;
    private final StallDetector stallDetector;
    private final EventLoop loop;
    private final MessageService messageService;
    private final Bootstrap bootstrap;
    private final long maxIdleUs;
    private final int maxConnections;
    private final Map<Long, Pool> pools = new HashMap<>();
    private final Set<Call> calls = new HashSet<>();
    private int connections;
    private long connectionsOpened;
    private boolean draining;

    /** An endpoint's address and destination, and whether the destination has a separate route to each endpoint. */
    record Target(long destination, boolean separateRoutes, InetSocketAddress address) {}

    /** The outcome of a message's attempt. {@code retryAfterUs} is the wait that the response asks for, or 0. */
    record AttemptOutcome(Result result, boolean isFinal, long retryAfterUs, Courier.ReportedLimit reportedLimit) {}

    EndpointClient(
            final Config config,
            final EventLoop loop,
            final Clock clock,
            final StallDetector stallDetector,
            final MessageService messageService) {
        this.clock = clock;
        this.stallDetector = stallDetector;
        this.loop = loop;
        this.messageService = messageService;
        this.maxIdleUs = (long) (IDLE_TIMEOUT_SHARE * config.settings().limits().idleTimeoutUs());
        this.maxConnections = (int) Math.max(1, SOCKET_SHARE * config.sockets());
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(TrackedSocketChannel::new)
                .option(ChannelOption.RECVBUF_ALLOCATOR, RECEIVE_BUFFERS)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (config.connectTimeoutUs() / US_PER_MS))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        final ResponseDecoder decoder = new ResponseDecoder();
                        final EndpointConnection connection = new EndpointConnection(decoder);
                        channel.pipeline()
                                .addLast(
                                        new StatusLineReader(connection),
                                        new HttpRequestEncoder(),
                                        decoder,
                                        connection);
                    }
                });
        final long sweepIntervalUs = Math.max(US_PER_MS, maxIdleUs / 8);
        loop.scheduleWithFixedDelay(
                this::closeExpiredIdleConnections, sweepIntervalUs, sweepIntervalUs, TimeUnit.MICROSECONDS);
    }

    /** Describes the connections for the log; each one that is opened costs the endpoint work. */
    String describe() {
        return "connections " + connections + " ("
                + pools.values().stream().mapToInt(pool -> pool.idle.size()).sum() + " idle, " + connectionsOpened
                + " opened so far)";
    }

    // ---------------------------------------------------------------- state

    /** The connections to one endpoint. */
    private static final class Pool {
        private final long endpoint;
        private final long destination;
        private final boolean separateRoutes;
        private InetSocketAddress address;
        /** Idle connections, the most recently used one last. */
        private final Deque<EndpointConnection> idle = new ArrayDeque<>();

        private boolean removed;
        private boolean unusableLimitLogged;

        Pool(final long endpoint, final Target target) {
            this.endpoint = endpoint;
            this.destination = target.destination();
            this.separateRoutes = target.separateRoutes();
            this.address = target.address();
        }
    }

    /** A call: its messages and its progress. */
    static final class Call {
        private final Pool pool;
        private final long endpoint;
        private final long sentUs;
        private final long deadlineUs;
        private final long writeDeadlineUs;
        private final List<MessageService.CallItem> items;
        /** Messages that expired while the call continues: the endpoint may still be processing them. */
        private final List<MessageService.CallItem> expiredItems = new ArrayList<>();
        /** Sent as a bulk call, so that its response is one too, even if some of the messages expire before it. */
        private final boolean bulk;

        private TrackedSocketChannel channel;
        private boolean started;
        /** The request has been passed to the connection. */
        private boolean queued;

        /** The writes tried on the connection before the request was passed to it. */
        private long writeCountAtQueueing;
        /** The whole request has been written to the socket. */
        private boolean written;
        /** The status line says 200, which holds even if the rest of the response never arrives. */
        private boolean delivered;

        Call(final Pool pool, final long endpoint, final List<MessageService.CallItem> items, final long sentUs) {
            this.pool = pool;
            this.endpoint = endpoint;
            this.items = new ArrayList<>(items);
            this.bulk = items.size() > 1;
            this.sentUs = sentUs;
            this.writeDeadlineUs = items.stream()
                    .mapToLong(MessageService.CallItem::writeDeadlineUs)
                    .min()
                    .orElse(AcceptedMessage.NEVER);
            this.deadlineUs = sentUs
                    + items.stream()
                            .mapToLong(MessageService.CallItem::timeoutUs)
                            .max()
                            .orElse(0);
        }

        long endpoint() {
            return endpoint;
        }

        /** Whether the request was sent, as far as that is known. */
        private Transmission transmission() {
            if (written) {
                return Transmission.SENT;
            }
            return queued ? channel.transmissionOfUnfinished(writeCountAtQueueing) : Transmission.NOT_SENT;
        }

        private List<String> ids() {
            return items.stream().map(item -> item.message().accepted.id).toList();
        }

        long sentUs() {
            return sentUs;
        }
    }

    /** Handles a changed list entry; it matters only if the endpoint has been called. */
    void endpointChanged(final Courier.Endpoint entry) {
        final Pool pool = pools.get(entry.id());
        if (pool == null) {
            return;
        }
        final InetSocketAddress address = messageService.target(entry.id()).address();
        if (!pool.address.equals(address)) {
            pool.address = address;
            closeIdleConnections(entry.id());
        }
        if (entry.condition() != Courier.Condition.LISTED) {
            abandonUnwritten(call -> call.pool == pool);
        }
    }

    /** Handles the removal of an endpoint from the list: its idle connections are of no more use. */
    void endpointRemoved(final long endpoint) {
        closeIdleConnections(endpoint);
        final Pool pool = pools.remove(endpoint);
        if (pool != null) {
            pool.removed = true;
            abandonUnwritten(call -> call.pool == pool);
        }
    }

    /** Number of endpoints that have been called and are still listed. */
    int calledEndpoints() {
        return pools.size();
    }

    /** Cancels the calls to an endpoint that are not written yet. */
    void cancelUnsentCalls(final long endpoint) {
        abandonUnwritten(call -> call.endpoint == endpoint);
    }

    void closeIdleConnections(final long endpoint) {
        final Pool pool = pools.get(endpoint);
        if (pool != null) {
            List.copyOf(pool.idle).forEach(EndpointConnection::close);
        }
    }

    /** Stops keeping connections: no call is started any more, and each connection is closed after its call. */
    void stopNewCalls() {
        draining = true;
        List.copyOf(pools.keySet()).forEach(this::closeIdleConnections);
    }

    /** True when no call is in flight. */
    boolean hasNoCalls() {
        return calls.isEmpty();
    }

    /** Closes idle connections before the endpoint does: a request that crosses its close may have taken effect. */
    private void closeExpiredIdleConnections() {
        final long beforeUs = clock.nowUs() - maxIdleUs;
        pools.values()
                .forEach(pool -> List.copyOf(pool.idle).stream()
                        .filter(connection -> connection.idleSinceUs <= beforeUs)
                        .forEach(EndpointConnection::close));
    }

    private void closeIdleConnectionIfFull() {
        if (connections >= maxConnections) {
            closeOldestIdleConnection();
        }
    }

    /** Closes the connection that has been idle longest. */
    void closeOldestIdleConnection() {
        pools.values().stream()
                .filter(pool -> !pool.idle.isEmpty())
                .map(pool -> pool.idle.peekFirst())
                .min(Comparator.comparingLong(connection -> connection.idleSinceUs))
                .ifPresent(EndpointConnection::close);
    }

    // ---------------------------------------------------------------- calls

    /**
     * Prepares a call, which is started after the journal has recorded it. The message with the latest end comes first:
     * the first message decides for the call, and once it has ended a response counts for none of the others.
     */
    Call prepareCall(final long endpoint, final List<MessageService.CallItem> items) {
        final List<MessageService.CallItem> byLatestEnd = new ArrayList<>(items);
        byLatestEnd.sort(Comparator.comparingLong(
                        (MessageService.CallItem item) -> item.message().latestEndUs())
                .reversed());
        return new Call(pool(endpoint), endpoint, byLatestEnd, clock.nowUs());
    }

    /** The endpoint's pool, created with its first call; null if the endpoint is not listed. */
    private Pool pool(final long endpoint) {
        final Pool known = pools.get(endpoint);
        final Target target = known == null ? messageService.target(endpoint) : null;
        if (target == null) {
            return known;
        }
        final Pool created = new Pool(endpoint, target);
        pools.put(endpoint, created);
        return created;
    }

    void startCall(final Call call) {
        if (call.pool == null || call.pool.removed) {
            loop.execute(() -> abandonCall(call, Result.NOT_SENT));
            return;
        }
        calls.add(call);
        scheduleAfterReading(() -> abandonCall(call, Result.TIMED_OUT), call.deadlineUs - call.sentUs);
        for (final MessageService.CallItem item : call.items) {
            // For messages with a shorter timeout too: the call may last longer than their time.
            final long remainingUs = item.message().latestEndUs() - call.sentUs;
            if (remainingUs < call.deadlineUs - call.sentUs) {
                scheduleAfterReading(() -> expire(call, item), remainingUs);
            }
        }
        if (call.writeDeadlineUs < call.deadlineUs) {
            loop.schedule(
                    () -> {
                        if (!call.written) {
                            abandonCall(call, Result.NO_CONNECTION);
                        }
                    },
                    call.writeDeadlineUs - call.sentUs,
                    TimeUnit.MICROSECONDS);
        }
        call.started = true;
        try {
            final EndpointConnection idle = idle(call.pool);
            if (idle != null) {
                idle.write(call);
            } else {
                connect(call);
            }
        } catch (final RuntimeException e) {
            Log.failure("call of " + call.ids() + " cannot be started", e);
            abandonCall(call, Result.NO_CONNECTION);
        }
    }

    /** Schedules a task to run after the socket reads: a response that is still unread arrived in time. */
    private void scheduleAfterReading(final Runnable task, final long delayUs) {
        loop.schedule(() -> stallDetector.afterSocketReads(task), delayUs, TimeUnit.MICROSECONDS);
    }

    private static EndpointConnection idle(final Pool pool) {
        while (!pool.idle.isEmpty()) {
            final EndpointConnection connection = pool.idle.pollLast();
            if (connection.decoder.isReadyForRequest()) {
                return connection;
            }
        }
        return null;
    }

    private void connect(final Call call) {
        closeIdleConnectionIfFull();
        if (connections >= maxConnections) {
            loop.execute(() -> abandonCall(call, Result.NOT_SENT));
            return;
        }
        final ChannelFuture connecting = bootstrap.connect(call.pool.address);
        if (!connecting.channel().isRegistered()) {
            // No file descriptor is left: there is no channel to close and no event loop that owns one.
            messageService.relieveDescriptorShortage();
            loop.execute(() -> abandonCall(call, Result.NO_CONNECTION));
            return;
        }
        connections++;
        connectionsOpened++;
        call.channel = (TrackedSocketChannel) connecting.channel();
        call.channel.closeFuture().addListener(closed -> connections--);
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                stallDetector.afterSocketReads(() -> connected(connecting.channel(), call));
            } else if (calls.contains(call)) {
                abandonCall(call, Result.NO_CONNECTION);
            }
        });
    }

    private void connected(final Channel channel, final Call call) {
        if (calls.contains(call)) {
            channel.pipeline().get(EndpointConnection.class).write(call);
        } else {
            channel.close();
        }
    }

    /**
     * Ends a call from our side. Its connection, or our half of it, is closed before the outcome is reported, so that
     * no further attempt of a message can overlap with this one.
     */
    void abandonCall(final Call call, final Result result) {
        if (!calls.contains(call) && call.started) {
            return;
        }
        if (call.written && !call.delivered) {
            call.channel.pipeline().get(EndpointConnection.class).halfCloseForLateResponse();
        } else if (call.channel != null) {
            call.channel.close();
        }
        remove(call);
        reportEnd(call, result);
    }

    /** Reports the outcome of a call that ended without a complete response, for that reason. */
    private void reportEnd(final Call call, final Result reason) {
        final Transmission request = call.transmission();
        if (request == Transmission.IN_DOUBT) {
            messageService.requestInDoubt(call.ids(), call.pool.address);
        }
        final Result result = call.delivered ? Result.DELIVERED : DeliveryRules.resultOf(request, reason);
        reportOutcome(call, new AttemptOutcome(result, call.delivered, 0, null));
    }

    /**
     * Ends an expired message of a call that continues for its other messages. The message is not sent again. The call
     * is abandoned with its last message. A request that has been passed to its connection may still send the message.
     */
    private void expire(final Call call, final MessageService.CallItem item) {
        if (!calls.contains(call) || !call.items.contains(item)) {
            return;
        }
        if (call.items.size() == 1) {
            abandonCall(call, Result.TIMED_OUT);
            return;
        }
        call.items.remove(item);
        if (call.queued) {
            call.expiredItems.add(item);
            messageService.remainsInCall(item);
        }
        final Transmission request = call.queued ? Transmission.SENT : Transmission.NOT_SENT;
        messageService.attemptEnded(
                item, call, new AttemptOutcome(DeliveryRules.resultOf(request, Result.TIMED_OUT), false, 0, null));
    }

    /** Removes a call that is over; false if it was removed before. */
    private boolean remove(final Call call) {
        final boolean known = calls.remove(call);
        if (known) {
            call.expiredItems.forEach(messageService::callEnded);
        }
        return known;
    }

    private void reportOutcome(final Call call, final AttemptOutcome outcome) {
        call.items.forEach(item -> messageService.attemptEnded(item, call, outcome));
    }

    /** Abandons unwritten calls, as after a retry-after, or when their endpoint drains or is removed. */
    private void abandonUnwritten(final Predicate<Call> affected) {
        for (final Call call : List.copyOf(calls)) {
            if (!call.written && affected.test(call)) {
                abandonCall(call, Result.NOT_SENT);
            }
        }
    }

    /** Applies a retry-after to the whole destination at once, or to the endpoint alone if its routes are separate. */
    private void applyRetryAfter(final Pool pool, final long retryAfterUs) {
        if (retryAfterUs > 0) {
            messageService.onRetryAfter(pool.endpoint, retryAfterUs);
            abandonUnwritten(
                    other -> pool.separateRoutes ? other.pool == pool : other.pool.destination == pool.destination);
        }
    }

    // ---------------------------------------------------------------- one connection

    /**
     * Reads the status line of a response before the decoder has the whole head. A 200 holds even if the rest never
     * arrives, and the next message of the ordering key would wait for the rest until its timeout.
     */
    private static final class StatusLineReader extends ChannelInboundHandlerAdapter {
        private final EndpointConnection connection;

        StatusLineReader(final EndpointConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(final ChannelHandlerContext ctx, final Object bytes) {
            if (connection.statusLine != null && bytes instanceof ByteBuf buffer) {
                for (int at = buffer.readerIndex(); at < buffer.writerIndex() && connection.statusLine != null; at++) {
                    connection.readStatusLineByte((char) buffer.getByte(at));
                }
            }
            ctx.fireChannelRead(bytes);
        }
    }

    /** Writes the requests and reads the responses of one connection. */
    private final class EndpointConnection extends SimpleChannelInboundHandler<HttpObject> {
        private final ResponseDecoder decoder;
        private ChannelHandlerContext context;
        private Call call;
        /** The pool of an abandoned call whose response may still arrive. */
        private Pool abandonedPool;

        private long idleSinceUs;
        private HttpResponse head;
        private boolean keepAlive;
        private final BodyBuffer body = new BodyBuffer(MAX_BODY_BYTES);
        private int ignoredBodyBytes;
        /** The part of a status line read so far; null while none is expected or once it has been read. */
        private StringBuilder statusLine;

        EndpointConnection(final ResponseDecoder decoder) {
            this.decoder = decoder;
        }

        /** Handles the next byte of the status line. */
        private void readStatusLineByte(final char next) {
            if (next != '\n' && statusLine.length() < MAX_STATUS_LINE_CHARS) {
                statusLine.append(next);
                return;
            }
            final boolean delivered =
                    next == '\n' && OK_STATUS_LINE.matcher(statusLine).lookingAt();
            statusLine = null;
            if (delivered && call != null) {
                markDelivered(call);
            }
        }

        /** Marks a call as delivered by its 200; the rest of the response is waited for only briefly. */
        private void markDelivered(final Call answered) {
            if (!answered.delivered) {
                answered.delivered = true;
                loop.schedule(
                        () -> abandonCall(answered, Result.DELIVERED),
                        DELIVERED_BODY_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void handlerAdded(final ChannelHandlerContext added) {
            context = added;
        }

        private void write(final Call next) {
            if (clock.nowUs() >= next.writeDeadlineUs) {
                // The connection was established too late for sending the message again.
                context.close();
                abandonCall(next, Result.NO_CONNECTION);
                return;
            }
            next.items.stream().toList().forEach(item -> dropUnlessAllowed(next, item));
            if (next.items.isEmpty()) {
                remove(next);
                context.close();
                return;
            }
            call = next;
            call.channel = (TrackedSocketChannel) context.channel();
            head = null;
            statusLine = call.bulk ? null : new StringBuilder();
            body.clear();
            ignoredBodyBytes = 0;
            final FullHttpRequest request = request(call);
            call.writeCountAtQueueing = call.channel.writeCount();
            call.queued = true;
            decoder.onRequest();
            context.writeAndFlush(request).addListener(done -> {
                if (done.isSuccess()) {
                    next.written = true;
                    messageService.metrics().forwarded(next.items.size());
                }
            });
        }

        /** Removes a message that may not be sent now from a call that is about to be written. */
        private void dropUnlessAllowed(final Call due, final MessageService.CallItem item) {
            if (!messageService.mayWrite(item, due)) {
                due.items.remove(item);
                messageService.attemptEnded(item, due, new AttemptOutcome(Result.NOT_SENT, false, 0, null));
            }
        }

        private void close() {
            if (call == null) {
                unpool();
                context.close();
            }
        }

        /** Abandons the call by closing our half: a late response may still carry a retry-after, which applies. */
        private void halfCloseForLateResponse() {
            abandonedPool = call.pool;
            call = null;
            HalfClose.shutdownOutputOrClose((TrackedSocketChannel) context.channel());
            loop.schedule(() -> context.close(), LATE_RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        private void unpool() {
            pools.values().forEach(pool -> pool.idle.remove(this));
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
            if (abandonedPool != null && part instanceof HttpResponse response) {
                applyRetryAfter(abandonedPool, CallCodec.retryAfterUs(response));
            }
            if (call == null) {
                // A response without a request: this connection cannot be trusted.
                connectionBroken();
                return;
            }
            if (part instanceof HttpResponse response) {
                // Even if the rest is malformed: a status line that says 200 holds.
                head = response;
                keepAlive = HttpUtil.isKeepAlive(response);
                if (response.status().code() == OK && !call.bulk) {
                    markDelivered(call);
                }
            }
            if (part.decoderResult().isFailure()) {
                Log.info("malformed response from " + call.pool.address + " to the call of " + call.ids()
                        + (head == null ? "" : " after status " + head.status().code()) + ": "
                        + part.decoderResult().cause().getClass().getSimpleName());
                connectionBroken();
                return;
            }
            if (part instanceof HttpContent content) {
                if (!read(content.content())) {
                    connectionBroken();
                    return;
                }
            }
            if (part instanceof LastHttpContent && head != null && head.status().code() >= FIRST_FINAL_STATUS) {
                finish();
            }
        }

        /** Reads a part of the body; false if the body is too long. Only that of a bulk call has a meaning. */
        private boolean read(final ByteBuf content) {
            if (call.bulk) {
                return body.append(content);
            }
            ignoredBodyBytes += content.readableBytes();
            return ignoredBodyBytes <= MAX_BODY_BYTES;
        }

        private void finish() {
            final Call finished = call;
            final byte[] responseBody = body.take();
            call = null;
            if (!remove(finished)) {
                context.close();
                return;
            }
            if (keepAlive && finished.written && !finished.pool.removed && !draining && !decoder.hasSurplus()) {
                idleSinceUs = clock.nowUs();
                finished.pool.idle.addLast(this);
            } else {
                context.close();
            }
            final long retryAfterUs = CallCodec.retryAfterUs(head);
            applyRetryAfter(finished.pool, retryAfterUs);
            final AttemptOutcome outcome = parseOutcome(finished.pool, head, retryAfterUs);
            if (finished.bulk && head.status().code() == OK) {
                reportBulkOutcomes(finished, responseBody, outcome);
            } else {
                reportOutcome(finished, outcome);
            }
        }

        /** Handles a broken or unusable connection. A single message with a 200 before the break is delivered. */
        private void connectionBroken() {
            unpool();
            context.close();
            final Call interrupted = call;
            call = null;
            if (interrupted == null || !remove(interrupted)) {
                return;
            }
            if (interrupted.delivered && head != null && head.status().code() == OK) {
                reportOutcome(interrupted, parseOutcome(interrupted.pool, head, 0));
            } else {
                reportEnd(interrupted, Result.NO_CONNECTION);
            }
        }

        /** Reports each message of a bulk call by its own state; one without a state may have taken effect. */
        private void reportBulkOutcomes(
                final Call finished, final byte[] responseBody, final AttemptOutcome callOutcome) {
            final Map<String, String> states = CallCodec.parseStates(responseBody);
            for (final MessageService.CallItem item : finished.items) {
                final AttemptOutcome outcome =
                        CallCodec.outcomeOfMessage(states.getOrDefault(item.message().accepted.id, ""), callOutcome);
                messageService.attemptEnded(item, finished, outcome);
            }
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            connectionBroken();
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            FatalError.exitOn("connection to an endpoint", cause);
            if (!(cause instanceof IOException)) {
                Log.failure("connection to an endpoint", cause);
            }
            connectionBroken();
        }
    }

    private FullHttpRequest request(final Call call) {
        final List<AcceptedMessage> messages =
                call.items.stream().map(item -> item.message().accepted).toList();
        final long timeoutMs = Math.max(1, (call.deadlineUs - clock.nowUs()) / US_PER_MS);
        final String hostName = call.pool.address.getHostString();
        return call.bulk
                ? CallCodec.bulkRequest(messages, hostName, timeoutMs)
                : CallCodec.singleRequest(messages.get(0), hostName, timeoutMs);
    }

    private static AttemptOutcome parseOutcome(final Pool pool, final HttpResponse head, final long retryAfterUs) {
        if (!pool.unusableLimitLogged && CallCodec.hasUnreadableLimitReport(head)) {
            // Logged once: the endpoint may send it with every response.
            pool.unusableLimitLogged = true;
            Log.info(pool.address + " reports an unusable limit: " + CallCodec.loadReport(head));
        }
        return CallCodec.outcomeOf(head, retryAfterUs);
    }
}
