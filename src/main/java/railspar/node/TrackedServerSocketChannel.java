package railspar.node;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A listening socket whose connections are {@link TrackedSocketChannel}s. */
final class TrackedServerSocketChannel extends NioServerSocketChannel {
    /** A socket that is to be bound. */
    TrackedServerSocketChannel() {}

    /** A socket that listens already. */
    TrackedServerSocketChannel(final ServerSocketChannel listening) {
        super(listening);
    }

    @Override
    protected int doReadMessages(final List<Object> accepted) throws Exception {
        final SocketChannel socket = javaChannel().accept();
        if (socket == null) {
            return 0;
        }
        try {
            accepted.add(new TrackedSocketChannel(this, socket));
            return 1;
        } catch (final RuntimeException e) {
            closeQuietly(socket);
            // Any other kind would close the listening socket too.
            throw new IOException("an accepted connection cannot be set up", e);
        }
    }

    private static void closeQuietly(final SocketChannel socket) {
        try {
            socket.close();
        } catch (final IOException e) {
            Log.info("an accepted connection cannot be closed: " + e.getMessage());
        }
    }
}
