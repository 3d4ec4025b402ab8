package railspar.scale.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Addresses on loopback for processes that are told where to listen. */
public final class LoopbackPorts {
    private LoopbackPorts() {}

    /** An address that is free just now, and that the system hands out to others last. */
    public static InetSocketAddress free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
    }

    /** A socket that holds a port and refuses all connections to it until it is closed. */
    public static Socket refusing() throws IOException {
        final Socket socket = new Socket();
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return socket;
    }
}
