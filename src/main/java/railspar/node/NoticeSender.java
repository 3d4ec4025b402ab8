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
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
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
 * Tells the platform the ends of messages that were taken on and not delivered. What is not confirmed is sent again
 * until it is, since a notice about a message that is over does no harm.
 *
 * <p>The platform answers at once, so one connection carries one request after another. Where an answer is slow,
 * what comes due meanwhile does not wait for it but goes on another connection, and the request stays open for its
 * answer: a slow platform would never be heard if each request were given up for a new one. Where no connection can
 * be opened, it follows a request that waits for its answer, on that one's connection.
 */
final class NoticeSender {
    /** What comes due waits so long for the answer to the request before it. */
    private static final int SLOW_MS = 100;
    /** With so many requests unanswered what comes due waits as long again: they must not use up the connections. */
    private static final int LATE_PER_WAIT = 4;
    /** What has not been answered after this is told once more. */
    private static final int ANSWER_MS = 1000;
    /** How soon a request that failed is made again at first and, with each failure twice as late, at the latest. */
    private static final int FIRST_AGAIN_MS = 10;

    private static final int LAST_AGAIN_MS = 100;
    /** Connections that are kept beside the one in use, after a time of slow answers. */
    private static final int MOST_SPARE = 8;
    /** Requests without an answer, beside the one that is waited for. */
    private static final int MOST_LATE = 16;
    /** A request without an answer is given up after this, and so is a connection that does not come up. */
    private static final int PATIENCE_MS = 30_000;

    private static final int MOST_BODY_BYTES = 1 << 16;
    private static final int MOST_ANSWER_BYTES = 1 << 16;
    private static final int NO_CONTENT = 204;
    private static final int BAD_REQUEST = 400;

    private InetSocketAddress address;
    private final EventLoop loop;
    private final MessageService host;
    private final AgentConnector connector;
    private final ObjectMapper json = new ObjectMapper();
    /** What is to be sent next; some of it may have been confirmed meanwhile by a late answer. */
    private final Deque<AcceptedMessage> due = new ArrayDeque<>();
    /** What no answer has confirmed. */
    private final Set<AcceptedMessage> owed = new HashSet<>();
    /** Connections that had their answer while another one was in use: a new one may not be had when it is needed. */
    private final Deque<Line> spare = new ArrayDeque<>();
    /** Requests that were not answered in time and still may be, oldest first. */
    private final List<Line> late = new ArrayList<>();

    private Line line;
    /** A request, a connection or a pause is under way, and its end goes on with what is due. */
    private boolean busy;
    /** After a request that could not be read, each notice goes alone: a bad one may not hold up the others. */
    private boolean alone;

    private boolean dropped;
    private int againMs = FIRST_AGAIN_MS;

    NoticeSender(final InetSocketAddress address, final EventLoop loop, final MessageService host) {
        this.address = address;
        this.loop = loop;
        this.host = host;
        this.connector = new AgentConnector(loop, host::relieveDescriptorShortage);
    }

    /** The platform is elsewhere now: what is due goes there, and a request that is out has its answer first. */
    void moveTo(final InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            List.copyOf(spare).forEach(Line::close);
            final Line old = line;
            if (old != null && old.isResting()) {
                line = null;
                old.close();
            }
        }
    }

    /** A message has ended, and the platform is to hear of it. */
    void add(final AcceptedMessage held) {
        due.add(held);
        owed.add(held);
    }

    /** Another process tells what is owed from now on. */
    void discard() {
        due.clear();
        owed.clear();
        dropped = true;
    }

    /** True when everything has been confirmed. */
    boolean isEmpty() {
        return owed.isEmpty();
    }

    /** Sends what is due, unless a request is out already. */
    void flush() {
        if (dropped || busy) {
            return;
        }
        due.removeIf(held -> !owed.contains(held));
        if (due.isEmpty()) {
            return;
        }
        busy = true;
        while (!spare.isEmpty() && (line == null || !line.isUsable())) {
            line = spare.pollLast();
        }
        if (line != null && line.isUsable()) {
            line.post();
        } else {
            connect();
        }
    }

    private void connect() {
        final Line fresh = new Line(address);
        line = fresh;
        fresh.awaitAnswer();
        connector.connect(
                address,
                PATIENCE_MS,
                fresh::connected,
                fresh::lost,
                new HttpClientCodec(),
                new HttpObjectAggregator(MOST_ANSWER_BYTES),
                fresh);
    }

    /** What is due follows a request that is still unanswered; false if there is no such connection. */
    private boolean pipeline() {
        due.removeIf(held -> !owed.contains(held));
        final Optional<Line> shared = late.stream().filter(Line::isOpen).min(Comparator.comparingInt(Line::unanswered));
        if (due.isEmpty() || shared.isEmpty()) {
            return false;
        }
        line = shared.get();
        late.remove(line);
        line.post();
        return true;
    }

    /** What a request told is due again, ahead of the rest, unless it has been confirmed. */
    private void dueAgain(final List<AcceptedMessage> told) {
        for (int index = told.size() - 1; index >= 0; index--) {
            if (owed.contains(told.get(index))) {
                due.addFirst(told.get(index));
            }
        }
    }

    /** A request has failed: what it told is due again after a moment. */
    private void again(final List<AcceptedMessage> told) {
        dueAgain(told);
        loop.schedule(this::next, againMs, TimeUnit.MILLISECONDS);
        againMs = Math.min(LAST_AGAIN_MS, 2 * againMs);
    }

    private void next() {
        busy = false;
        flush();
    }

    private void confirmed(final List<AcceptedMessage> told) {
        againMs = FIRST_AGAIN_MS;
        host.noticesConfirmed(told.stream().filter(owed::remove).toList());
    }

    /** The oldest is kept longest: whatever time the platform takes to answer, one request lives to hear it. */
    private void keepLate(final Line slow) {
        late.add(slow);
        if (late.size() > MOST_LATE) {
            late.get(1).close();
        }
        loop.schedule(slow::giveUp, PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    private byte[] text(final AcceptedMessage held) {
        final AcceptedMessage.Notice notice = held.notice();
        final ObjectNode item = json.createObjectNode()
                .put("id", held.id)
                .put("status", notice.failed() ? "undeliverable" : "deferred");
        if (!notice.failed() && notice.retryAfterMs() > 0) {
            item.put("again_ms", notice.retryAfterMs());
        }
        return (item + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** A request that is out: what it tells, and the timer that tells it once more beside it. */
    private record Request(List<AcceptedMessage> told, ScheduledFuture<?> noAnswer) {}

    /** A connection to the platform. It carries one request at a time while further connections can be opened. */
    private final class Line extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress target;
        private final Deque<Request> requests = new ArrayDeque<>();
        private ChannelHandlerContext context;
        /** Lets what comes due go on another connection. */
        private ScheduledFuture<?> slowAnswer;

        private boolean up;

        Line(final InetSocketAddress target) {
            this.target = target;
        }

        @Override
        public void handlerAdded(final ChannelHandlerContext added) {
            context = added;
        }

        private boolean isResting() {
            return up && requests.isEmpty();
        }

        private boolean isOpen() {
            return up && context.channel().isActive() && target.equals(address);
        }

        private boolean isUsable() {
            return isResting() && isOpen();
        }

        /** Requests without an answer. */
        private int unanswered() {
            return requests.size();
        }

        private void close() {
            if (context != null) {
                context.close();
            }
        }

        private void giveUp() {
            if (late.contains(this)) {
                close();
            }
        }

        private void connected() {
            final boolean awaited = line == this;
            up = true;
            late.remove(this);
            slowAnswer.cancel(false);
            if (dropped || !target.equals(address) || line != null && !awaited) {
                close();
                if (awaited) {
                    line = null;
                    next();
                }
                return;
            }
            line = this;
            if (awaited) {
                next();
            } else {
                flush();
            }
        }

        /** The connection and the answer are waited for; what comes due goes elsewhere if that takes long. */
        private void awaitAnswer() {
            if (slowAnswer != null) {
                slowAnswer.cancel(false);
            }
            final int waitMs = SLOW_MS * (1 + late.size() / LATE_PER_WAIT);
            slowAnswer = loop.schedule(this::isSlow, waitMs, TimeUnit.MILLISECONDS);
        }

        private void isSlow() {
            if (line == this) {
                line = null;
                keepLate(this);
                next();
            }
        }

        private void isNotAnswered(final List<AcceptedMessage> told) {
            Log.info("the platform has not answered " + told.size() + " notices in " + ANSWER_MS
                    + " ms: they are told again beside that request");
            dueAgain(told);
            flush();
        }

        private void post() {
            final ByteBuf body = Unpooled.buffer();
            final List<AcceptedMessage> some = new ArrayList<>();
            while (!due.isEmpty() && (some.isEmpty() || !alone)) {
                final byte[] text = text(due.peekFirst());
                if (!some.isEmpty() && body.readableBytes() + text.length > MOST_BODY_BYTES) {
                    break;
                }
                body.writeBytes(text);
                some.add(due.pollFirst());
            }
            requests.add(new Request(some, loop.schedule(() -> isNotAnswered(some), ANSWER_MS, TimeUnit.MILLISECONDS)));
            awaitAnswer();
            final var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/v1/outcomes", body);
            request.headers()
                    .set(HttpHeaderNames.HOST, target.getHostString())
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson")
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            context.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final FullHttpResponse answer) {
            final Request request = requests.poll();
            if (request == null) {
                ctx.close();
                return;
            }
            request.noAnswer().cancel(false);
            if (answer.decoderResult().isFailure()) {
                requests.addFirst(request);
                ctx.close();
                return;
            }
            final List<AcceptedMessage> answered = request.told();
            if (!requests.isEmpty()) {
                take(answer.status().code(), answered, false);
                return;
            }
            slowAnswer.cancel(false);
            late.remove(this);
            final boolean current = line == this;
            final boolean reusable = HttpUtil.isKeepAlive(answer) && target.equals(address);
            if (reusable && (current || line == null)) {
                line = this;
            } else if (reusable && spare.size() < MOST_SPARE) {
                spare.add(this);
            } else {
                close();
            }
            take(answer.status().code(), answered, current);
        }

        private void take(final int status, final List<AcceptedMessage> answered, final boolean current) {
            if (status == BAD_REQUEST && answered.size() == 1) {
                Log.info("the platform cannot read the notice of " + answered.get(0).id + ", which is dropped");
                confirmed(answered);
            } else if (status == NO_CONTENT) {
                confirmed(answered);
            } else {
                Log.info("the platform answered " + status + " to " + answered.size() + " notices");
                alone = status == BAD_REQUEST;
                if (current) {
                    again(answered);
                } else {
                    dueAgain(answered);
                }
                return;
            }
            due.removeIf(held -> !owed.contains(held));
            alone &= !due.isEmpty();
            if (current) {
                next();
            } else {
                flush();
            }
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            if (up) {
                lost();
            }
        }

        /** The connection has ended, or never came up. */
        private void lost() {
            spare.remove(this);
            final boolean wasLate = late.remove(this);
            final boolean underWay = !isResting();
            final List<AcceptedMessage> unanswered = takeUnanswered();
            slowAnswer.cancel(false);
            if (line == this) {
                line = null;
                if (underWay && (up || !pipeline())) {
                    again(unanswered);
                }
            } else if (wasLate) {
                dueAgain(unanswered);
                flush();
            }
        }

        private List<AcceptedMessage> takeUnanswered() {
            requests.forEach(request -> request.noAnswer().cancel(false));
            final List<AcceptedMessage> unanswered = requests.stream()
                    .flatMap(request -> request.told().stream())
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
