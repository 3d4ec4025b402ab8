package railspar.scale.real;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Calls a courier's second address: one line, one answer. */
public final class ManagementClient {
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int ANSWER_TIMEOUT_MS = 5000;
    private static final String PREFIX = "edge_proxy.";

    private final InetSocketAddress address;

    /** A client of the courier that listens there. */
    public ManagementClient(final InetSocketAddress address) {
        this.address = address;
    }

    /** The answer to one call, to the end of the connection. */
    public String call(final String line) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_TIMEOUT_MS);
            socket.setSoTimeout(ANSWER_TIMEOUT_MS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** All figures, by their names without the common prefix. */
    public Map<String, Long> figures() throws IOException {
        final Map<String, Long> figures = new HashMap<>();
        for (final String line : call("DUMP").split("\n")) {
            final int equals = line.indexOf('=');
            if (line.startsWith(PREFIX) && equals > 0) {
                figures.put(line.substring(PREFIX.length(), equals), Long.parseLong(line.substring(equals + 1)));
            }
        }
        return figures;
    }

    /** How many endpoints the courier has in its list. */
    public long discovered() throws IOException {
        return figures().getOrDefault("discovered", -1L);
    }

    /** How many messages it holds. */
    public long outstanding() throws IOException {
        return figures().getOrDefault("outstanding", -1L);
    }
}
