package railspar.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes the responses on a connection that this process has opened, and decides whether the connection may carry
 * another request. A response counts once, for the oldest request without one. Input that follows it and belongs to no
 * request, such as a second copy or a part of one, is never decoded, and the connection is closed.
 *
 * <p>Surplus input that arrives after the next request has been written cannot be told from its response.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private Channel channel;
    private int openRequests;
    private boolean finalResponse;

    @Override
    public void handlerAdded(final ChannelHandlerContext ctx) throws Exception {
        channel = ctx.channel();
        super.handlerAdded(ctx);
    }

    /** A request is written now: input from here on may be its response. */
    void onRequest() {
        openRequests++;
    }

    /** True if input has been received that belongs to no request, also while a response is being handled. */
    boolean hasSurplus() {
        return openRequests == 0 && actualReadableBytes() > 0;
    }

    /**
     * True if the connection is open and no input waits on it, whether received or still in its socket. Otherwise
     * closes the connection. Only for a connection without an open request.
     */
    boolean isReadyForRequest() {
        final boolean ready = channel.isActive() && !hasSurplus() && !hasUnreadInput();
        if (!ready) {
            channel.close();
        }
        return ready;
    }

    private boolean hasUnreadInput() {
        return channel instanceof TrackedSocketChannel socket && socket.takeUnreadInput();
    }

    @Override
    protected void decode(final ChannelHandlerContext ctx, final ByteBuf input, final List<Object> out)
            throws Exception {
        if (openRequests == 0) {
            input.skipBytes(input.readableBytes());
            ctx.close();
            return;
        }
        final int decodedBefore = out.size();
        super.decode(ctx, input, out);
        out.subList(decodedBefore, out.size()).forEach(this::onDecoded);
    }

    private void onDecoded(final Object part) {
        if (part instanceof HttpResponse response) {
            finalResponse = response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
        }
        if (part instanceof LastHttpContent && finalResponse) {
            openRequests--;
        }
    }
}
