package railspar.node;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A listening socket whose connections are {@link TrackedSocketChannel}s. */
final class TrackedServerSocketChannel extends NioServerSocketChannel {
    /** Creates an unbound socket. */
    TrackedServerSocketChannel() {}

    /** Wraps a socket that is already listening. */
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
            // Any other exception type would close the listening socket too.
            throw new IOException("cannot set up an accepted connection", e);
        }
    }

    private static void closeQuietly(final SocketChannel socket) {
        try {
            socket.close();
        } catch (final IOException e) {
            Log.info("cannot close an accepted connection after its setup failed: " + e.getMessage());
        }
    }
}
