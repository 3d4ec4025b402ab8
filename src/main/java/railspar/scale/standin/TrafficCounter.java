package railspar.scale.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.net.InetSocketAddress;

/**
 * Counts the bytes of one connection, as the first handler of its pipeline. Only the event loop writes the counts; any
 * thread may read them.
 */
final class TrafficCounter extends ChannelDuplexHandler {
    private final long number;
    private volatile InetSocketAddress peer;
    private volatile long bytesIn;
    private volatile long bytesOut;
    private volatile int wholeLists;
    private volatile int changeLines;
    private volatile boolean open = true;

    TrafficCounter(final long number) {
        this.number = number;
    }

    void countWholeList() {
        wholeLists = wholeLists + 1;
    }

    void countChangeLine() {
        changeLines = changeLines + 1;
    }

    ConnectionTraffic snapshot() {
        return new ConnectionTraffic(number, peer, bytesIn, bytesOut, wholeLists, changeLines, open);
    }

    @Override
    public void channelActive(final ChannelHandlerContext ctx) {
        peer = (InetSocketAddress) ctx.channel().remoteAddress();
        ctx.fireChannelActive();
    }

    @Override
    public void channelInactive(final ChannelHandlerContext ctx) {
        open = false;
        ctx.fireChannelInactive();
    }

    @Override
    public void channelRead(final ChannelHandlerContext ctx, final Object message) {
        bytesIn = bytesIn + ((ByteBuf) message).readableBytes();
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(final ChannelHandlerContext ctx, final Object message, final ChannelPromise promise) {
        final int bytes = ((ByteBuf) message).readableBytes();
        ctx.write(message, promise.unvoid().addListener(future -> {
            if (future.isSuccess()) {
                bytesOut = bytesOut + bytes;
            }
        }));
    }
}
