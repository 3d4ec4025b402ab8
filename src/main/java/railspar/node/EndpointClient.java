package railspar.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
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
 * Calls to endpoints, with one message or several, over connections that are kept and carry one call at a time. It
 * tells the {@link MessageService} how each message fared, above all whether it can have run: that turns on whether
 * the call's last byte may have left before the connection broke, as {@link DeliveryRules} decide.
 */
final class EndpointClient {
    private static final long US_PER_MS = 1000;
    private static final int MOST_BODY_BYTES = 1 << 16;
    /** Share of the endpoints' own limit after which an idle connection is closed: a request may not cross it. */
    private static final double IDLE_SHARE = 0.8;
    /** Share of the descriptors for connections to endpoints; the rest is for clients and the process. */
    private static final double SOCKET_SHARE = 0.3;
    /** How long the body of a 200, which means nothing, is waited for: the next of its key waits too. */
    private static final long BODY_MS = 200;
    /** How long an answer that was on its way when its call was given up is listened for: a round trip, and more. */
    private static final long LATE_MS = 300;

    private static final Pattern FIRST_LINE = Pattern.compile("HTTP/1\\.[01] 200(?!\\d)");
    private static final int MOST_LINE_CHARS = 64;
    private static final int OK = 200;
    private static final int INFORMATIONAL = 200;

    private final Clock clock;
    private final StallDetector stalls;
    private final EventLoop loop;
    private final MessageService host;
    private final Bootstrap bootstrap;
    private final long idleUs;
    private final int mostConnections;
    private final Map<Long, Pool> pools = new HashMap<>();
    private final Set<Call> calls = new HashSet<>();
    private int connections;
    private long opened;
    private boolean winding;

    /** Where an endpoint is called, for which destination, and whether that one's routes are apart. */
    record Target(long destination, boolean separateRoutes, InetSocketAddress address) {}

    /** How a message fared in a call. {@code retryAfterUs}: what the answer told to wait, or 0. */
    record AttemptOutcome(Result result, boolean isFinal, long retryAfterUs, Courier.ReportedLimit reportedLimit) {}

    EndpointClient(
            final Config config,
            final EventLoop loop,
            final Clock clock,
            final StallDetector stalls,
            final MessageService host) {
        this.clock = clock;
        this.stalls = stalls;
        this.loop = loop;
        this.host = host;
        this.idleUs = (long) (IDLE_SHARE * config.settings().limits().idleTimeoutUs());
        this.mostConnections = (int) Math.max(1, SOCKET_SHARE * config.sockets());
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(TrackedSocketChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (config.connectTimeoutUs() / US_PER_MS))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        final Reader reader = new Reader();
                        channel.pipeline().addLast(new FirstLine(reader), new HttpClientCodec(), reader);
                    }
                });
        final long sweepUs = Math.max(US_PER_MS, idleUs / 8);
        loop.scheduleWithFixedDelay(this::closeOld, sweepUs, sweepUs, TimeUnit.MICROSECONDS);
    }

    /** The connections, for the log: each one that is opened costs the endpoint work. */
    String describe() {
        return "connections " + connections + " ("
                + pools.values().stream().mapToInt(pool -> pool.idle.size()).sum() + " idle, " + opened
                + " opened so far)";
    }

    // ---------------------------------------------------------------- state

    /** The connections to one endpoint. */
    private static final class Pool {
        private final long endpoint;
        private final long destination;
        private final boolean apart;
        private InetSocketAddress address;
        /** Idle ones, the one used last at the end. */
        private final Deque<Reader> idle = new ArrayDeque<>();

        private boolean removed;
        private boolean misreports;

        Pool(final long endpoint, final Target target) {
            this.endpoint = endpoint;
            this.destination = target.destination();
            this.apart = target.separateRoutes();
            this.address = target.address();
        }
    }

    /** One call: the messages in it, and how far it has come. */
    static final class Call {
        private final Pool pool;
        private final long endpoint;
        private final long sentUs;
        private final long deadlineUs;
        private final long writeByUs;
        private final List<MessageService.CallItem> parcels;
        /** Messages that have had their end while the call goes on: to their endpoint they are still out. */
        private final List<MessageService.CallItem> left = new ArrayList<>();
        /** Sent as several: so is its answer, also when the time of some is up before it comes. */
        private final boolean many;

        private TrackedSocketChannel channel;
        private boolean started;
        /** Its request has been given to the connection, before which so many writes had been tried there. */
        private boolean handedOver;

        private long writesBefore;
        /** The socket has taken all of its request. */
        private boolean written;
        /** Its first line says 200, which is true whatever becomes of the rest. */
        private boolean delivered;

        Call(final Pool pool, final long endpoint, final List<MessageService.CallItem> parcels, final long sentUs) {
            this.pool = pool;
            this.endpoint = endpoint;
            this.parcels = new ArrayList<>(parcels);
            this.many = parcels.size() > 1;
            this.sentUs = sentUs;
            this.writeByUs = parcels.stream()
                    .mapToLong(MessageService.CallItem::writeDeadlineUs)
                    .min()
                    .orElse(AcceptedMessage.NEVER);
            this.deadlineUs = sentUs
                    + parcels.stream()
                            .mapToLong(MessageService.CallItem::timeoutUs)
                            .max()
                            .orElse(0);
        }

        long endpoint() {
            return endpoint;
        }

        /** What is known of its request. */
        private Transmission transmission() {
            if (written) {
                return Transmission.SENT;
            }
            return handedOver ? channel.transmissionOfUnfinished(writesBefore) : Transmission.NOT_SENT;
        }

        private List<String> ids() {
            return parcels.stream().map(parcel -> parcel.message().accepted.id).toList();
        }

        long sentUs() {
            return sentUs;
        }
    }

    /** The list's word on an endpoint has changed, or its address: that matters to one that has been called. */
    void endpointChanged(final Courier.Endpoint entry) {
        final Pool pool = pools.get(entry.id());
        if (pool == null) {
            return;
        }
        final InetSocketAddress address = host.target(entry.id()).address();
        if (!pool.address.equals(address)) {
            pool.address = address;
            closeIdleConnections(entry.id());
        }
        if (entry.condition() != Courier.Condition.LISTED) {
            holdBack(call -> call.pool == pool);
        }
    }

    /** The list names an endpoint no more: its idle connections serve nothing. */
    void endpointRemoved(final long endpoint) {
        closeIdleConnections(endpoint);
        final Pool pool = pools.remove(endpoint);
        if (pool != null) {
            pool.removed = true;
            holdBack(call -> call.pool == pool);
        }
    }

    /** Endpoints that have been called and are still listed. */
    int calledEndpoints() {
        return pools.size();
    }

    /** Taken out by hand: what is not written yet is not sent. */
    void cancelUnsentCalls(final long endpoint) {
        holdBack(call -> call.endpoint == endpoint);
    }

    void closeIdleConnections(final long endpoint) {
        final Pool pool = pools.get(endpoint);
        if (pool != null) {
            List.copyOf(pool.idle).forEach(Reader::close);
        }
    }

    /** Nothing is begun any more: connections end with their calls. */
    void stopNewCalls() {
        winding = true;
        List.copyOf(pools.keySet()).forEach(this::closeIdleConnections);
    }

    /** True when no call is out. */
    boolean hasNoCalls() {
        return calls.isEmpty();
    }

    /** Closes connections before the endpoint does: a request that crosses its close may have run, or not. */
    private void closeOld() {
        final long beforeUs = clock.nowUs() - idleUs;
        pools.values()
                .forEach(pool -> List.copyOf(pool.idle).stream()
                        .filter(reader -> reader.idleSinceUs <= beforeUs)
                        .forEach(Reader::close));
    }

    private void makeRoom() {
        if (connections >= mostConnections) {
            closeOldestIdleConnection();
        }
    }

    /** Gives up the connection that has been idle for longest. */
    void closeOldestIdleConnection() {
        pools.values().stream()
                .filter(pool -> !pool.idle.isEmpty())
                .map(pool -> pool.idle.peekFirst())
                .min(Comparator.comparingLong(reader -> reader.idleSinceUs))
                .ifPresent(Reader::close);
    }

    // ---------------------------------------------------------------- calls

    /**
     * A call that has not begun; the journal comes first. The message that lives longest leads it: the call goes by
     * the one that it names first, and an answer counts for none of the others once that one has been ended.
     */
    Call prepareCall(final long endpoint, final List<MessageService.CallItem> parcels) {
        final List<MessageService.CallItem> ranked = new ArrayList<>(parcels);
        ranked.sort(Comparator.comparingLong(
                        (MessageService.CallItem parcel) -> parcel.message().latestEndUs())
                .reversed());
        return new Call(pool(endpoint), endpoint, ranked, clock.nowUs());
    }

    /** Made with the first call to an endpoint; null for one that the list does not name. */
    private Pool pool(final long endpoint) {
        final Pool known = pools.get(endpoint);
        final Target target = known == null ? host.target(endpoint) : null;
        if (target == null) {
            return known;
        }
        final Pool fresh = new Pool(endpoint, target);
        pools.put(endpoint, fresh);
        return fresh;
    }

    void startCall(final Call call) {
        if (call.pool == null || call.pool.removed) {
            loop.execute(() -> abandonCall(call, Result.NOT_SENT));
            return;
        }
        calls.add(call);
        scheduleAfterReading(() -> abandonCall(call, Result.TIMED_OUT), call.deadlineUs - call.sentUs);
        for (final MessageService.CallItem parcel : call.parcels) {
            // Also one that would have been sent again sooner: the call may go on for longer than its time.
            final long leftUs = parcel.message().latestEndUs() - call.sentUs;
            if (leftUs < call.deadlineUs - call.sentUs) {
                scheduleAfterReading(() -> expire(call, parcel), leftUs);
            }
        }
        if (call.writeByUs < call.deadlineUs) {
            loop.schedule(
                    () -> {
                        if (!call.written) {
                            abandonCall(call, Result.NO_CONNECTION);
                        }
                    },
                    call.writeByUs - call.sentUs,
                    TimeUnit.MICROSECONDS);
        }
        call.started = true;
        try {
            final Reader idle = idle(call.pool);
            if (idle != null) {
                idle.write(call);
            } else {
                connect(call);
            }
        } catch (final RuntimeException e) {
            Log.failure("call of " + call.ids() + " cannot begin", e);
            abandonCall(call, Result.NO_CONNECTION);
        }
    }

    /** Behind what has come by then: an answer that lies unread came in time. */
    private void scheduleAfterReading(final Runnable task, final long delayUs) {
        loop.schedule(() -> stalls.afterSocketReads(task), delayUs, TimeUnit.MICROSECONDS);
    }

    private static Reader idle(final Pool pool) {
        while (!pool.idle.isEmpty()) {
            final Reader reader = pool.idle.pollLast();
            if (reader.context.channel().isActive()) {
                return reader;
            }
        }
        return null;
    }

    private void connect(final Call call) {
        makeRoom();
        if (connections >= mostConnections) {
            loop.execute(() -> abandonCall(call, Result.NOT_SENT));
            return;
        }
        final ChannelFuture connecting = bootstrap.connect(call.pool.address);
        if (!connecting.channel().isRegistered()) {
            // No descriptor is left: there is no channel that could be closed, nor a thread that owns it.
            host.relieveDescriptorShortage();
            loop.execute(() -> abandonCall(call, Result.NO_CONNECTION));
            return;
        }
        connections++;
        opened++;
        call.channel = (TrackedSocketChannel) connecting.channel();
        call.channel.closeFuture().addListener(closed -> connections--);
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                stalls.afterSocketReads(() -> connected(connecting.channel(), call));
            } else if (calls.contains(call)) {
                abandonCall(call, Result.NO_CONNECTION);
            }
        });
    }

    private void connected(final Channel channel, final Call call) {
        if (calls.contains(call)) {
            channel.pipeline().get(Reader.class).write(call);
        } else {
            channel.close();
        }
    }

    /**
     * Ends a call from our side. Its connection, or our half of it, is closed before the outcome is told, so that no
     * further attempt of a message can meet this one.
     */
    void abandonCall(final Call call, final Result result) {
        if (!calls.contains(call) && call.started) {
            return;
        }
        if (call.written && !call.delivered) {
            call.channel.pipeline().get(Reader.class).letGo();
        } else if (call.channel != null) {
            call.channel.close();
        }
        end(call);
        tellEnded(call, result);
    }

    /** Tells the outcome of a call that no answer has ended, and for what reason it has. */
    private void tellEnded(final Call call, final Result reason) {
        final Transmission request = call.transmission();
        if (request == Transmission.IN_DOUBT) {
            host.requestInDoubt(call.ids(), call.pool.address);
        }
        final Result result = call.delivered ? Result.DELIVERED : DeliveryRules.resultOf(request, reason);
        tell(call, new AttemptOutcome(result, call.delivered, 0, null));
    }

    /**
     * A message whose own time is up leaves a call that others still wait for. It is not sent again. With the last of
     * its messages the call is given up. In a request that has been given to its connection it may still go out.
     */
    private void expire(final Call call, final MessageService.CallItem parcel) {
        if (!calls.contains(call) || !call.parcels.contains(parcel)) {
            return;
        }
        if (call.parcels.size() == 1) {
            abandonCall(call, Result.TIMED_OUT);
            return;
        }
        call.parcels.remove(parcel);
        if (call.handedOver) {
            call.left.add(parcel);
            host.remainsInCall(parcel);
        }
        final Transmission request = call.handedOver ? Transmission.SENT : Transmission.NOT_SENT;
        host.attemptEnded(
                parcel, call, new AttemptOutcome(DeliveryRules.resultOf(request, Result.TIMED_OUT), false, 0, null));
    }

    /** A call is out no more; false if it was not. */
    private boolean end(final Call call) {
        final boolean known = calls.remove(call);
        if (known) {
            call.left.forEach(host::callEnded);
        }
        return known;
    }

    private void tell(final Call call, final AttemptOutcome answer) {
        call.parcels.forEach(parcel -> host.attemptEnded(parcel, call, answer));
    }

    /**
     * Gives up calls that are on their way and not written yet: a wait was told, or their endpoint drains or is gone.
     */
    private void holdBack(final Predicate<Call> bound) {
        for (final Call call : List.copyOf(calls)) {
            if (!call.written && bound.test(call)) {
                abandonCall(call, Result.NOT_SENT);
            }
        }
    }

    /** A told wait binds the whole destination from now on, also calls that are on their way there. */
    private void heed(final Pool told, final long waitUs) {
        if (waitUs > 0) {
            host.onRetryAfter(told.endpoint, waitUs);
            holdBack(other -> told.apart ? other.pool == told : other.pool.destination == told.destination);
        }
    }

    // ---------------------------------------------------------------- one connection

    /**
     * Sees the first line of an answer, long before the decoder has a whole head to tell of: one that says 200 is
     * true even if the rest never comes, and the next of a key would wait for it until its time is up.
     */
    private static final class FirstLine extends ChannelInboundHandlerAdapter {
        private final Reader reader;

        FirstLine(final Reader reader) {
            this.reader = reader;
        }

        @Override
        public void channelRead(final ChannelHandlerContext ctx, final Object bytes) {
            if (reader.firstLine != null && bytes instanceof ByteBuf buffer) {
                for (int at = buffer.readerIndex(); at < buffer.writerIndex() && reader.firstLine != null; at++) {
                    reader.firstByte((char) buffer.getByte(at));
                }
            }
            ctx.fireChannelRead(bytes);
        }
    }

    /** Reads the answers of one connection. */
    private final class Reader extends SimpleChannelInboundHandler<HttpObject> {
        private ChannelHandlerContext context;
        private Call call;
        /** Whose answer to a call that was given up may still come. */
        private Pool late;

        private long idleSinceUs;
        private HttpResponse head;
        private boolean keep;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        /** What has come of an answer's first line; null while none is due, or once it has been read. */
        private StringBuilder firstLine;

        /** The next byte of the first line. */
        private void firstByte(final char next) {
            if (next != '\n' && firstLine.length() < MOST_LINE_CHARS) {
                firstLine.append(next);
                return;
            }
            final boolean delivered =
                    next == '\n' && FIRST_LINE.matcher(firstLine).lookingAt();
            firstLine = null;
            if (delivered && call != null) {
                sure(call);
            }
        }

        /** A 200 is true: whatever becomes of the rest, it is not waited for long. */
        private void sure(final Call answered) {
            if (!answered.delivered) {
                answered.delivered = true;
                loop.schedule(() -> abandonCall(answered, Result.DELIVERED), BODY_MS, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void handlerAdded(final ChannelHandlerContext added) {
            context = added;
        }

        private void write(final Call next) {
            if (clock.nowUs() >= next.writeByUs) {
                // Its connection came up too late for a repeat.
                context.close();
                abandonCall(next, Result.NO_CONNECTION);
                return;
            }
            next.parcels.stream().toList().forEach(parcel -> dropUnlessAllowed(next, parcel));
            if (next.parcels.isEmpty()) {
                end(next);
                context.close();
                return;
            }
            call = next;
            call.channel = (TrackedSocketChannel) context.channel();
            head = null;
            firstLine = call.many ? null : new StringBuilder();
            body.reset();
            final FullHttpRequest request = request(call);
            call.writesBefore = call.channel.writeCount();
            call.handedOver = true;
            context.writeAndFlush(request).addListener(done -> {
                if (done.isSuccess()) {
                    next.written = true;
                    host.metrics().forwarded(next.parcels.size());
                }
            });
        }

        /** Takes a message out of a call whose first byte is due, if the message may not go out now. */
        private void dropUnlessAllowed(final Call due, final MessageService.CallItem parcel) {
            if (!host.mayWrite(parcel, due)) {
                due.parcels.remove(parcel);
                host.attemptEnded(parcel, due, new AttemptOutcome(Result.NOT_SENT, false, 0, null));
            }
        }

        private void close() {
            if (call == null) {
                unpool();
                context.close();
            }
        }

        /**
         * Gives the call up by ending our sending: an answer that is on its way may still tell a wait, and that
         * binds.
         */
        private void letGo() {
            late = call.pool;
            call = null;
            HalfClose.shutdownOutputOrClose((TrackedSocketChannel) context.channel());
            loop.schedule(() -> context.close(), LATE_MS, TimeUnit.MILLISECONDS);
        }

        private void unpool() {
            pools.values().forEach(pool -> pool.idle.remove(this));
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
            if (late != null && part instanceof HttpResponse response) {
                heed(late, CallCodec.retryAfterUs(response));
            }
            if (call == null) {
                // Bytes that answer nothing: this connection cannot be trusted.
                broken();
                return;
            }
            if (part instanceof HttpResponse response) {
                // Also where the rest cannot be read: a first line that says 200 is true.
                head = response;
                keep = HttpUtil.isKeepAlive(response);
                if (response.status().code() == OK && !call.many) {
                    sure(call);
                }
            }
            if (part.decoderResult().isFailure()) {
                Log.info("an answer of " + call.pool.address + " to " + call.ids() + " cannot be read"
                        + (head == null ? "" : " behind " + head.status().code()) + ": "
                        + part.decoderResult().cause().getClass().getSimpleName());
                broken();
                return;
            }
            if (part instanceof HttpContent content) {
                if (body.size() + content.content().readableBytes() > MOST_BODY_BYTES) {
                    broken();
                    return;
                }
                read(content.content());
            }
            if (part instanceof LastHttpContent && head != null && head.status().code() >= INFORMATIONAL) {
                finish();
            }
        }

        private void read(final ByteBuf content) {
            try {
                content.readBytes(body, content.readableBytes());
            } catch (final IOException e) {
                throw new IllegalStateException("writing to memory failed", e);
            }
        }

        private void finish() {
            final Call done = call;
            call = null;
            if (!end(done)) {
                context.close();
                return;
            }
            if (keep && done.written && !done.pool.removed && !winding) {
                idleSinceUs = clock.nowUs();
                done.pool.idle.addLast(this);
            } else {
                context.close();
            }
            final long waitUs = CallCodec.retryAfterUs(head);
            heed(done.pool, waitUs);
            final AttemptOutcome all = answer(done.pool, head, waitUs);
            if (done.many && head.status().code() == OK) {
                tellEach(done, all);
            } else {
                tell(done, all);
            }
        }

        /** The connection has ended, or is of no more use. One message with a 200 ahead of the break is delivered. */
        private void broken() {
            unpool();
            context.close();
            final Call cut = call;
            call = null;
            if (cut == null || !end(cut)) {
                return;
            }
            if (cut.delivered && head != null && head.status().code() == OK) {
                tell(cut, answer(cut.pool, head, 0));
            } else {
                tellEnded(cut, Result.NO_CONNECTION);
            }
        }

        /** Several messages' ends, each with its state; one that is not named may have run. */
        private void tellEach(final Call done, final AttemptOutcome all) {
            final Map<String, String> states = CallCodec.parseStates(body.toByteArray());
            for (final MessageService.CallItem parcel : done.parcels) {
                final AttemptOutcome one =
                        CallCodec.outcomeOfMessage(states.getOrDefault(parcel.message().accepted.id, ""), all);
                host.attemptEnded(parcel, done, one);
            }
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            broken();
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            FatalError.exitOn("connection to an endpoint", cause);
            if (!(cause instanceof IOException)) {
                Log.failure("connection to an endpoint", cause);
            }
            broken();
        }
    }

    private FullHttpRequest request(final Call call) {
        final List<AcceptedMessage> messages =
                call.parcels.stream().map(parcel -> parcel.message().accepted).toList();
        final long timeoutMs = Math.max(1, (call.deadlineUs - clock.nowUs()) / US_PER_MS);
        final String to = call.pool.address.getHostString();
        return call.many
                ? CallCodec.bulkRequest(messages, to, timeoutMs)
                : CallCodec.singleRequest(messages.get(0), to, timeoutMs);
    }

    private static AttemptOutcome answer(final Pool pool, final HttpResponse head, final long waitUs) {
        if (!pool.misreports && CallCodec.hasUnreadableLimitReport(head)) {
            // Once: the endpoint may say so with every answer.
            pool.misreports = true;
            Log.info(pool.address + " reports what no limit can be: " + CallCodec.loadReport(head));
        }
        return CallCodec.outcomeOf(head, waitUs);
    }
}
