package railspar.node;

import io.netty.channel.socket.SocketChannel;

/** Ends the sending on a connection whose peer may still be heard. */
final class HalfClose {
    private HalfClose() {}

    /** Closes the connection at once where that fails: the peer must see an end in any case. */
    static void shutdownOutputOrClose(final SocketChannel connection) {
        connection.shutdownOutput().addListener(done -> {
            if (!done.isSuccess()) {
                connection.close();
            }
        });
    }
}
