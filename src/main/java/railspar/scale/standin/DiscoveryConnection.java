package railspar.scale.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** One connection to the stand-in of discovery; all of it runs on the server's event loop. */
final class DiscoveryConnection extends HttpConnection {
    private static final String LIST_PATH = "/discovery/hosts";
    private static final String OUTCOMES_PATH = "/v1/outcomes";
    private static final byte[] EMPTY_LINE = {'\n'};
    /** Lines are written in pieces of this size, so that what a broken connection took is counted closely. */
    private static final int PIECE_BYTES = 1 << 16;

    private final DiscoveryServer server;
    private final TrafficCounter counter;
    /** A request for the list that waits until discovery is available, or null. */
    private QueryStringDecoder waiting;

    private boolean watching;
    /** A line without an end is being sent, and nothing else follows. */
    private boolean endless;

    private long endlessEntries;
    /** The first line has not been sent yet. */
    private boolean first;
    /** The version that the other side has. */
    private long version;

    private ScheduledFuture<?> heartbeat;

    DiscoveryConnection(final DiscoveryServer server, final TrafficCounter counter) {
        this.server = server;
        this.counter = counter;
    }

    @Override
    void opened() {
        server.opened(this);
    }

    @Override
    void closed() {
        server.closed(this);
        if (heartbeat != null) {
            heartbeat.cancel(false);
        }
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext ctx, final FullHttpRequest request) {
        final QueryStringDecoder target = new QueryStringDecoder(request.uri());
        if (request.decoderResult().isFailure()) {
            answer(HttpResponseStatus.BAD_REQUEST);
        } else if (request.method().equals(HttpMethod.POST) && target.path().equals(OUTCOMES_PATH)) {
            takeOutcomes(request.content().toString(StandardCharsets.UTF_8));
        } else if (request.method().equals(HttpMethod.GET) && target.path().equals(LIST_PATH)) {
            waiting = target;
            tell();
        } else {
            answer(HttpResponseStatus.NOT_FOUND);
        }
    }

    private void takeOutcomes(final String body) {
        try {
            server.noticed(Outcome.parseLines(body));
            answer(HttpResponseStatus.NO_CONTENT);
        } catch (final IOException e) {
            answer(HttpResponseStatus.BAD_REQUEST);
        }
    }

    private void answer(final HttpResponseStatus status) {
        final DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        if (!status.equals(HttpResponseStatus.NO_CONTENT)) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        }
        context().writeAndFlush(response);
    }

    /** Says what there is to say just now: the answer to a request, or what has changed. */
    void tell() {
        if (waiting != null && server.mode() != DiscoveryMode.UNAVAILABLE) {
            final QueryStringDecoder target = waiting;
            waiting = null;
            if (target.parameters().containsKey("watch")) {
                beginWatch(number(target, "after"));
            } else {
                answerList();
            }
        }
        if (watching
                && !endless
                && server.mode().tellsChanges()
                && context().channel().isWritable()) {
            if (first) {
                first = false;
                tellFirst();
            } else if (version < server.history().version()) {
                tellChanges();
            }
        }
    }

    private static long number(final QueryStringDecoder target, final String name) {
        final List<String> values = target.parameters().getOrDefault(name, List.of());
        try {
            return values.isEmpty() ? 0 : Long.parseLong(values.get(0));
        } catch (final NumberFormatException e) {
            return 0;
        }
    }

    private void answerList() {
        final ByteBuf list = server.share(server.history().lineAfter(0));
        final DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .set(HttpHeaderNames.CONTENT_LENGTH, list.readableBytes());
        counter.sentWholeList();
        context().write(head);
        writePieces(list);
        context().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    private void beginWatch(final long after) {
        watching = true;
        first = true;
        version = after;
        final DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson")
                .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        context().writeAndFlush(head);
        final long periodMs = server.heartbeat().toMillis();
        heartbeat = context().executor().scheduleAtFixedRate(this::beat, periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    private void beat() {
        if (server.mode().tellsChanges() && !endless && context().channel().isWritable()) {
            write(Unpooled.wrappedBuffer(EMPTY_LINE));
        }
    }

    private void tellFirst() {
        final ListHistory history = server.history();
        final long known = history.version();
        switch (server.mode()) {
            case FIRST_LINE_BREAKS_OFF -> {
                final ByteBuf list = server.share(history.lineAfter(0));
                counter.sentWholeList();
                writePieces(list.writerIndex(list.readableBytes() / 2));
                context().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            }
            case FIRST_LINE_NEVER_ENDS -> {
                endless = true;
                counter.sentWholeList();
                write(Unpooled.copiedBuffer(
                        "{\"seq\":" + known + ",\"whole\":true,\"hosts\":[", StandardCharsets.UTF_8));
                writeEndless();
            }
            case FIRST_LINE_REPEATS_AN_ENTRY -> {
                final List<EndpointEntry> entries = new ArrayList<>(history.entries());
                entries.add(entries.get(0).withHealth(EndpointEntry.Health.TERMINATING));
                tellWhole(known, ListLines.encode(known, true, entries));
            }
            case FIRST_LINE_OLDER_VERSION -> {
                final long older = Math.max(0, Math.min(version, known) - 1);
                tellWhole(known, ListLines.encode(older, true, history.entries()));
            }
            case FIRST_LINE_INDENTED -> tellWhole(known, ListLines.encodeIndented(known, true, history.entries()));
            default -> {
                if (version == known) {
                    write(Unpooled.wrappedBuffer(EMPTY_LINE));
                } else {
                    tellChanges();
                }
            }
        }
    }

    private void tellWhole(final long reached, final byte[] line) {
        version = reached;
        counter.sentWholeList();
        writePieces(Unpooled.wrappedBuffer(line));
        context().flush();
    }

    private void tellChanges() {
        final ListHistory.Update update = server.history().updateAfter(version);
        version = update.version();
        if (update.whole()) {
            counter.sentWholeList();
            writePieces(server.share(update.line()));
        } else {
            counter.sentChanges();
            writePieces(Unpooled.wrappedBuffer(update.line()));
        }
        context().flush();
    }

    /** Writes entries of endpoints that do not exist for as long as the other side reads them. */
    private void writeEndless() {
        while (context().channel().isWritable() && context().channel().isActive()) {
            final StringBuilder entries = new StringBuilder(PIECE_BYTES);
            while (entries.length() < PIECE_BYTES) {
                final long number = endlessEntries++;
                entries.append("{\"host\":\"endless-")
                        .append(number)
                        .append("\",\"dial\":\"127.0.0.1:9\",\"site\":\"none\",\"class\":\"std\",\"block\":")
                        .append(number)
                        .append(",\"health\":\"Ready\",\"share\":1.0,\"born_ms\":0},");
            }
            write(Unpooled.copiedBuffer(entries, StandardCharsets.UTF_8));
        }
    }

    @Override
    public void channelWritabilityChanged(final ChannelHandlerContext ctx) {
        // Not from within a write, which would go deeper with each piece.
        ctx.executor().execute(() -> {
            if (endless) {
                writeEndless();
            } else {
                tell();
            }
        });
    }

    private void write(final ByteBuf bytes) {
        context().writeAndFlush(new DefaultHttpContent(bytes));
    }

    /** Writes a line, which it releases, without flushing it. */
    private void writePieces(final ByteBuf line) {
        while (line.isReadable()) {
            context()
                    .write(new DefaultHttpContent(line.readRetainedSlice(Math.min(PIECE_BYTES, line.readableBytes()))));
        }
        line.release();
    }
}
