package railspar.scale.real;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Sends commands to a courier's management address, each as one line on a connection of its own. */
public final class ManagementClient {
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int RESPONSE_TIMEOUT_MS = 5000;
    private static final String METRIC_PREFIX = "edge_proxy.";

    private final InetSocketAddress address;

    /** Creates a client for the courier with this management address. */
    public ManagementClient(final InetSocketAddress address) {
        this.address = address;
    }

    /** Sends one command and returns the response, read until the connection ends. */
    public String call(final String line) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_TIMEOUT_MS);
            socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** All metrics, by their names without the common prefix. */
    public Map<String, Long> metrics() throws IOException {
        final Map<String, Long> metrics = new HashMap<>();
        for (final String line : call("DUMP").split("\n")) {
            final int equals = line.indexOf('=');
            if (line.startsWith(METRIC_PREFIX) && equals > 0) {
                metrics.put(line.substring(METRIC_PREFIX.length(), equals), Long.parseLong(line.substring(equals + 1)));
            }
        }
        return metrics;
    }

    /** The number of endpoints in the courier's list, or -1 if it is not reported. */
    public long discovered() throws IOException {
        return metrics().getOrDefault("discovered", -1L);
    }

    /** The number of open messages, or -1 if it is not reported. */
    public long outstanding() throws IOException {
        return metrics().getOrDefault("outstanding", -1L);
    }
}
