package railspar.scale.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * A listening socket on loopback that refuses connections once {@link #close} has returned. It has its own selector,
 * because the kernel closes a socket only once the selector that it is registered with has released it.
 */
final class LoopbackListener implements AutoCloseable {
    private static final int BACKLOG = 4096;

    private final EventLoopGroup acceptorGroup =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("acceptor", true), NioIoHandler.newFactory());
    private final InetSocketAddress address;

    /** Listens on a free port; the accepted connections run on the given event loop group. */
    LoopbackListener(final EventLoopGroup connectionGroup, final ChannelInitializer<Channel> initializer) {
        this(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), connectionGroup, initializer);
    }

    /** Listens on the address; port 0 stands for any free port. */
    LoopbackListener(
            final InetSocketAddress listenAddress,
            final EventLoopGroup connectionGroup,
            final ChannelInitializer<Channel> initializer) {
        if (!listenAddress.getAddress().isLoopbackAddress()) {
            throw new IllegalArgumentException(
                    "simulated servers listen on loopback addresses only, not on " + listenAddress);
        }
        address = (InetSocketAddress) new ServerBootstrap()
                .group(acceptorGroup, connectionGroup)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childHandler(initializer)
                .bind(listenAddress)
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    InetSocketAddress address() {
        return address;
    }

    @Override
    public void close() {
        acceptorGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
