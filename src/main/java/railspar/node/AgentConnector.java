package railspar.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;

/** Opens connections to the platform's agent on the event loop and reports their result there. */
final class AgentConnector {
    private final EventLoop loop;
    private final Runnable onDescriptorShortage;

    /** {@code onDescriptorShortage} is run at once if no file descriptor is left for a connection. */
    AgentConnector(final EventLoop loop, final Runnable shortage) {
        this.loop = loop;
        this.onDescriptorShortage = shortage;
    }

    /** Connects with a timeout; then either {@code connected} or {@code failed} is run on the event loop. */
    void connect(
            final InetSocketAddress address,
            final int timeoutMs,
            final Runnable connected,
            final Runnable failed,
            final ChannelHandler... handlers) {
        final ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channelFactory(TrackedSocketChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        channel.pipeline().addLast(handlers);
                    }
                })
                .connect(address);
        if (!connecting.channel().isRegistered()) {
            onDescriptorShortage.run();
        }
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                connected.run();
            } else {
                // Without a free file descriptor, Netty reports the failure on a thread other than the event loop's.
                loop.execute(failed);
            }
        });
    }
}
