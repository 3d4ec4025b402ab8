package railspar.scale.standin;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;

/** One connection to an HTTP stand-in; all of it runs on the server's event loop. An error ends it. */
abstract class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private ChannelHandlerContext context;

    /** The connection stands. */
    abstract void opened();

    /** The connection has ended. */
    abstract void closed();

    /** Where answers are written. */
    final ChannelHandlerContext context() {
        return context;
    }

    /** Ends the connection. */
    final void close() {
        context.close();
    }

    @Override
    public final void channelActive(final ChannelHandlerContext ctx) {
        context = ctx;
        opened();
    }

    @Override
    public final void channelInactive(final ChannelHandlerContext ctx) {
        closed();
    }

    @Override
    public final void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
        ctx.close();
    }
}
