package driftchute.node;

import driftchute.list.ListFormatException;
import driftchute.list.ListParser;
import driftchute.list.StagedList;
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

/** One watch on the list, until its connection ends. It reads lists as their bytes come and gives away whole ones. */
final class Watch extends SimpleChannelInboundHandler<HttpObject> {
    /**
     * One of the empty lines, due every 2 s, that say that the watch lives is a second late. What a silent watch misses
     * counts as told 6 s after it fell silent: a new one must have begun by then, also where one call for it is silent
     * too, at the longest draw of each pause.
     */
    static final int SILENT_MS = 3000;
    /** How long the agent's first word is waited for: it comes at once, unless discovery is down. */
    static final int FIRST_WORD_MS = 1000;
    /**
     * A list that is under way lives while so many bytes of it come within {@link #SILENT_MS}: smaller lists come whole
     * in that time, and one of 10 MB is not given up on a line of 22 KB a second. What trickles more slowly is as good
     * as silent.
     */
    private static final int PROGRESS_BYTES = 1 << 16;

    private static final int CHUNK_BYTES = 1 << 13;
    private static final int OK = 200;

    /** Who hears what a watch brings; one at a time is its current one. */
    interface Owner {
        /** The version of the list in force, from which on changes are asked for. */
        long version();

        /** True for the watch that counts; one before it may still bring bytes. */
        boolean isCurrent(Watch watch);

        /** A list has come. */
        void take(StagedList list) throws ListFormatException;

        /** Nothing has changed. {@code first}: it is the watch's first word. {@code settled}: no list is on its way. */
        void unchanged(boolean first, boolean settled);

        /** An entry of a list cannot be used. */
        void unusable(String problem);

        /** The list cannot be used. */
        void refused(ListFormatException fault);

        /** The watch has ended. */
        void lost(Watch watch);
    }

    private final Owner owner;
    private final String host;
    private final ListParser parser;
    private final byte[] chunk = new byte[CHUNK_BYTES];
    private ChannelHandlerContext context;
    /** Ends this watch unless it shows in time that it lives. */
    private ScheduledFuture<?> silence;

    private int heartbeats;
    private boolean answered;
    /** Bytes since the last list that was taken, or the last empty line. */
    private long unused;
    /** Bytes since the last one that showed that this watch lives. */
    private long progress;

    private boolean spoilt;
    /** Why it has ended; null while nothing on this side has ended it. */
    private WatchEnd end;

    Watch(final Owner owner, final String host, final long listBytes) {
        this.owner = owner;
        this.host = host;
        this.parser = new ListParser(listBytes, new Lists());
    }

    /** True while an object has begun and not ended. */
    boolean isReceiving() {
        return parser.isWithinObject() && !spoilt;
    }

    /** True if what it told could not be used. */
    boolean isSpoilt() {
        return spoilt;
    }

    /** Bytes that came for nothing. */
    long unusedBytes() {
        return unused;
    }

    /** Ends it for that reason, unless it has ended for another one before. */
    void close(final WatchEnd reason) {
        endsWith(reason);
        if (context != null) {
            context.close();
        }
    }

    private void endsWith(final WatchEnd reason) {
        end = end == null ? reason : end;
    }

    /** Why it has ended. */
    WatchEnd end() {
        return end == null ? WatchEnd.CLOSED_BY_DISCOVERY : end;
    }

    @Override
    public void handlerAdded(final ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelActive(final ChannelHandlerContext ctx) {
        final var request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, "/discovery/hosts?watch=1&after=" + owner.version());
        request.headers().set(HttpHeaderNames.HOST, host);
        ctx.writeAndFlush(request);
        listen(FIRST_WORD_MS);
    }

    /** Single bytes do not count: a watch may fall silent in the middle of a line, or trickle. */
    private void listen(final int ms) {
        progress = 0;
        if (silence != null) {
            silence.cancel(false);
        }
        silence = context.executor().schedule(() -> close(WatchEnd.SILENT), ms, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
        if (part.decoderResult().isFailure()
                || part instanceof HttpResponse response && response.status().code() != OK) {
            close(WatchEnd.BAD_ANSWER);
            return;
        }
        if (part instanceof HttpResponse) {
            // The agent speaks: its first line, which may be the whole list, has as long as any other.
            listen(SILENT_MS);
        }
        if (part instanceof HttpContent content && owner.isCurrent(this) && !spoilt) {
            read(content.content());
        }
        if (part instanceof LastHttpContent) {
            close(WatchEnd.CLOSED_BY_DISCOVERY);
        }
    }

    private void read(final ByteBuf content) {
        try {
            while (content.isReadable() && owner.isCurrent(this)) {
                final int length = Math.min(chunk.length, content.readableBytes());
                content.readBytes(chunk, 0, length);
                unused += length;
                progress += length;
                parser.feed(chunk, 0, length);
            }
            if (progress >= PROGRESS_BYTES) {
                listen(SILENT_MS);
            }
        } catch (final ListFormatException e) {
            spoilt = true;
            owner.refused(e);
            close(WatchEnd.LIST_REFUSED);
        } catch (final IOException e) {
            throw new IllegalStateException("reading from memory failed", e);
        }
    }

    /** What the parser has read. */
    private final class Lists implements ListParser.Listener {
        @Override
        public void list(final StagedList list) throws ListFormatException {
            listen(SILENT_MS);
            owner.take(list);
            answered = true;
            unused = 0;
        }

        @Override
        public void heartbeat() {
            listen(SILENT_MS);
            unused = 0;
            heartbeats++;
            // The first may come ahead of a list that is spoilt; a second one says that there is no such list.
            owner.unchanged(!answered, heartbeats > 1);
            answered = true;
        }

        @Override
        public void unusable(final String problem) {
            owner.unusable(problem);
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext ctx) {
        lost();
    }

    /** It never came up. */
    void notConnected() {
        endsWith(WatchEnd.NOT_CONNECTED);
        lost();
    }

    /** It has ended, or never came up. */
    private void lost() {
        if (silence != null) {
            silence.cancel(false);
        }
        if (owner.isCurrent(this) && isReceiving()) {
            spoilt = true;
            owner.refused(new ListFormatException(ListFormatException.Fault.BROKEN_OFF, "it breaks off"));
        }
        owner.lost(this);
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
        FatalError.endOn("connection to discovery", cause);
        if (!(cause instanceof IOException) && !(cause instanceof ChannelException)) {
            Log.failure("watch on the list", cause);
        }
        close(WatchEnd.CONNECTION_FAILED);
    }
}
