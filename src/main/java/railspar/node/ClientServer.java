package railspar.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerExpectContinueHandler;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import railspar.Courier;

/**
 * The HTTP server to which clients submit messages. An accepted message is answered in the event-loop pass that read
 * it. A request that cannot be parsed or used gets a 4xx response and is not accepted. Every request gets a response.
 */
final class ClientServer {
    static final int TOO_MANY_REQUESTS = 429;
    static final int SERVICE_UNAVAILABLE = 503;
    private static final int ACCEPTED = 202;
    private static final int FAILED = 500;
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final int MAX_ID_CHARS = 128;
    /** The path segment that names a message class or an ordering key. */
    private static final Pattern PATH_SEGMENT = Pattern.compile("[A-Za-z0-9._~-]{1,128}");

    private static final int ACCEPT_BACKLOG = 1024;
    private static final long US_PER_MS = 1000;
    private static final double US_PER_SECOND = 1_000_000;
    /**
     * How long a request may take to arrive completely. For the first request the time runs from the start of the
     * connection, so that a peer that sends nothing is disconnected too, within 3 s.
     */
    private static final long REQUEST_TIMEOUT_US = 2_200_000;

    /** How long responses may wait until the client reads them; then the connection is closed. */
    private static final long RESPONSE_TIMEOUT_US = 2_200_000;
    /** While more bytes of responses than the higher mark are unread, the connection's requests wait. */
    private static final WriteBufferWaterMark RESPONSE_WATER_MARK = new WriteBufferWaterMark(2 << 10, 4 << 10);
    /** Memory of the unread responses of a connection whose requests wait: 25 small ones and their buffers. */
    private static final long UNREAD_RESPONSES_BYTES = 16 << 10;
    /**
     * Sizes of receive buffers: smallest, first and largest. A larger one would bring too many requests at once. A
     * connection is read once in each pass of the event loop, so that none takes the time of the others.
     */
    private static final RecvByteBufAllocator RECEIVE_BUFFERS =
            new AdaptiveRecvByteBufAllocator(64, 2 << 10, 8 << 10).maxMessagesPerRead(1);
    /** Memory of a request apart from its text: its objects and those of its headers. */
    private static final long REQUEST_OVERHEAD_BYTES = 2 << 10;

    /** How long further input is read and discarded after the last response, before the connection is closed. */
    private static final long LINGER_MS = 500;

    private static final long SWEEP_INTERVAL_MS = 200;
    private static final long EXPIRED_RETRY_AFTER_US = 500_000;
    /** The retry-after for a destination that no list has named: a list is at most some seconds late. */
    private static final long UNKNOWN_DESTINATION_RETRY_AFTER_US = 2_000_000;
    /**
     * How long a connection must be idle before it is closed during a drain. After a drain is requested, new
     * connections still arrive for about 0.3 s, and after 4 s no idle connection may be left. After this idle time a
     * request rarely crosses the close.
     */
    private static final long DRAIN_IDLE_TIMEOUT_US = 1_000_000;
    /**
     * When another process takes over, most clients send a further request within this time, and its response closes
     * their connection.
     */
    private static final long HANDOVER_GRACE_US = 1_000_000;

    private static final long NEVER = Long.MAX_VALUE;
    /** Headers that each message must have exactly once: with two values its meaning would be ambiguous. */
    private static final List<String> REQUIRED_HEADERS =
            List.of("Host", "X-Request-ID", "X-Priority-Class", "X-Timeout-Ms", "X-Consignee");
    /** Share of the descriptors for client connections. Clients need a third of them for their requests. */
    private static final double CLIENT_SOCKET_SHARE = 0.45;
    /**
     * A connection that was opened or active within this time is not closed to make room, and a request that has begun
     * within it is not ended.
     */
    private static final long MIN_SILENCE_US = 200_000;
    /** While room is made, this share of the connections that are allowed is being ended at most. */
    private static final double MAX_ENDING_SHARE = 0.5;
    /**
     * How long accepting pauses when the connection limit is reached. Also the delay before idle connections are
     * closed at a shutdown, and the interval of the checks of the accept queue.
     */
    private static final long ACCEPT_PAUSE_MS = 20;
    /**
     * When descriptors run out, the connection limit falls to this share of the open connections, but not below
     * {@link #MIN_CONNECTION_SHARE} of the maximum, for {@link #SHORTAGE_DURATION_US}.
     */
    private static final double SHORTAGE_SHARE = 0.75;

    private static final double MIN_CONNECTION_SHARE = 0.05;
    private static final long SHORTAGE_DURATION_US = 10_000_000;
    /** How often at most the accept queue is checked for waiting connections before the listening socket is closed. */
    private static final int MAX_ACCEPT_QUEUE_CHECKS = 10;

    private final Config config;
    private final Clock clock;
    private final MessageService service;
    private final int maxConnections;
    /** The current limit: below {@link #maxConnections} after descriptors have run out with fewer connections. */
    private int connectionLimit;

    private long shortageUntilUs;
    private long acceptedConnections;

    private final Set<Session> sessions = new HashSet<>();
    /** Connections with a request that is served in the next pass of the event loop. */
    private final Set<Session> waitingForNextPass = new LinkedHashSet<>();

    private final ConnectionMemory memory;
    /** Connections ended for their memory since the last log line about it. */
    private int memoryReliefs;

    private Channel listener;
    /** This process is shutting down: each response closes its connection. */
    private boolean shuttingDown;

    private boolean accepting = true;
    private boolean acceptPaused;
    /** The listening socket belongs to the platform, and other processes accept from it too. */
    private boolean sharedListener;
    /** Another process has taken over. */
    private boolean handedOver;
    /**
     * From when on clients are sent elsewhere: when operators requested a drain, or a grace time after a handover.
     * {@link #NEVER} otherwise.
     */
    private long drainedFromUs = NEVER;

    ClientServer(final Config config, final Clock clock, final MessageService service) {
        this.config = config;
        this.clock = clock;
        this.service = service;
        this.memory = ConnectionMemory.ofHeap(Runtime.getRuntime().maxMemory());
        this.maxConnections = (int) Math.max(1, CLIENT_SOCKET_SHARE * config.sockets());
        this.connectionLimit = maxConnections;
    }

    /** Starts the periodic check that ends connections whose request timed out or that are idle during a drain. */
    void startSweeping(final EventLoop loop) {
        loop.scheduleWithFixedDelay(
                () -> service.afterSocketReads(this::sweep),
                SWEEP_INTERVAL_MS,
                SWEEP_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Listens on the address of the configuration, or on the listening socket that the platform passed, if any.
     * {@code /up} is answered from then on.
     */
    ChannelFuture listen(final EventLoopGroup group, final ServerSocketChannel passedSocket) {
        sharedListener = passedSocket != null;
        final ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channelFactory(() -> sharedListener
                        ? new TrackedServerSocketChannel(passedSocket)
                        : new TrackedServerSocketChannel())
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .handler(new AcceptFailureHandler())
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, RECEIVE_BUFFERS)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, RESPONSE_WATER_MARK)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        final RequestDecoder decoder = new RequestDecoder();
                        final Session session = new Session(decoder);
                        channel.pipeline()
                                .addLast(
                                        new FirstBytesHandler(session),
                                        decoder,
                                        new HttpResponseEncoder(),
                                        new HttpServerExpectContinueHandler(),
                                        session);
                    }
                });
        final ChannelFuture bound = sharedListener ? bootstrap.register() : bootstrap.bind(config.listen());
        listener = bound.channel();
        return bound;
    }

    /** The address and port that the server is bound to. */
    String address() {
        return listener.localAddress().toString().replaceFirst(".*/", "");
    }

    /**
     * From now on each response closes its connection. Idle connections are closed after a short delay, so that
     * requests that have already arrived are read and answered.
     */
    void drain() {
        shuttingDown = true;
        listener.eventLoop()
                .schedule(
                        () -> List.copyOf(sessions).forEach(Session::closeIfIdle),
                        ACCEPT_PAUSE_MS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Starts or ends an operator's drain. While drained, {@code /up} returns 503 and clients are sent elsewhere, but
     * open messages and requests that still arrive are served.
     */
    void setDrained(final boolean drained) {
        if (!handedOver && drained != isDrained()) {
            drainedFromUs = drained ? clock.nowUs() : NEVER;
            Log.info(drained ? "drain: told to take no more clients" : "drain: over, takes clients again");
        }
    }

    private boolean isDrained() {
        return drainedFromUs != NEVER;
    }

    /**
     * Stops accepting connections; open ones are still served. Closing the listening socket resets the connections
     * in its accept queue, where they wait if this process got no CPU time. They are therefore accepted first.
     */
    void stopListening() {
        stopListening(-1, MAX_ACCEPT_QUEUE_CHECKS);
    }

    private void stopListening(final long acceptedBefore, final int checksLeft) {
        if (acceptedConnections != acceptedBefore && checksLeft > 0) {
            final long before = acceptedConnections;
            listener.eventLoop()
                    .schedule(() -> stopListening(before, checksLeft - 1), ACCEPT_PAUSE_MS, TimeUnit.MILLISECONDS);
        } else {
            stopAccepting();
            List.copyOf(sessions).forEach(Session::closeIfIdle);
        }
    }

    /** Called shortly before the process exits: rejects incomplete requests, so that none is left unanswered. */
    void rejectIncompleteRequests() {
        List.copyOf(sessions).forEach(Session::rejectIncompleteOrClose);
    }

    /** Stops accepting at once. A listening socket shared with other processes stays open, but is not read. */
    void stopAccepting() {
        accepting = false;
        if (sharedListener) {
            listener.config().setAutoRead(false);
        } else {
            listener.close();
        }
    }

    /**
     * Another process takes over. Clients with a connection to this process are served, and their connections are
     * closed so that they go to the other one. If both processes share the listening socket, this one also accepts
     * new connections until the other is seen to accept.
     */
    void handOver() {
        handedOver = true;
        drainedFromUs = clock.nowUs() + HANDOVER_GRACE_US;
        if (!sharedListener) {
            stopAccepting();
        }
    }

    /**
     * True when this process can exit without cutting off a client: all responses are sent and all connections are
     * closed.
     */
    boolean isDone() {
        return !accepting && sessions.isEmpty();
    }

    /**
     * Called when descriptors have run out although clients use no more than their share: lowers the connection limit
     * and closes silent connections.
     */
    void relieveDescriptorShortage() {
        final double minimum = MIN_CONNECTION_SHARE * maxConnections;
        connectionLimit =
                (int) Math.max(1, Math.min(connectionLimit, Math.max(minimum, SHORTAGE_SHARE * sessions.size())));
        shortageUntilUs = clock.nowUs() + SHORTAGE_DURATION_US;
        makeRoom();
    }

    private void sweep() {
        final long beforeUs = clock.nowUs() - REQUEST_TIMEOUT_US;
        if (clock.nowUs() >= shortageUntilUs) {
            connectionLimit = maxConnections;
        }
        logMemoryRelief();
        for (final Session session : List.copyOf(sessions)) {
            if (session.responseWaitStartUs <= clock.nowUs() - RESPONSE_TIMEOUT_US) {
                service.connectionShed();
                session.closeNow();
            } else if (session.timeoutStartUs <= beforeUs) {
                session.timeOut();
            } else if (isDrained()
                    && Math.max(drainedFromUs, session.lastRequestUs) <= clock.nowUs() - DRAIN_IDLE_TIMEOUT_US) {
                session.closeIfIdle();
            }
        }
    }

    /**
     * Makes room while the connection limit is reached: closes connections whose last response was sent a while ago,
     * then idle ones, the one that has been silent for longest first. If there is none, accepting pauses, and clients
     * that hold a connection without completing a request are answered with an error.
     */
    private void makeRoom() {
        while (sessions.size() >= connectionLimit) {
            final long beforeUs = clock.nowUs() - MIN_SILENCE_US;
            final Session closable = sessions.stream()
                    .filter(session -> session.isClosable(beforeUs))
                    .min(Comparator.comparing((Session session) -> !session.closing)
                            .thenComparingLong(session -> session.lastActivityUs))
                    .orElse(null);
            if (closable == null) {
                endWaitsForPeers(beforeUs);
                pauseAccepting();
                return;
            }
            if (!closable.closing && closable.hasUnreadInput()) {
                closable.lastActivityUs = clock.nowUs();
            } else {
                service.connectionShed();
                closable.closeNow();
            }
        }
    }

    /**
     * Answers incomplete requests with an error, and closes connections whose responses are not read: first where the
     * client has been silent, then where it has waited longest. A response takes a moment to end its connection, so
     * some of the connections are ended at once.
     */
    private void endWaitsForPeers(final long beforeUs) {
        final long ending = sessions.stream().filter(session -> session.closing).count();
        final long wanted = (long) Math.ceil(MAX_ENDING_SHARE * connectionLimit) - ending;
        final List<Session> waiting = sessions.stream()
                .filter(session -> session.hasWaitedForPeerSince(beforeUs))
                .sorted(Comparator.comparing((Session session) -> session.lastActivityUs > beforeUs)
                        .thenComparingLong(Session::waitingForPeerSinceUs))
                .limit(Math.max(0, wanted))
                .toList();
        for (final Session session : waiting) {
            service.connectionShed();
            session.endWaitForPeer();
        }
    }

    /**
     * While client connections hold more memory than they may, ends the one that has waited longest for its peer: for
     * the rest of a request, or for its responses to be read.
     */
    private void relieveMemory() {
        while (memory.isExceeded()) {
            final Session longestWaiting = sessions.stream()
                    .filter(session -> session.waitingForPeerSinceUs() != NEVER)
                    .min(Comparator.comparingLong(Session::waitingForPeerSinceUs))
                    .orElse(null);
            if (longestWaiting == null) {
                return;
            }
            service.connectionShed();
            memoryReliefs++;
            longestWaiting.releaseMemory();
        }
    }

    /** Lets a connection continue with its next request once the other sockets have been read. */
    private void serveInNextPass(final Session session) {
        if (waitingForNextPass.isEmpty()) {
            session.context.executor().schedule(this::serveWaiting, 0, TimeUnit.MILLISECONDS);
        }
        waitingForNextPass.add(session);
    }

    private void serveWaiting() {
        final List<Session> due = List.copyOf(waitingForNextPass);
        waitingForNextPass.clear();
        due.forEach(Session::serveNext);
    }

    private void logMemoryRelief() {
        if (memoryReliefs > 0) {
            Log.info("ended " + memoryReliefs + " client connections: all of them held over " + memory.limitBytes()
                    + " bytes, now " + memory.usedBytes());
            memoryReliefs = 0;
        }
    }

    /** Pauses accepting until there is room, or for a moment; the kernel queues new connections meanwhile. */
    private void pauseAccepting() {
        if (!acceptPaused && listener != null && accepting) {
            acceptPaused = true;
            listener.config().setAutoRead(false);
            listener.eventLoop().schedule(this::resumeAccepting, ACCEPT_PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void resumeAccepting() {
        acceptPaused = false;
        if (accepting) {
            listener.config().setAutoRead(true);
            makeRoom();
        }
    }

    /**
     * Handles a failed accept with a pause of accepting. Without this handler, Netty would log the failure in a way
     * that can fail itself and end the process.
     */
    private final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            FatalError.exitOn("connection of a client", cause);
            if (!acceptPaused) {
                Log.info("cannot accept with " + sessions.size() + " clients connected: " + cause);
            }
            relieveDescriptorShortage();
            pauseAccepting();
        }
    }

    /** Reports the first bytes of a request, before the decoder has a complete request head. */
    private static final class FirstBytesHandler extends ChannelInboundHandlerAdapter {
        private final Session session;

        FirstBytesHandler(final Session session) {
            this.session = session;
        }

        @Override
        public void channelRead(final ChannelHandlerContext ctx, final Object bytes) {
            session.bytesArrived();
            ctx.fireChannelRead(bytes);
        }
    }

    /** A complete request, queued until the earlier ones of its connection are answered. */
    private record Request(HttpRequest head, int headBytes, byte[] body, long firstBytesUs) {
        long heldBytes() {
            return REQUEST_OVERHEAD_BYTES + headBytes + body.length;
        }
    }

    /** One client's connection. */
    private final class Session extends SimpleChannelInboundHandler<HttpObject> {
        private ChannelHandlerContext context;
        private HttpRequest head;
        private int headBytes;
        private final BodyBuffer body = new BodyBuffer(MAX_BODY_BYTES);
        private final Deque<Request> queue = new ArrayDeque<>();
        private final RequestDecoder decoder;
        /** Memory of the queued requests. */
        private long queuedBytes;
        /** Memory of the connection as last reported to {@link #memory}. */
        private long reportedBytes;

        private Request current;
        private String currentId;
        private boolean reading;
        /** The error response to send after the queued requests are answered; null while the input is valid. */
        private HttpResponseStatus errorStatus;
        /** The last response is being written, or was: further input is read and discarded. */
        private boolean closing;
        /** When the output was shut down after the last response; {@link #NEVER} before. */
        private long closingSinceUs = NEVER;

        /** When the connection was opened, or its latest request head arrived or was dequeued. */
        private long lastRequestUs = clock.nowUs();
        /** When the client last sent bytes or got a response. */
        private long lastActivityUs = lastRequestUs;
        /** Start of the request timeout: the start of the connection, then the first bytes of each further request. */
        private long timeoutStartUs = clock.nowUs();

        /** Since when the requests, or the close of the connection, have waited for responses to be read. */
        private long responseWaitStartUs = NEVER;

        /** Some bytes of an incomplete request have arrived. */
        private boolean requestStarted;
        /**
         * When the first bytes of the request arrived. The message's time runs from when its client sent it, however
         * slowly the request is written.
         */
        private long firstBytesUs;

        Session(final RequestDecoder decoder) {
            this.decoder = decoder;
        }

        private void bytesArrived() {
            lastActivityUs = clock.nowUs();
            firstBytesUs = requestStarted ? firstBytesUs : lastActivityUs;
            requestStarted = true;
            timeoutStartUs = timeoutStartUs == NEVER ? clock.nowUs() : timeoutStartUs;
        }

        /**
         * Handles the request timeout. Without a request no response is sent: the client would take it for the
         * response to its next request.
         */
        private void timeOut() {
            if (requestStarted) {
                reject(HttpResponseStatus.REQUEST_TIMEOUT);
            } else if (!hasUnreadInput()) {
                closeGracefully();
            }
        }

        /** Closes the connection if it is idle, or rejects its incomplete request, as the process exits soon. */
        private void rejectIncompleteOrClose() {
            if (isIdle() && !requestStarted) {
                closeGracefully();
            } else if (!closing && (requestStarted || reading)) {
                reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
            }
        }

        /** True if its last response was sent before that time, or the connection has been idle since then. */
        private boolean isClosable(final long beforeUs) {
            if (context == null) {
                return false;
            }
            return closing ? closingSinceUs <= beforeUs : isIdle() && !requestStarted && lastActivityUs <= beforeUs;
        }

        /** Whether bytes have arrived that have not been read yet. */
        private boolean hasUnreadInput() {
            return ((TrackedSocketChannel) context.channel()).hasUnreadInput();
        }

        /** True if a request is incomplete, or responses are not read, since that time or longer. */
        private boolean hasWaitedForPeerSince(final long beforeUs) {
            final boolean isEnding = closing ? closingSinceUs != NEVER : errorStatus != null;
            return context != null && !isEnding && waitingForPeerSinceUs() <= beforeUs;
        }

        private boolean isIdle() {
            return !reading && current == null && queue.isEmpty() && !closing;
        }

        private void closeIfIdle() {
            if (isIdle() && !requestStarted && !hasUnreadInput()) {
                closeGracefully();
            }
        }

        /**
         * Shuts down the output side, then reads and discards what the client sent before it saw the shutdown.
         * Closing with unread bytes would reset the connection and could destroy a response that the client has not
         * read yet. Requests read meanwhile are not served: the client sends them again elsewhere.
         */
        private void closeGracefully() {
            closing = true;
            closingSinceUs = Math.min(closingSinceUs, clock.nowUs());
            reading = false;
            timeoutStartUs = NEVER;
            responseWaitStartUs = NEVER;
            dropInput();
            if (context.channel() instanceof SocketChannel socket && socket.isActive()) {
                socket.config().setAutoRead(true);
                HalfClose.shutdownOutputOrClose(socket);
            }
            context.executor().schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        }

        /** Closes the connection at once, and with it whatever it holds. */
        private void closeNow() {
            sessions.remove(this);
            dropInput();
            reportMemory(0);
            context.close();
        }

        /** What has not been served is not served any more, and holds no memory. */
        private void dropInput() {
            queue.clear();
            queuedBytes = 0;
            body.clear();
            decoder.discardInput();
        }

        // ------------------------------------------------------------ memory

        /** Since when this connection has waited for its peer and held memory meanwhile, or {@link #NEVER}. */
        private long waitingForPeerSinceUs() {
            return requestStarted || reading ? Math.min(timeoutStartUs, responseWaitStartUs) : responseWaitStartUs;
        }

        /** Ends the wait for the peer: rejects an incomplete request, or closes if responses are not read. */
        private void endWaitForPeer() {
            if (responseWaitStartUs != NEVER) {
                closeNow();
            } else {
                reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
            }
        }

        /** Ends the wait for the peer, and frees the memory that it has used. */
        private void releaseMemory() {
            endWaitForPeer();
            if (sessions.contains(this)) {
                decoder.compact();
                updateMemory();
            }
        }

        private void updateMemory() {
            if (sessions.contains(this)) {
                reportMemory(heldBytes());
            }
        }

        private void reportMemory(final long bytes) {
            memory.update(reportedBytes, bytes);
            reportedBytes = bytes;
        }

        private long heldBytes() {
            return queuedBytes
                    + decoder.heldBytes()
                    + body.capacity()
                    + (requestStarted || reading ? REQUEST_OVERHEAD_BYTES : 0)
                    + (reading ? headBytes : 0)
                    + (context.channel().isWritable() ? 0 : UNREAD_RESPONSES_BYTES);
        }

        // ------------------------------------------------------------ requests

        @Override
        public void channelActive(final ChannelHandlerContext ctx) {
            context = ctx;
            acceptedConnections++;
            makeRoom();
            sessions.add(this);
        }

        @Override
        public void channelReadComplete(final ChannelHandlerContext ctx) {
            // An incomplete request arrived in the same read as a complete one: its timeout starts too.
            if (!requestStarted && !reading && !closing && decoder.hasPartialRequest()) {
                bytesArrived();
            }
            serveNext();
            updateMemory();
            relieveMemory();
            ctx.fireChannelReadComplete();
        }

        @Override
        public void channelWritabilityChanged(final ChannelHandlerContext ctx) {
            if (!ctx.channel().isWritable()) {
                waitForReader();
            } else if (!closing) {
                responseWaitStartUs = NEVER;
                serveInNextPass(this);
            }
            updateAutoRead();
            updateMemory();
            ctx.fireChannelWritabilityChanged();
        }

        private void waitForReader() {
            responseWaitStartUs = Math.min(responseWaitStartUs, clock.nowUs());
        }

        /** Nothing is read while a complete request waits: what one connection can ask for in a pass is limited. */
        private void updateAutoRead() {
            final boolean canServe = queue.isEmpty() && context.channel().isWritable();
            context.channel().config().setAutoRead(closing || canServe);
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            sessions.remove(this);
            dropInput();
            reportMemory(0);
            if (currentId != null) {
                service.withdraw(currentId);
            }
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject message) {
            if (closing || errorStatus != null) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                final Throwable cause = message.decoderResult().cause();
                reject(
                        cause instanceof TooLongHttpLineException
                                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                                : cause instanceof TooLongHttpHeaderException
                                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                                        : HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (message instanceof HttpRequest request) {
                head = request;
                headBytes = decoder.lastHeadBytes();
                body.clear();
                reading = true;
                lastRequestUs = clock.nowUs();
                timeoutStartUs = Math.min(timeoutStartUs, lastRequestUs);
                if (HttpUtil.getContentLength(request, 0L) > MAX_BODY_BYTES) {
                    reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                    return;
                }
            }
            if (message instanceof HttpContent content && reading) {
                if (!body.append(content.content())) {
                    reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                    return;
                }
                if (message instanceof LastHttpContent) {
                    reading = false;
                    requestStarted = false;
                    timeoutStartUs = NEVER;
                    enqueue(new Request(head, headBytes, body.take(), firstBytesUs));
                }
            }
        }

        private void enqueue(final Request request) {
            queue.add(request);
            queuedBytes += request.heldBytes();
        }

        /**
         * Serves one request of the connection, so that the responses keep their order and other connections have their
         * turn. While responses are not read, requests wait.
         */
        private void serveNext() {
            if (canServeNext()) {
                current = queue.poll();
                queuedBytes -= current.heldBytes();
                lastRequestUs = clock.nowUs();
                serve(current);
            }
            if (errorStatus != null && current == null && queue.isEmpty() && !closing) {
                sendErrorAndClose(errorStatus);
            }
            if (canServeNext()) {
                serveInNextPass(this);
            }
            updateAutoRead();
            updateMemory();
        }

        private boolean canServeNext() {
            return current == null
                    && !queue.isEmpty()
                    && !closing
                    && context.channel().isWritable();
        }

        private void serve(final Request request) {
            final String path = request.head().uri();
            if (path.equals("/up")) {
                if (!request.head().method().equals(HttpMethod.GET)) {
                    respond(HttpResponseStatus.METHOD_NOT_ALLOWED, 0);
                } else {
                    respond(
                            shuttingDown || isDrained() && !handedOver
                                    ? HttpResponseStatus.SERVICE_UNAVAILABLE
                                    : HttpResponseStatus.OK,
                            0);
                }
                // After a health check the client may submit a message, but may not keep the connection idle.
                timeoutStartUs = Math.min(timeoutStartUs, clock.nowUs());
                return;
            }
            // The path is "/class", or "/class/key" for a class with ordering; any other path is not found.
            final String[] parts = path.split("/", -1);
            final Courier.MessageClass messageClass =
                    parts.length > 1 && parts[0].isEmpty() ? service.messageClass(parts[1]) : null;
            if (messageClass == null
                    || parts.length != (messageClass.ordered() ? 3 : 2)
                    || !PATH_SEGMENT.matcher(parts[parts.length - 1]).matches()) {
                respond(HttpResponseStatus.NOT_FOUND, 0);
            } else if (!request.head().method().equals(HttpMethod.POST)) {
                respond(HttpResponseStatus.METHOD_NOT_ALLOWED, 0);
            } else {
                submitMessage(request, messageClass, messageClass.ordered() ? parts[2] : null);
            }
        }

        private void submitMessage(
                final Request request, final Courier.MessageClass messageClass, final String orderKey) {
            final HttpHeaders headers = request.head().headers();
            final String id = headers.get("X-Request-ID", "");
            final long timeoutMs = parseNonNegative(headers.get("X-Timeout-Ms"));
            final long destination = parseDestination(headers.get("X-Consignee"));
            final String key = headers.get("Idempotency-Key");
            if (REQUIRED_HEADERS.stream().anyMatch(name -> headers.getAll(name).size() != 1)
                    || id.isEmpty()
                    || id.length() > MAX_ID_CHARS
                    || timeoutMs < 0
                    || destination < 0
                    || !messageClass.name().equals(headers.get("X-Priority-Class"))) {
                respond(HttpResponseStatus.BAD_REQUEST, 0);
                return;
            }
            final MessageService.PriorSubmission prior = service.findSubmission(id);
            if (prior != MessageService.PriorSubmission.NONE) {
                final boolean delivered = prior == MessageService.PriorSubmission.DELIVERED;
                respond(delivered ? HttpResponseStatus.ACCEPTED : HttpResponseStatus.CONFLICT, 0);
                return;
            }
            final long requestedUs = Math.min(timeoutMs, messageClass.deadlineUs() / US_PER_MS) * US_PER_MS;
            final long remainingUs = requestedUs - (clock.nowUs() - request.firstBytesUs());
            if (remainingUs <= 0) {
                // The message expired before its request was complete, so it cannot be delivered in time.
                service.countRejected(messageClass.name());
                respond(HttpResponseStatus.SERVICE_UNAVAILABLE, EXPIRED_RETRY_AFTER_US);
                return;
            }
            if (!service.isPossibleDestination(destination)) {
                // No endpoint serves this destination; if the list is only late, a retry is harmless.
                service.countRejected(messageClass.name());
                respond(HttpResponseStatus.SERVICE_UNAVAILABLE, UNKNOWN_DESTINATION_RETRY_AFTER_US);
                return;
            }
            currentId = id;
            service.submit(
                    new AcceptedMessage(
                            id,
                            messageClass.name(),
                            key,
                            orderKey,
                            destination,
                            clock.persistentUs() + remainingUs,
                            request.body()),
                    clock.nowUs() + remainingUs,
                    new MessageService.Reply() {
                        @Override
                        public void accepted() {
                            // If the client certainly never gets this response, its message is withdrawn.
                            final TrackedSocketChannel connection = (TrackedSocketChannel) context.channel();
                            final long writesBefore = connection.writeCount();
                            respond(HttpResponseStatus.valueOf(ACCEPTED), 0).addListener(done -> {
                                if (!done.isSuccess()) {
                                    service.acceptanceFailed(id, connection.transmissionOfAnyPart(writesBefore));
                                }
                            });
                        }

                        @Override
                        public void refused(final int status, final long retryAfterUs) {
                            respond(HttpResponseStatus.valueOf(status), retryAfterUs);
                        }

                        @Override
                        public void failed() {
                            respond(HttpResponseStatus.valueOf(FAILED), 0);
                        }
                    });
        }

        private ChannelFuture respond(final HttpResponseStatus status, final long retryAfterUs) {
            // Connections of clients that violate the protocol are closed, or they would use up the descriptors.
            final boolean protocolError =
                    status.codeClass() == HttpStatusClass.CLIENT_ERROR && status.code() != TOO_MANY_REQUESTS;
            // Requests that have arrived, even in part, are answered too: only the last response says close.
            final boolean morePending = !queue.isEmpty() || requestStarted || reading || errorStatus != null;
            final boolean keepAlive = HttpUtil.isKeepAlive(current.head())
                    && !protocolError
                    && (morePending || !shuttingDown && !isDrained() || hasUnreadInput());
            current = null;
            currentId = null;
            lastActivityUs = clock.nowUs();
            final var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
            if (retryAfterUs > 0) {
                response.headers()
                        .set(
                                HttpHeaderNames.RETRY_AFTER,
                                String.format(Locale.ROOT, "%.3f", retryAfterUs / US_PER_SECOND));
            }
            if (!keepAlive) {
                response.headers().set(HttpHeaderNames.CONNECTION, "close");
            }
            final ChannelFuture written = context.writeAndFlush(response);
            if (keepAlive) {
                if (!queue.isEmpty() || errorStatus != null) {
                    serveInNextPass(this);
                }
            } else {
                closing = true;
                dropInput();
                waitForReader();
                written.addListener(done -> closeGracefully());
            }
            return written;
        }

        /** Ends the connection with an error response, sent after the responses to the requests before it. */
        private void reject(final HttpResponseStatus status) {
            errorStatus = status;
            reading = false;
            requestStarted = false;
            timeoutStartUs = NEVER;
            body.clear();
            decoder.discardInput();
            serveNext();
        }

        private void sendErrorAndClose(final HttpResponseStatus status) {
            closing = true;
            waitForReader();
            final var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close");
            context.writeAndFlush(response).addListener(written -> closeGracefully());
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            FatalError.exitOn("connection of a client", cause);
            if (!(cause instanceof IOException)) {
                Log.failure("unexpected error on a client connection", cause);
            }
            ctx.close();
        }
    }

    /** Parses an integer that is not negative; -1 if the text is anything else. */
    private static long parseNonNegative(final String text) {
        try {
            return text == null ? -1 : Math.max(-1, Long.parseLong(text.trim()));
        } catch (final NumberFormatException e) {
            return -1;
        }
    }

    /** The destination in a header of {@code name=value} pairs, or -1. */
    private static long parseDestination(final String text) {
        if (text != null) {
            for (final String pair : text.split("[,;]")) {
                final String trimmed = pair.trim();
                if (trimmed.startsWith("dest=")) {
                    return parseNonNegative(trimmed.substring("dest=".length()));
                }
            }
        }
        return -1;
    }
}
