package railspar.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerExpectContinueHandler;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import railspar.Courier;

/**
 * Where clients hand messages in. A message that is taken is answered in the pass that read it; whatever cannot be
 * read or used is answered with its 4xx, and nothing is taken. No request is left without an answer.
 */
final class ClientServer {
    static final int TOO_MANY_REQUESTS = 429;
    static final int SERVICE_UNAVAILABLE = 503;
    private static final int ACCEPTED = 202;
    private static final int FAILED = 500;
    private static final int MOST_BODY_BYTES = 1 << 16;
    private static final int MOST_ID_CHARS = 128;
    /** A class or a key as a part of a path. */
    private static final Pattern KEY = Pattern.compile("[A-Za-z0-9._~-]{1,128}");

    private static final int MOST_QUEUED = 16;
    private static final int BACKLOG = 1024;
    private static final long US_PER_MS = 1000;
    private static final double US_PER_SECOND = 1_000_000;
    /**
     * How long a request may take to come in whole, the first one from the connection's start on, since a peer that
     * sends nothing is owed an end too, within 3 s; and how long what is left of a refused one is read away.
     */
    private static final long REQUEST_US = 2_200_000;

    private static final long LINGER_MS = 500;
    private static final long SWEEP_MS = 200;
    private static final long SPENT_RETRY_US = 500_000;
    /**
     * When a message for a destination that no list has named may come again: a list is some seconds late at most.
     */
    private static final long UNKNOWN_RETRY_US = 2_000_000;
    /**
     * After the call for a drain new connections still come for some 0.3 s, and 4 s after it no connection may be
     * held idle: idle ones are closed once they have been so for this long, when a request hardly crosses the close.
     */
    private static final long LEAVE_IDLE_US = 1_000_000;
    /** Where another process takes over, most clients ask again within this, and an answer ends their connection. */
    private static final long LEAVE_GRACE_US = 1_000_000;

    private static final long NEVER = Long.MAX_VALUE;
    /** What each message says once; one that says it twice could be meant either way. */
    private static final List<String> OWN_HEADERS =
            List.of("Host", "X-Request-ID", "X-Priority-Class", "X-Timeout-Ms", "X-Consignee");
    /** Share of the descriptors for clients, who need a third for their requests. */
    private static final double SOCKET_SHARE = 0.45;
    /** One that spoke, or came, since then is not shed: its request may lie unread in the kernel. */
    private static final long SPARED_US = 200_000;
    /** How long accepting rests when there is no room. */
    private static final long REST_MS = 20;
    /** Share of the connections that there was room for, once descriptors have run out, and for how long it binds. */
    private static final double SHORT_SHARE = 0.75;

    private static final double LEAST_SHARE = 0.05;
    private static final long SHORT_US = 10_000_000;
    /** Before the listening socket is closed, what lies in its queue is let in: so often it is looked at, at most. */
    private static final int MOST_LAST_LOOKS = 10;

    private final Config config;
    private final Clock clock;
    private final MessageService host;
    private final int mostConnections;
    /** Less than that while descriptors have run out below it. */
    private int roomFor;

    private long shortUntilUs;
    /** Connections accepted so far. */
    private long accepted;

    private final Set<Session> sessions = new HashSet<>();
    private Channel listener;
    /** This process ends: answers end their connections. */
    private boolean draining;

    private boolean accepting = true;
    private boolean resting;
    /** The listening socket is the platform's, and other processes accept from it too. */
    private boolean shared;
    /** Another process has taken over. */
    private boolean leaving;
    /** Operators have called for a drain, at that time; never, while they have not. */
    private long leftUs = NEVER;

    ClientServer(final Config config, final Clock clock, final MessageService host) {
        this.config = config;
        this.clock = clock;
        this.host = host;
        this.mostConnections = (int) Math.max(1, SOCKET_SHARE * config.sockets());
        this.roomFor = mostConnections;
    }

    /** Ends connections in time from now on. */
    void startSweeping(final EventLoop loop) {
        loop.scheduleWithFixedDelay(
                () -> host.afterSocketReads(this::sweep), SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Listens on the one address of the configuration, or at the socket that the platform holds there, if it does;
     * {@code /up} is answered from then on.
     */
    ChannelFuture listen(final EventLoopGroup group, final ServerSocketChannel held) {
        shared = held != null;
        final ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channelFactory(() -> shared ? new TrackedServerSocketChannel(held) : new TrackedServerSocketChannel())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .handler(new Door())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        final StrictDecoder decoder = new StrictDecoder();
                        final Session session = new Session(decoder);
                        channel.pipeline()
                                .addLast(
                                        new Arrivals(session),
                                        decoder,
                                        new HttpResponseEncoder(),
                                        new HttpServerExpectContinueHandler(),
                                        session);
                    }
                });
        final ChannelFuture bound = shared ? bootstrap.register() : bootstrap.bind(config.listen());
        listener = bound.channel();
        return bound;
    }

    /** Where it listens in fact. */
    String address() {
        return listener.localAddress().toString().replaceFirst(".*/", "");
    }

    /**
     * From now on answers end their connections, and those on which nothing is asked are closed; a moment later, so
     * that requests that had come by now are read and answered.
     */
    void drain() {
        draining = true;
        listener.eventLoop()
                .schedule(() -> List.copyOf(sessions).forEach(Session::closeIfIdle), REST_MS, TimeUnit.MILLISECONDS);
    }

    /** By hand: takes no more clients, but goes on serving what is held and what still comes. Or takes them again. */
    void setDrained(final boolean away) {
        if (!leaving && away != isLeft()) {
            leftUs = away ? clock.nowUs() : NEVER;
            Log.info(away ? "drain: told to take no more clients" : "drain: over, takes clients again");
        }
    }

    private boolean isLeft() {
        return leftUs != NEVER;
    }

    /**
     * Accepts no further connection; those that stand are still served. Closing the socket resets what lies in its
     * queue, where connections wait if this process had no core: they are let in first.
     */
    void stopListening() {
        stopListening(-1, MOST_LAST_LOOKS);
    }

    private void stopListening(final long acceptedBefore, final int looksLeft) {
        if (accepted != acceptedBefore && looksLeft > 0) {
            final long before = accepted;
            listener.eventLoop().schedule(() -> stopListening(before, looksLeft - 1), REST_MS, TimeUnit.MILLISECONDS);
        } else {
            stopAccepting();
            List.copyOf(sessions).forEach(Session::closeIfIdle);
        }
    }

    /** The process ends soon: a request that is not whole by now is refused, so that none is cut off unanswered. */
    void rejectIncompleteRequests() {
        List.copyOf(sessions).forEach(Session::finish);
    }

    /** A socket that others hold too is left open, and not read from. */
    void stopAccepting() {
        accepting = false;
        if (shared) {
            listener.config().setAutoRead(false);
        } else {
            listener.close();
        }
    }

    /**
     * Another process takes over. Clients that keep a connection here are served, and sent there; where both hold the
     * socket, new ones are let in here too until the other one is seen to accept.
     */
    void handOver() {
        leaving = true;
        leftUs = clock.nowUs() + LEAVE_GRACE_US;
        if (!shared) {
            stopAccepting();
        }
    }

    /**
     * True when nobody is cut off by the end of this process: each client has its answer, and has been sent
     * elsewhere.
     */
    boolean isDone() {
        return !accepting && sessions.isEmpty();
    }

    /** Descriptors have run out, though clients hold no more than their share: silent ones give some back. */
    void relieveDescriptorShortage() {
        final double least = LEAST_SHARE * mostConnections;
        roomFor = (int) Math.max(1, Math.min(roomFor, Math.max(least, SHORT_SHARE * sessions.size())));
        shortUntilUs = clock.nowUs() + SHORT_US;
        makeRoom();
    }

    private void sweep() {
        final long beforeUs = clock.nowUs() - REQUEST_US;
        if (clock.nowUs() >= shortUntilUs) {
            roomFor = mostConnections;
        }
        for (final Session session : List.copyOf(sessions)) {
            if (session.dueSinceUs <= beforeUs) {
                session.giveUp();
            } else if (isLeft() && Math.max(leftUs, session.sinceUs) <= clock.nowUs() - LEAVE_IDLE_US) {
                session.closeIfIdle();
            }
        }
    }

    /** Too many connections: those that have been silent for longest make room, or else nobody is let in for now. */
    private void makeRoom() {
        while (sessions.size() >= roomFor) {
            final long beforeUs = clock.nowUs() - SPARED_US;
            final Session silent = sessions.stream()
                    .filter(session -> session.isOfNoUse(beforeUs))
                    .min(Comparator.comparing((Session session) -> !session.closing)
                            .thenComparingLong(session -> session.heardUs))
                    .orElse(null);
            if (silent == null) {
                rest();
                return;
            }
            host.connectionShed();
            sessions.remove(silent);
            silent.context.close();
        }
    }

    /** Accepts nobody for a moment; the kernel keeps who comes. */
    private void rest() {
        if (!resting && listener != null && accepting) {
            resting = true;
            listener.config().setAutoRead(false);
            listener.eventLoop()
                    .schedule(
                            () -> {
                                resting = false;
                                if (accepting) {
                                    listener.config().setAutoRead(true);
                                    makeRoom();
                                }
                            },
                            REST_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Sees to it that a failed accept costs a pause, not the process: left alone, Netty logs it in a way that can
     * fail.
     */
    private final class Door extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            FatalError.exitOn("connection of a client", cause);
            if (!resting) {
                Log.info("cannot accept with " + sessions.size() + " clients connected: " + cause);
            }
            relieveDescriptorShortage();
            rest();
        }
    }

    /** Refuses a request with two lengths, which could be read as another one by whoever comes next. */
    private static final class StrictDecoder extends HttpRequestDecoder {
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
            throw new IllegalArgumentException("both a length and chunks");
        }

        /** Bytes have come that are no whole line or body yet. */
        boolean hasRest() {
            return actualReadableBytes() > 0;
        }
    }

    /** Sees the first bytes of a request, long before the decoder has a whole head to tell of. */
    private static final class Arrivals extends ChannelInboundHandlerAdapter {
        private final Session session;

        Arrivals(final Session session) {
            this.session = session;
        }

        @Override
        public void channelRead(final ChannelHandlerContext ctx, final Object bytes) {
            session.arrived();
            ctx.fireChannelRead(bytes);
        }
    }

    /** A whole request that waits for its turn on its connection. */
    private record Request(HttpRequest head, byte[] body, long begunUs) {}

    /** One client's connection. */
    private final class Session extends SimpleChannelInboundHandler<HttpObject> {
        private ChannelHandlerContext context;
        private HttpRequest head;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final Deque<Request> queue = new ArrayDeque<>();
        private final StrictDecoder decoder;
        private Request current;
        private String currentId;
        private boolean reading;
        /** What comes behind is no request, and is refused so once those ahead of it have their answers; or null. */
        private HttpResponseStatus fault;
        /** All answers are written: what still comes is read away, and nothing further is served. */
        private boolean closing;

        private long sinceUs = clock.nowUs();
        /** When it last sent something, or was answered. */
        private long heardUs = sinceUs;
        /** Since when a request is due whole: from the start, and from the first bytes of each further one. */
        private long dueSinceUs = clock.nowUs();

        /** Some bytes of a request that is not whole yet have come. */
        private boolean begun;
        /** When its first bytes came: its time runs from when its client sent it, however slowly it is written. */
        private long begunUs;

        Session(final StrictDecoder decoder) {
            this.decoder = decoder;
        }

        private void arrived() {
            heardUs = clock.nowUs();
            begunUs = begun ? begunUs : heardUs;
            begun = true;
            dueSinceUs = dueSinceUs == NEVER ? clock.nowUs() : dueSinceUs;
        }

        /** Where nothing is asked nothing is answered: a late answer would be taken for the next request's. */
        private void giveUp() {
            if (!begun) {
                part();
            } else {
                reject(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        }

        /** The process ends soon. */
        private void finish() {
            if (isIdle() && !begun) {
                part();
            } else if (!closing && (begun || reading)) {
                reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
            }
        }

        /** It has no request that is whole, and has been silent since then. */
        private boolean isOfNoUse(final long beforeUs) {
            return context != null && current == null && queue.isEmpty() && heardUs <= beforeUs;
        }

        private boolean isIdle() {
            return !reading && current == null && queue.isEmpty() && !closing;
        }

        private void closeIfIdle() {
            if (isIdle() && !begun) {
                part();
            }
        }

        /**
         * Ends our sending, and reads away what the client sent before it saw that: closing over unread bytes would
         * reset the connection, and take an answer along that the client has not read. What is read then is not
         * served: the client sends it once more elsewhere.
         */
        private void part() {
            closing = true;
            reading = false;
            dueSinceUs = NEVER;
            if (context.channel() instanceof SocketChannel socket && socket.isActive()) {
                socket.config().setAutoRead(true);
                HalfClose.shutdownOutputOrClose(socket);
            }
            context.executor().schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelActive(final ChannelHandlerContext ctx) {
            context = ctx;
            accepted++;
            makeRoom();
            sessions.add(this);
        }

        @Override
        public void channelReadComplete(final ChannelHandlerContext ctx) {
            // Behind a whole request, a half one has come in the same read: its time runs too.
            if (!begun && !reading && !closing && decoder.hasRest()) {
                arrived();
            }
            ctx.fireChannelReadComplete();
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            sessions.remove(this);
            queue.clear();
            if (currentId != null) {
                host.withdraw(currentId);
            }
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
            if (closing || fault != null) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                final Throwable cause = part.decoderResult().cause();
                reject(
                        cause instanceof TooLongHttpLineException
                                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                                : cause instanceof TooLongHttpHeaderException
                                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                                        : HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (part instanceof HttpRequest request) {
                head = request;
                body.reset();
                reading = true;
                sinceUs = clock.nowUs();
                dueSinceUs = Math.min(dueSinceUs, sinceUs);
                if (HttpUtil.getContentLength(request, 0L) > MOST_BODY_BYTES) {
                    reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                    return;
                }
            }
            if (part instanceof HttpContent content && reading) {
                if (body.size() + content.content().readableBytes() > MOST_BODY_BYTES) {
                    reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                    return;
                }
                try {
                    content.content().readBytes(body, content.content().readableBytes());
                } catch (final IOException e) {
                    throw new IllegalStateException("writing to memory failed", e);
                }
                if (part instanceof LastHttpContent) {
                    reading = false;
                    begun = false;
                    dueSinceUs = NEVER;
                    queue.add(new Request(head, body.toByteArray(), begunUs));
                    next();
                }
            }
        }

        /** Serves requests of one connection in turn, so that their answers keep their order. */
        private void next() {
            while (current == null && !queue.isEmpty() && !closing) {
                current = queue.poll();
                sinceUs = clock.nowUs();
                serve(current);
            }
            if (fault != null && current == null && !closing) {
                refuse(fault);
            }
            context.channel().config().setAutoRead(queue.size() < MOST_QUEUED);
        }

        private void serve(final Request request) {
            final String path = request.head().uri();
            if (path.equals("/up")) {
                if (!request.head().method().equals(HttpMethod.GET)) {
                    answer(HttpResponseStatus.METHOD_NOT_ALLOWED, 0);
                } else {
                    answer(
                            draining || isLeft() && !leaving
                                    ? HttpResponseStatus.SERVICE_UNAVAILABLE
                                    : HttpResponseStatus.OK,
                            0);
                }
                // Who only asks whether we are up may go on to hand in a message, but not keep a connection idle.
                dueSinceUs = Math.min(dueSinceUs, clock.nowUs());
                return;
            }
            // Either "/class", or "/class/key" where the class keeps an order, and no more: anything else is no
            // message.
            final String[] parts = path.split("/", -1);
            final Courier.MessageClass kind =
                    parts.length > 1 && parts[0].isEmpty() ? host.messageClass(parts[1]) : null;
            if (kind == null
                    || parts.length != (kind.ordered() ? 3 : 2)
                    || !KEY.matcher(parts[parts.length - 1]).matches()) {
                answer(HttpResponseStatus.NOT_FOUND, 0);
            } else if (!request.head().method().equals(HttpMethod.POST)) {
                answer(HttpResponseStatus.METHOD_NOT_ALLOWED, 0);
            } else {
                handIn(request, kind, kind.ordered() ? parts[2] : null);
            }
        }

        private void handIn(final Request request, final Courier.MessageClass kind, final String orderKey) {
            final HttpHeaders headers = request.head().headers();
            final String id = headers.get("X-Request-ID", "");
            final long timeoutMs = whole(headers.get("X-Timeout-Ms"));
            final long destination = destination(headers.get("X-Consignee"));
            final String key = headers.get("Idempotency-Key");
            if (OWN_HEADERS.stream().anyMatch(name -> headers.getAll(name).size() != 1)
                    || id.isEmpty()
                    || id.length() > MOST_ID_CHARS
                    || timeoutMs < 0
                    || destination < 0
                    || !kind.name().equals(headers.get("X-Priority-Class"))) {
                answer(HttpResponseStatus.BAD_REQUEST, 0);
                return;
            }
            if (host.hasMessage(id)) {
                answer(HttpResponseStatus.CONFLICT, 0);
                return;
            }
            final long askedUs = Math.min(timeoutMs, kind.deadlineUs() / US_PER_MS) * US_PER_MS;
            final long lifeUs = askedUs - (clock.nowUs() - request.begunUs());
            if (lifeUs <= 0) {
                // Its time was up before it was here whole: nothing is promised that cannot be kept.
                host.countRejected(kind.name());
                answer(HttpResponseStatus.SERVICE_UNAVAILABLE, SPENT_RETRY_US);
                return;
            }
            if (!host.isPossibleDestination(destination)) {
                // Nobody could ever deliver it; should the list be late, handing it in again is harmless.
                host.countRejected(kind.name());
                answer(HttpResponseStatus.SERVICE_UNAVAILABLE, UNKNOWN_RETRY_US);
                return;
            }
            currentId = id;
            host.submit(
                    new AcceptedMessage(
                            id, kind.name(), key, orderKey, destination, clock.persistentUs() + lifeUs, request.body()),
                    clock.nowUs() + lifeUs,
                    new MessageService.Reply() {
                        @Override
                        public void accepted() {
                            // A client that surely never gets this counts on nothing: its message is withdrawn.
                            final TrackedSocketChannel connection = (TrackedSocketChannel) context.channel();
                            final long writesBefore = connection.writeCount();
                            answer(HttpResponseStatus.valueOf(ACCEPTED), 0).addListener(done -> {
                                if (!done.isSuccess()) {
                                    host.acceptanceFailed(id, connection.transmissionOfAnyPart(writesBefore));
                                }
                            });
                        }

                        @Override
                        public void refused(final int status, final long retryAfterUs) {
                            answer(HttpResponseStatus.valueOf(status), retryAfterUs);
                        }

                        @Override
                        public void failed() {
                            answer(HttpResponseStatus.valueOf(FAILED), 0);
                        }
                    });
        }

        private ChannelFuture answer(final HttpResponseStatus status, final long retryAfterUs) {
            // Whoever does not speak as agreed is not kept, or its connections would fill the descriptors.
            final boolean strange =
                    status.codeClass() == HttpStatusClass.CLIENT_ERROR && status.code() != TOO_MANY_REQUESTS;
            // A request that is here already, or a part of it, is answered too: the last one's answer says close.
            final boolean more = !queue.isEmpty() || begun || reading || fault != null;
            final boolean keep = HttpUtil.isKeepAlive(current.head()) && !strange && (more || !draining && !isLeft());
            current = null;
            currentId = null;
            heardUs = clock.nowUs();
            final var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
            if (retryAfterUs > 0) {
                response.headers()
                        .set(
                                HttpHeaderNames.RETRY_AFTER,
                                String.format(Locale.ROOT, "%.3f", retryAfterUs / US_PER_SECOND));
            }
            if (!keep) {
                response.headers().set(HttpHeaderNames.CONNECTION, "close");
            }
            final ChannelFuture written = context.writeAndFlush(response);
            if (keep) {
                context.executor().execute(this::next);
            } else {
                closing = true;
                queue.clear();
                written.addListener(done -> part());
            }
            return written;
        }

        /** What has come is no request, or never gets whole: those ahead of it have their answers first. */
        private void reject(final HttpResponseStatus status) {
            fault = status;
            reading = false;
            begun = false;
            dueSinceUs = NEVER;
            next();
        }

        private void refuse(final HttpResponseStatus status) {
            closing = true;
            final var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close");
            context.writeAndFlush(response).addListener(written -> part());
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            FatalError.exitOn("connection of a client", cause);
            if (!(cause instanceof IOException)) {
                Log.failure("a client's connection", cause);
            }
            ctx.close();
        }
    }

    /** A whole number that is not negative, or -1. */
    private static long whole(final String text) {
        try {
            return text == null ? -1 : Math.max(-1, Long.parseLong(text.trim()));
        } catch (final NumberFormatException e) {
            return -1;
        }
    }

    /** The destination that a header of {@code name=value} pairs names, or -1. */
    private static long destination(final String text) {
        if (text != null) {
            for (final String pair : text.split("[,;]")) {
                final String trimmed = pair.trim();
                if (trimmed.startsWith("dest=")) {
                    return whole(trimmed.substring("dest=".length()));
                }
            }
        }
        return -1;
    }
}
