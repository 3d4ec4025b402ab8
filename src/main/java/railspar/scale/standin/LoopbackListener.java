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
 * A listening socket on loopback that refuses connections as soon as {@link #close} has returned. It has a selector
 * of its own: the kernel's socket ends only once the selector that it is registered with lets go of it.
 */
final class LoopbackListener implements AutoCloseable {
    private static final int BACKLOG = 4096;

    private final EventLoopGroup acceptor =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("acceptor", true), NioIoHandler.newFactory());
    private final InetSocketAddress address;

    /** Listens at a port of the system's choice; connections live in that group. */
    LoopbackListener(final EventLoopGroup connections, final ChannelInitializer<Channel> initializer) {
        this(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), connections, initializer);
    }

    /** Listens there, port 0 being one of the system's choice. */
    LoopbackListener(
            final InetSocketAddress listen,
            final EventLoopGroup connections,
            final ChannelInitializer<Channel> initializer) {
        if (!listen.getAddress().isLoopbackAddress()) {
            throw new IllegalArgumentException("stand-ins listen on loopback only, not at " + listen);
        }
        address = (InetSocketAddress) new ServerBootstrap()
                .group(acceptor, connections)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childHandler(initializer)
                .bind(listen)
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    InetSocketAddress address() {
        return address;
    }

    @Override
    public void close() {
        acceptor.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
