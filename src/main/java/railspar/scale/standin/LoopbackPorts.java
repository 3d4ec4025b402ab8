package railspar.scale.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Loopback addresses for processes whose listening address is set in their configuration. */
public final class LoopbackPorts {
    private LoopbackPorts() {}

    /** An address that is free now, and that the system is least likely to assign to others soon. */
    public static InetSocketAddress findFreeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
    }

    /** Binds a socket without listening, so that its port refuses all connections until the socket is closed. */
    public static Socket bindRefusingSocket() throws IOException {
        final Socket socket = new Socket();
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return socket;
    }
}
