package driftchute.node;

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
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Tells the platform the ends of messages that were taken on and not delivered. One request at a time, with all that
 * is due; what is not confirmed is sent again until it is, since a notice about a message that is over does no harm.
 * A request that is not answered in time goes on beside the next one: a platform that is slow would never be heard if
 * each request were given up for a new one.
 */
final class Notices {
    /** The answer comes at once; a platform that is silent so long is asked again on another connection. */
    private static final int ANSWER_MS = 1000;
    /** How soon a request that failed is made again: a notice is due 300 ms after its message's time is up. */
    private static final int AGAIN_MS = 100;
    /** Requests without an answer, beside the one that is waited for. */
    private static final int MOST_LATE = 5;
    /** The oldest of them is given up after this, and so is a connection that does not come up. */
    private static final int PATIENCE_MS = 30_000;

    private static final int MOST_BODY_BYTES = 1 << 16;
    private static final int MOST_ANSWER_BYTES = 1 << 16;
    private static final int NO_CONTENT = 204;
    private static final int BAD_REQUEST = 400;

    private InetSocketAddress address;
    private final EventLoop loop;
    private final Host host;
    private final AgentConnector connector;
    private final ObjectMapper json = new ObjectMapper();
    /** What is to be sent next; some of it may have been confirmed meanwhile by a late answer. */
    private final Deque<Held> due = new ArrayDeque<>();
    /** What no answer has confirmed. */
    private final Set<Held> owed = new HashSet<>();
    /** Requests that were not answered in time and still may be, oldest first. */
    private final List<Line> late = new ArrayList<>();

    private Line line;
    /** A request, a connection or a pause is under way, and its end goes on with what is due. */
    private boolean busy;
    /** After a request that could not be read, each notice goes alone: a bad one may not hold up the others. */
    private boolean alone;

    private boolean dropped;

    Notices(final InetSocketAddress address, final EventLoop loop, final Host host) {
        this.address = address;
        this.loop = loop;
        this.host = host;
        this.connector = new AgentConnector(loop, host::shortOfDescriptors);
    }

    /** The platform is elsewhere now: what is due goes there, and a request that is out has its answer first. */
    void move(final InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            final Line old = line;
            if (old != null && old.isResting()) {
                line = null;
                old.close();
            }
        }
    }

    /** A message has ended, and the platform is to hear of it. */
    void add(final Held held) {
        due.add(held);
        owed.add(held);
    }

    /** Another process tells what is owed from now on. */
    void drop() {
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
        due.removeIf(held -> !owed.contains(held));
        if (dropped || busy || due.isEmpty()) {
            return;
        }
        busy = true;
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
                fresh::failed,
                new HttpClientCodec(),
                new HttpObjectAggregator(MOST_ANSWER_BYTES),
                fresh);
    }

    /** What a request told and was not confirmed is due again, ahead of the rest, after a moment. */
    private void again(final List<Held> told) {
        for (int index = told.size() - 1; index >= 0; index--) {
            due.addFirst(told.get(index));
        }
        loop.schedule(this::next, AGAIN_MS, TimeUnit.MILLISECONDS);
    }

    private void next() {
        busy = false;
        flush();
    }

    private void confirmed(final List<Held> told) {
        host.noticed(told.stream().filter(owed::remove).toList());
    }

    /** The oldest is kept longest: whatever time the platform takes to answer, one request lives to hear it. */
    private void keepLate(final Line overdue) {
        late.add(overdue);
        if (late.size() > MOST_LATE) {
            late.get(1).close();
        }
        loop.schedule(overdue::close, PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    private byte[] text(final Held held) {
        final Held.Notice notice = held.notice();
        final ObjectNode item = json.createObjectNode()
                .put("id", held.id)
                .put("status", notice.failed() ? "undeliverable" : "deferred");
        if (!notice.failed() && notice.againMs() > 0) {
            item.put("again_ms", notice.againMs());
        }
        return (item + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** A connection to the platform; it carries one request at a time. */
    private final class Line extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress target;
        private ChannelHandlerContext context;
        /** What the request that is out tells; null while none is. */
        private List<Held> told;

        private ScheduledFuture<?> answerTimeout;
        private boolean up;

        Line(final InetSocketAddress target) {
            this.target = target;
        }

        @Override
        public void handlerAdded(final ChannelHandlerContext added) {
            context = added;
        }

        private boolean isResting() {
            return up && told == null;
        }

        private boolean isUsable() {
            return isResting() && context.channel().isActive() && target.equals(address);
        }

        private void close() {
            late.remove(this);
            if (context != null) {
                context.close();
            }
        }

        private void connected() {
            up = true;
            late.remove(this);
            if (dropped || line != this && line != null && line.up) {
                close();
            } else if (!target.equals(address)) {
                close();
                if (line == this) {
                    connect();
                }
            } else if (line == null) {
                // A pause is under way, and its end sends what is due.
                line = this;
            } else {
                line = this;
                post();
            }
        }

        /** The connection and the answer are waited for; after that another request goes beside it. */
        private void awaitAnswer() {
            cancelTimeout();
            answerTimeout = loop.schedule(this::overdue, ANSWER_MS, TimeUnit.MILLISECONDS);
        }

        private void cancelTimeout() {
            if (answerTimeout != null) {
                answerTimeout.cancel(false);
            }
        }

        private void overdue() {
            if (line != this) {
                return;
            }
            line = null;
            keepLate(this);
            if (told == null) {
                Log.info("no connection to the platform in " + ANSWER_MS + " ms: another one is opened beside it");
                again(List.of());
            } else {
                Log.info("the platform has not answered " + told.size() + " notices in " + ANSWER_MS
                        + " ms: they are told again beside that request");
                again(told);
            }
        }

        private void post() {
            final ByteBuf body = Unpooled.buffer();
            final List<Held> some = new ArrayList<>();
            while (!due.isEmpty() && (some.isEmpty() || !alone)) {
                final byte[] text = text(due.peekFirst());
                if (!some.isEmpty() && body.readableBytes() + text.length > MOST_BODY_BYTES) {
                    break;
                }
                body.writeBytes(text);
                some.add(due.pollFirst());
            }
            told = some;
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
            if (told == null || answer.decoderResult().isFailure()) {
                ctx.close();
                return;
            }
            final List<Held> answered = told;
            final boolean current = line == this;
            told = null;
            cancelTimeout();
            if (!HttpUtil.isKeepAlive(answer) || !current) {
                close();
            }
            final int status = answer.status().code();
            if (status == BAD_REQUEST && answered.size() == 1) {
                Log.info("the platform cannot read the notice of " + answered.get(0).id + ", which is dropped");
                confirmed(answered);
            } else if (status == NO_CONTENT) {
                confirmed(answered);
            } else {
                Log.info("the platform answered " + status + " to " + answered.size() + " notices");
                if (current) {
                    alone = status == BAD_REQUEST;
                    again(answered);
                }
                return;
            }
            if (current) {
                alone &= !due.isEmpty();
                next();
            }
        }

        /** The connection never came up. */
        private void failed() {
            lost();
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            if (up) {
                lost();
            }
        }

        private void lost() {
            late.remove(this);
            cancelTimeout();
            final boolean underWay = told != null || !up;
            if (line == this) {
                line = null;
                if (underWay) {
                    again(told == null ? List.of() : told);
                }
            }
            told = null;
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            FatalError.endOn("notices to the platform", cause);
            if (!(cause instanceof IOException)) {
                Log.failure("notices to the platform", cause);
            }
            ctx.close();
        }
    }
}
