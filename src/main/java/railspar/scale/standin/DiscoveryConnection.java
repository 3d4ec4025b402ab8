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

/** One connection to the simulated discovery agent. All of it runs on the server's event loop. */
final class DiscoveryConnection extends HttpConnection {
    private static final String LIST_PATH = "/discovery/hosts";
    private static final String OUTCOMES_PATH = "/v1/outcomes";
    private static final byte[] EMPTY_LINE = {'\n'};
    /** Lines are written in pieces of this size, so that the byte count of a broken connection is nearly exact. */
    private static final int PIECE_BYTES = 1 << 16;

    private final DiscoveryServer server;
    private final TrafficCounter counter;
    /** A request for the list that waits for discovery to become available, or null. */
    private QueryStringDecoder pendingRequest;

    private boolean watching;
    /** True while an endless line is being sent; nothing else follows it. */
    private boolean sendingEndlessLine;

    private long endlessEntryCount;
    /** True until the first line of the watch has been sent. */
    private boolean firstLinePending;
    /** The list version that the client of the watch has. */
    private long sentVersion;

    private ScheduledFuture<?> heartbeatTask;

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
        if (heartbeatTask != null) {
            heartbeatTask.cancel(false);
        }
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext ctx, final FullHttpRequest request) {
        final QueryStringDecoder target = new QueryStringDecoder(request.uri());
        if (request.decoderResult().isFailure()) {
            respond(HttpResponseStatus.BAD_REQUEST);
        } else if (request.method().equals(HttpMethod.POST) && target.path().equals(OUTCOMES_PATH)) {
            receiveOutcomes(request.content().toString(StandardCharsets.UTF_8));
        } else if (request.method().equals(HttpMethod.GET) && target.path().equals(LIST_PATH)) {
            pendingRequest = target;
            sendPending();
        } else {
            respond(HttpResponseStatus.NOT_FOUND);
        }
    }

    private void receiveOutcomes(final String body) {
        try {
            server.receiveOutcomes(Outcome.parseLines(body));
            respond(HttpResponseStatus.NO_CONTENT);
        } catch (final IOException e) {
            respond(HttpResponseStatus.BAD_REQUEST);
        }
    }

    private void respond(final HttpResponseStatus status) {
        final DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        if (!status.equals(HttpResponseStatus.NO_CONTENT)) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        }
        context().writeAndFlush(response);
    }

    /** Sends what is due now: the response to a waiting request, and the changes that the watch has not had. */
    void sendPending() {
        if (pendingRequest != null && server.mode() != DiscoveryMode.UNAVAILABLE) {
            final QueryStringDecoder target = pendingRequest;
            pendingRequest = null;
            if (target.parameters().containsKey("watch")) {
                startWatch(longParameter(target, "after"));
            } else {
                sendList();
            }
        }
        if (watching
                && !sendingEndlessLine
                && server.mode().sendsUpdates()
                && context().channel().isWritable()) {
            if (firstLinePending) {
                firstLinePending = false;
                sendFirstLine();
            } else if (sentVersion < server.history().version()) {
                sendChanges();
            }
        }
    }

    private static long longParameter(final QueryStringDecoder target, final String name) {
        final List<String> values = target.parameters().getOrDefault(name, List.of());
        try {
            return values.isEmpty() ? 0 : Long.parseLong(values.get(0));
        } catch (final NumberFormatException e) {
            return 0;
        }
    }

    private void sendList() {
        final ByteBuf list = server.sharedBuffer(server.history().lineAfter(0));
        final DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .set(HttpHeaderNames.CONTENT_LENGTH, list.readableBytes());
        counter.countWholeList();
        context().write(head);
        writeInPieces(list);
        context().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    private void startWatch(final long afterVersion) {
        watching = true;
        firstLinePending = true;
        sentVersion = afterVersion;
        final DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson")
                .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        context().writeAndFlush(head);
        final long periodMs = server.heartbeatInterval().toMillis();
        heartbeatTask = context()
                .executor()
                .scheduleAtFixedRate(this::sendHeartbeat, periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    private void sendHeartbeat() {
        if (server.mode().sendsUpdates()
                && !sendingEndlessLine
                && context().channel().isWritable()) {
            write(Unpooled.wrappedBuffer(EMPTY_LINE));
        }
    }

    private void sendFirstLine() {
        final ListHistory history = server.history();
        final long currentVersion = history.version();
        switch (server.mode()) {
            case FIRST_LINE_TRUNCATED -> {
                final ByteBuf list = server.sharedBuffer(history.lineAfter(0));
                counter.countWholeList();
                writeInPieces(list.writerIndex(list.readableBytes() / 2));
                context().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            }
            case FIRST_LINE_ENDLESS -> {
                sendingEndlessLine = true;
                counter.countWholeList();
                write(Unpooled.copiedBuffer(
                        "{\"seq\":" + currentVersion + ",\"whole\":true,\"hosts\":[", StandardCharsets.UTF_8));
                writeEndless();
            }
            case FIRST_LINE_DUPLICATE_ENTRY -> {
                final List<EndpointEntry> entries = new ArrayList<>(history.entries());
                entries.add(entries.get(0).withHealth(EndpointEntry.Health.TERMINATING));
                sendWholeList(currentVersion, ListEncoder.encode(currentVersion, true, entries));
            }
            case FIRST_LINE_STALE_VERSION -> {
                final long olderVersion = Math.max(0, Math.min(sentVersion, currentVersion) - 1);
                sendWholeList(currentVersion, ListEncoder.encode(olderVersion, true, history.entries()));
            }
            case FIRST_LINE_INDENTED ->
                sendWholeList(currentVersion, ListEncoder.encodeIndented(currentVersion, true, history.entries()));
            default -> {
                if (sentVersion == currentVersion) {
                    write(Unpooled.wrappedBuffer(EMPTY_LINE));
                } else {
                    sendChanges();
                }
            }
        }
    }

    private void sendWholeList(final long newVersion, final byte[] line) {
        sentVersion = newVersion;
        counter.countWholeList();
        writeInPieces(Unpooled.wrappedBuffer(line));
        context().flush();
    }

    private void sendChanges() {
        final ListHistory.Update update = server.history().updateAfter(sentVersion);
        sentVersion = update.version();
        if (update.whole()) {
            counter.countWholeList();
            writeInPieces(server.sharedBuffer(update.line()));
        } else {
            counter.countChangeLine();
            writeInPieces(Unpooled.wrappedBuffer(update.line()));
        }
        context().flush();
    }

    /** Writes entries of non-existent endpoints for as long as the client reads them. */
    private void writeEndless() {
        while (context().channel().isWritable() && context().channel().isActive()) {
            final StringBuilder entries = new StringBuilder(PIECE_BYTES);
            while (entries.length() < PIECE_BYTES) {
                final long number = endlessEntryCount++;
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
        // Scheduled instead of called: from within a write, the call stack would grow with each piece.
        ctx.executor().execute(() -> {
            if (sendingEndlessLine) {
                writeEndless();
            } else {
                sendPending();
            }
        });
    }

    private void write(final ByteBuf bytes) {
        context().writeAndFlush(new DefaultHttpContent(bytes));
    }

    /** Writes a line in pieces without flushing, and releases it. */
    private void writeInPieces(final ByteBuf line) {
        while (line.isReadable()) {
            context()
                    .write(new DefaultHttpContent(line.readRetainedSlice(Math.min(PIECE_BYTES, line.readableBytes()))));
        }
        line.release();
    }
}
