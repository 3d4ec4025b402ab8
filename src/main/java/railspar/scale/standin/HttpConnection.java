package railspar.scale.standin;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;

/** One connection to a simulated HTTP server. All of it runs on the server's event loop; an error closes it. */
abstract class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private ChannelHandlerContext context;

    /** Called once the connection is open. */
    abstract void opened();

    /** Called once the connection is closed. */
    abstract void closed();

    /** The channel context, to which responses are written. */
    final ChannelHandlerContext context() {
        return context;
    }

    /** Closes the connection. */
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
