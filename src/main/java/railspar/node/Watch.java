package railspar.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import railspar.list.ListFormatException;
import railspar.list.ListParser;
import railspar.list.StagedList;

/**
 * One watch on the list, until its connection ends. It parses lists as their bytes arrive and passes on complete ones.
 * It reports when it has been silent for too long, and continues to read: its owner decides whether to close it.
 */
final class Watch extends SimpleChannelInboundHandler<HttpObject> {
    /**
     * A watch is silent when a heartbeat, which is due every 2 s, is one second late. The courier is expected to know
     * the changes that a silent watch misses 6 s after it fell silent. A new watch must be established by then, even if
     * one request for it stays silent too.
     */
    static final int SILENCE_TIMEOUT_MS = 3000;
    /** How long to wait for the first response of a watch before another one is opened beside it. */
    static final int FIRST_RESPONSE_MS = 1000;
    /**
     * A watch that is receiving a list is alive while at least this many bytes arrive per {@link #SILENCE_TIMEOUT_MS}.
     * Smaller lists arrive completely in that time, and a list of 10 MB is not given up at a rate of 22 KB/s. A slower
     * watch counts as silent.
     */
    private static final int MIN_PROGRESS_BYTES = 1 << 16;

    private static final int CHUNK_BYTES = 1 << 13;
    private static final int OK = 200;

    /** Receives lists and events of watches, of which several may be open at once. */
    interface Listener {
        /** The version of the current list; a watch requests the changes after it. */
        long version();

        /** True while the owner still uses the watch. */
        boolean isCurrent(Watch watch);

        /** A list has been received. */
        void onList(Watch watch, StagedList list) throws ListFormatException;

        /**
         * The list is unchanged. {@code first}: it is the first event of the watch. {@code settled}: no list is on its
         * way.
         */
        void onUnchanged(Watch watch, boolean first, boolean settled);

        /** A list has begun, or continues to arrive at a sufficient rate. */
        void onReceiving(Watch watch);

        /** The watch has shown no sign of life for {@link #SILENCE_TIMEOUT_MS}. */
        void onSilent(Watch watch);

        /** An entry of a list cannot be used. */
        void onUnusableEntry(String problem);

        /** The list cannot be used. */
        void onInvalidList(ListFormatException fault);

        /** The watch has ended. */
        void onEnded(Watch watch);
    }

    private final Listener owner;
    private final String host;
    private final ListParser parser;
    private final byte[] chunk = new byte[CHUNK_BYTES];
    private final ResponseDecoder decoder = new ResponseDecoder();
    private ChannelHandlerContext context;
    /** Reports the silence to the owner unless it is restarted in time. */
    private ScheduledFuture<?> silenceTimer;

    private long requestedVersion;
    private int heartbeats;
    private boolean responded;
    /** Bytes since the last list that was applied, or the last empty line. */
    private long wastedBytes;
    /** Bytes since the silence timer was restarted. */
    private long bytesSinceProgress;

    private boolean invalid;
    /** Why the watch has ended; null unless this process has ended it. */
    private WatchEndReason endReason;

    Watch(final Listener owner, final String host, final long stagingBytes) {
        this.owner = owner;
        this.host = host;
        this.parser = new ListParser(stagingBytes, new ParserListener());
    }

    /** The decoder of the connection that the watch is added to. */
    ResponseDecoder decoder() {
        return decoder;
    }

    /** True while a list is being received. */
    boolean isReceiving() {
        return parser.isWithinObject() && !invalid;
    }

    /** True if the watch has received an invalid list. */
    boolean isInvalid() {
        return invalid;
    }

    /** Bytes that were received without a result. */
    long wastedBytes() {
        return wastedBytes;
    }

    /** The version after which this watch has requested changes. */
    long requestedVersion() {
        return requestedVersion;
    }

    /** Closes the connection; the reason is kept unless there is an earlier one. */
    void close(final WatchEndReason reason) {
        setEndReason(reason);
        if (context != null) {
            context.close();
        }
    }

    private void setEndReason(final WatchEndReason reason) {
        endReason = endReason == null ? reason : endReason;
    }

    /** Why the watch has ended. */
    WatchEndReason endReason() {
        return endReason == null ? WatchEndReason.CLOSED_BY_DISCOVERY : endReason;
    }

    @Override
    public void handlerAdded(final ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelActive(final ChannelHandlerContext ctx) {
        requestedVersion = owner.version();
        final var request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, "/discovery/hosts?watch=1&after=" + requestedVersion);
        request.headers().set(HttpHeaderNames.HOST, host);
        decoder.onRequest();
        ctx.writeAndFlush(request);
    }

    /** Not called for single bytes, as a watch may fall silent in the middle of a line, or send very slowly. */
    private void restartSilenceTimer() {
        bytesSinceProgress = 0;
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
        silenceTimer =
                context.executor().schedule(() -> owner.onSilent(this), SILENCE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
        if (part.decoderResult().isFailure()
                || part instanceof HttpResponse response && response.status().code() != OK) {
            close(WatchEndReason.BAD_RESPONSE);
            return;
        }
        if (part instanceof HttpContent content && owner.isCurrent(this) && !invalid) {
            read(content.content());
        }
        if (part instanceof LastHttpContent) {
            close(WatchEndReason.CLOSED_BY_DISCOVERY);
        }
    }

    private void read(final ByteBuf content) {
        try {
            while (content.isReadable() && owner.isCurrent(this)) {
                final boolean wasReceiving = isReceiving();
                final int length = Math.min(chunk.length, content.readableBytes());
                content.readBytes(chunk, 0, length);
                wastedBytes += length;
                bytesSinceProgress += length;
                parser.feed(chunk, 0, length);
                if (isReceiving() && (!wasReceiving || bytesSinceProgress >= MIN_PROGRESS_BYTES)) {
                    restartSilenceTimer();
                    owner.onReceiving(this);
                }
            }
        } catch (final ListFormatException e) {
            invalid = true;
            owner.onInvalidList(e);
            close(WatchEndReason.INVALID_LIST);
        } catch (final IOException e) {
            throw new IllegalStateException("reading from memory failed", e);
        }
    }

    /** Handles the events of the parser. */
    private final class ParserListener implements ListParser.Listener {
        @Override
        public void onList(final StagedList list) throws ListFormatException {
            restartSilenceTimer();
            owner.onList(Watch.this, list);
            responded = true;
            wastedBytes = 0;
        }

        @Override
        public void onHeartbeat() {
            restartSilenceTimer();
            wastedBytes = 0;
            heartbeats++;
            final boolean first = !responded;
            responded = true;
            // An invalid list may follow the first empty line; after a second one, no list is on its way.
            owner.onUnchanged(Watch.this, first, heartbeats > 1);
        }

        @Override
        public void onUnusableEntry(final String problem) {
            owner.onUnusableEntry(problem);
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext ctx) {
        onConnectionEnded();
    }

    /** The connection could not be established. */
    void onConnectFailed() {
        setEndReason(WatchEndReason.NOT_CONNECTED);
        onConnectionEnded();
    }

    private void onConnectionEnded() {
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
        if (owner.isCurrent(this) && isReceiving()) {
            invalid = true;
            owner.onInvalidList(new ListFormatException(
                    ListFormatException.Fault.TRUNCATED, "it ends before its JSON object is complete"));
        }
        owner.onEnded(this);
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
        FatalError.exitOn("connection to discovery", cause);
        if (!(cause instanceof IOException) && !(cause instanceof ChannelException)) {
            Log.failure("watch on the list", cause);
        }
        close(WatchEndReason.CONNECTION_FAILED);
    }
}
