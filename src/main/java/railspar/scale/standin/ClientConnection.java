package railspar.scale.standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * A client's persistent connection to a courier, reopened when needed. It carries one message at a time. Not
 * thread-safe.
 */
public final class ClientConnection implements AutoCloseable {
    /** How long a client waits for the response to a message. */
    public static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(400);

    private static final int CONNECT_TIMEOUT_MS = 1000;

    private final InetSocketAddress address;
    private final Duration responseTimeout;
    private Socket socket;
    private InputStream in;
    private int connectionCount;

    /** Creates a client of the courier at the address, without connecting yet. */
    public ClientConnection(final InetSocketAddress address) {
        this(address, RESPONSE_TIMEOUT);
    }

    /** Creates a client with its own response timeout, without connecting yet. */
    public ClientConnection(final InetSocketAddress address, final Duration responseTimeout) {
        this.address = address;
        this.responseTimeout = responseTimeout;
    }

    /** Submits a message and waits for the response. */
    public SubmissionResponse submit(final ClientMessage message) {
        final boolean reused = socket != null;
        try {
            return exchange(message);
        } catch (final SocketTimeoutException e) {
            close();
            return SubmissionResponse.NO_RESPONSE;
        } catch (final IOException e) {
            close();
            // The courier may have closed the persistent connection while the request was in transit: retry once.
            return reused ? resubmit(message) : SubmissionResponse.NO_RESPONSE;
        }
    }

    private SubmissionResponse resubmit(final ClientMessage message) {
        try {
            return exchange(message);
        } catch (final IOException e) {
            close();
            return SubmissionResponse.NO_RESPONSE;
        }
    }

    /** The number of connections opened so far. */
    public int connectionCount() {
        return connectionCount;
    }

    private SubmissionResponse exchange(final ClientMessage message) throws IOException {
        if (socket == null) {
            open();
        }
        socket.getOutputStream().write(message.toRequest());
        return readResponse(System.nanoTime() + responseTimeout.toNanos());
    }

    private void open() throws IOException {
        final Socket newSocket = new Socket();
        newSocket.setTcpNoDelay(true);
        try {
            newSocket.connect(address, CONNECT_TIMEOUT_MS);
        } catch (final IOException e) {
            newSocket.close();
            throw e;
        }
        socket = newSocket;
        in = new BufferedInputStream(newSocket.getInputStream());
        connectionCount++;
    }

    private SubmissionResponse readResponse(final long deadlineNs) throws IOException {
        final String statusLine = readLine(deadlineNs);
        final String[] statusParts = statusLine.split(" ");
        if (statusParts.length < 2) {
            throw new IOException("the response has no valid status line: " + statusLine);
        }
        int contentLength = 0;
        double retryAfter = 0;
        boolean keepAlive = true;
        for (String header = readLine(deadlineNs); !header.isEmpty(); header = readLine(deadlineNs)) {
            final int colon = header.indexOf(':');
            final String name = header.substring(0, colon).toLowerCase(Locale.ROOT);
            final String value = header.substring(colon + 1).trim();
            switch (name) {
                case "content-length" -> contentLength = Integer.parseInt(value);
                case "retry-after" -> retryAfter = Double.parseDouble(value);
                case "connection" -> keepAlive = !value.equalsIgnoreCase("close");
                default -> {}
            }
        }
        for (int count = 0; count < contentLength; count++) {
            readByte(deadlineNs);
        }
        if (!keepAlive) {
            close();
        }
        return SubmissionResponse.of(Integer.parseInt(statusParts[1]), retryAfter);
    }

    private String readLine(final long deadlineNs) throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = readByte(deadlineNs); next != '\n'; next = readByte(deadlineNs)) {
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).trim();
    }

    private int readByte(final long deadlineNs) throws IOException {
        if (in.available() == 0) {
            final long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
            if (remainingMs <= 0) {
                throw new SocketTimeoutException("the courier did not respond in time");
            }
            socket.setSoTimeout((int) remainingMs);
        }
        final int value = in.read();
        if (value < 0) {
            throw new EOFException("the courier closed the connection before the end of its response");
        }
        return value;
    }

    @Override
    public void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (final IOException e) {
                throw new UncheckedIOException(e);
            } finally {
                socket = null;
            }
        }
    }
}
