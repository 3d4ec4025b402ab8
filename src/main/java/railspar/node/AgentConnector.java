package railspar.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;

/** Opens connections to the platform's agent on the event loop, which also hears how they fared. */
final class AgentConnector {
    private final EventLoop loop;
    private final Runnable shortage;

    /** {@code shortage} is run at once where no descriptor is left for a connection. */
    AgentConnector(final EventLoop loop, final Runnable shortage) {
        this.loop = loop;
        this.shortage = shortage;
    }

    /** Connects with these handlers, for so long at most; then one of the two tasks is run on the event loop. */
    void connect(
            final InetSocketAddress address,
            final int timeoutMs,
            final Runnable connected,
            final Runnable failed,
            final ChannelHandler... handlers) {
        final ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        channel.pipeline().addLast(handlers);
                    }
                })
                .connect(address);
        if (!connecting.channel().isRegistered()) {
            shortage.run();
        }
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                connected.run();
            } else {
                // With no descriptor left this is told on a thread of Netty's, not on the loop's.
                loop.execute(failed);
            }
        });
    }
}
