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
 * One watch on the list, until its connection ends. It reads lists as their bytes come and gives away whole ones. It
 * says when it has fallen silent, and goes on reading then: whether it is given up is for its owner to decide.
 */
final class Watch extends SimpleChannelInboundHandler<HttpObject> {
    /**
     * One of the empty lines, due every 2 s, that say that the watch lives is a second late. What a silent watch
     * misses counts as told 6 s after it fell silent: a new one must have begun by then, also where one call for it
     * is silent too.
     */
    static final int SILENCE_TIMEOUT_MS = 3000;
    /** How soon another watch is asked for beside one that has not spoken yet. */
    static final int FIRST_RESPONSE_MS = 1000;
    /**
     * A list that is under way lives while so many bytes of it come within {@link #SILENCE_TIMEOUT_MS}: smaller
     * lists come whole in that time, and one of 10 MB is not given up on a line of 22 KB a second. What trickles
     * more slowly is as good as silent.
     */
    private static final int PROGRESS_BYTES = 1 << 16;

    private static final int CHUNK_BYTES = 1 << 13;
    private static final int OK = 200;

    /** Who hears what watches bring; several may stand at once. */
    interface Listener {
        /** The version of the list in force, from which on changes are asked for. */
        long version();

        /** True while what the watch brings counts. */
        boolean isCurrent(Watch watch);

        /** A list has come. */
        void onList(Watch watch, StagedList list) throws ListFormatException;

        /**
         * Nothing has changed. {@code first}: it is the watch's first word. {@code settled}: no list is on its way.
         */
        void onUnchanged(Watch watch, boolean first, boolean settled);

        /** A list has begun, or goes on at a sensible rate. */
        void onReceiving(Watch watch);

        /** Nothing has shown for {@link #SILENCE_TIMEOUT_MS} that the watch lives. */
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
    private ChannelHandlerContext context;
    /** Tells the owner of its silence unless it shows in time that it lives. */
    private ScheduledFuture<?> silence;

    private long askedVersion;
    private int heartbeats;
    private boolean answered;
    /** Bytes since the last list that was taken, or the last empty line. */
    private long unused;
    /** Bytes since the last one that showed that this watch lives. */
    private long progress;

    private boolean spoilt;
    /** Why it has ended; null while nothing on this side has ended it. */
    private WatchEndReason end;

    Watch(final Listener owner, final String host, final long listBytes) {
        this.owner = owner;
        this.host = host;
        this.parser = new ListParser(listBytes, new Lists());
    }

    /** True while an object has begun and not ended. */
    boolean isReceiving() {
        return parser.isWithinObject() && !spoilt;
    }

    /** True if what it told could not be used. */
    boolean isInvalid() {
        return spoilt;
    }

    /** Bytes that came for nothing. */
    long wastedBytes() {
        return unused;
    }

    /** The version that was in force when it asked for changes. */
    long askedVersion() {
        return askedVersion;
    }

    /** Ends it for that reason, unless it has ended for another one before. */
    void close(final WatchEndReason reason) {
        endsWith(reason);
        if (context != null) {
            context.close();
        }
    }

    private void endsWith(final WatchEndReason reason) {
        end = end == null ? reason : end;
    }

    /** Why it has ended. */
    WatchEndReason endReason() {
        return end == null ? WatchEndReason.CLOSED_BY_DISCOVERY : end;
    }

    @Override
    public void handlerAdded(final ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelActive(final ChannelHandlerContext ctx) {
        askedVersion = owner.version();
        final var request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, "/discovery/hosts?watch=1&after=" + askedVersion);
        request.headers().set(HttpHeaderNames.HOST, host);
        ctx.writeAndFlush(request);
    }

    /** Single bytes do not count: a watch may fall silent in the middle of a line, or trickle. */
    private void listen() {
        progress = 0;
        if (silence != null) {
            silence.cancel(false);
        }
        silence = context.executor().schedule(() -> owner.onSilent(this), SILENCE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
        if (part.decoderResult().isFailure()
                || part instanceof HttpResponse response && response.status().code() != OK) {
            close(WatchEndReason.BAD_ANSWER);
            return;
        }
        if (part instanceof HttpContent content && owner.isCurrent(this) && !spoilt) {
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
                unused += length;
                progress += length;
                parser.feed(chunk, 0, length);
                if (isReceiving() && (!wasReceiving || progress >= PROGRESS_BYTES)) {
                    listen();
                    owner.onReceiving(this);
                }
            }
        } catch (final ListFormatException e) {
            spoilt = true;
            owner.onInvalidList(e);
            close(WatchEndReason.INVALID_LIST);
        } catch (final IOException e) {
            throw new IllegalStateException("reading from memory failed", e);
        }
    }

    /** What the parser has read. */
    private final class Lists implements ListParser.Listener {
        @Override
        public void onList(final StagedList list) throws ListFormatException {
            listen();
            owner.onList(Watch.this, list);
            answered = true;
            unused = 0;
        }

        @Override
        public void onHeartbeat() {
            listen();
            unused = 0;
            heartbeats++;
            final boolean first = !answered;
            answered = true;
            // The first may come ahead of a list that is spoilt; a second one says that there is no such list.
            owner.onUnchanged(Watch.this, first, heartbeats > 1);
        }

        @Override
        public void onUnusableEntry(final String problem) {
            owner.onUnusableEntry(problem);
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext ctx) {
        lost();
    }

    /** It never came up. */
    void onConnectFailed() {
        endsWith(WatchEndReason.NOT_CONNECTED);
        lost();
    }

    private void lost() {
        if (silence != null) {
            silence.cancel(false);
        }
        if (owner.isCurrent(this) && isReceiving()) {
            spoilt = true;
            owner.onInvalidList(new ListFormatException(ListFormatException.Fault.TRUNCATED, "it breaks off"));
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
