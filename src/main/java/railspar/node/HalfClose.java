package railspar.node;

import io.netty.channel.socket.SocketChannel;

/** Closes the sending half of a connection, so that data from its peer can still be read. */
final class HalfClose {
    private HalfClose() {}

    /** Shuts down the output, or closes the connection if that fails: the peer must see an end in any case. */
    static void shutdownOutputOrClose(final SocketChannel connection) {
        connection.shutdownOutput().addListener(done -> {
            if (!done.isSuccess()) {
                connection.close();
            }
        });
    }
}
