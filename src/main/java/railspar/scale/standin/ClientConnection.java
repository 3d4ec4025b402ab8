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
 * A client's connection to a courier, kept between messages and opened anew when needed. One message at a time;
 * not thread-safe.
 */
public final class ClientConnection implements AutoCloseable {
    /** How long a client waits for its answer. */
    public static final Duration ANSWER_TIMEOUT = Duration.ofMillis(400);

    private static final int CONNECT_TIMEOUT_MS = 1000;

    private final InetSocketAddress address;
    private final Duration answerTimeout;
    private Socket socket;
    private InputStream in;
    private int opened;

    /** A client of the courier that listens there. */
    public ClientConnection(final InetSocketAddress address) {
        this(address, ANSWER_TIMEOUT);
    }

    /** A client that waits so long for an answer. */
    public ClientConnection(final InetSocketAddress address, final Duration answerTimeout) {
        this.address = address;
        this.answerTimeout = answerTimeout;
    }

    /** Hands a message in and waits for the answer. */
    public HandInAnswer handIn(final HandIn message) {
        final boolean kept = socket != null;
        try {
            return exchange(message);
        } catch (final SocketTimeoutException e) {
            close();
            return HandInAnswer.NONE;
        } catch (final IOException e) {
            close();
            // A courier may close a kept connection while the request crosses: it is sent once more.
            return kept ? handInAnew(message) : HandInAnswer.NONE;
        }
    }

    private HandInAnswer handInAnew(final HandIn message) {
        try {
            return exchange(message);
        } catch (final IOException e) {
            close();
            return HandInAnswer.NONE;
        }
    }

    /** Connections opened so far. */
    public int opened() {
        return opened;
    }

    private HandInAnswer exchange(final HandIn message) throws IOException {
        if (socket == null) {
            open();
        }
        socket.getOutputStream().write(message.request());
        return readAnswer(System.nanoTime() + answerTimeout.toNanos());
    }

    private void open() throws IOException {
        final Socket fresh = new Socket();
        fresh.setTcpNoDelay(true);
        try {
            fresh.connect(address, CONNECT_TIMEOUT_MS);
        } catch (final IOException e) {
            fresh.close();
            throw e;
        }
        socket = fresh;
        in = new BufferedInputStream(fresh.getInputStream());
        opened++;
    }

    private HandInAnswer readAnswer(final long untilNs) throws IOException {
        final String statusLine = line(untilNs);
        final String[] words = statusLine.split(" ");
        if (words.length < 2) {
            throw new IOException("no status line: " + statusLine);
        }
        int length = 0;
        double retryAfter = 0;
        boolean keep = true;
        for (String header = line(untilNs); !header.isEmpty(); header = line(untilNs)) {
            final int colon = header.indexOf(':');
            final String name = header.substring(0, colon).toLowerCase(Locale.ROOT);
            final String value = header.substring(colon + 1).trim();
            switch (name) {
                case "content-length" -> length = Integer.parseInt(value);
                case "retry-after" -> retryAfter = Double.parseDouble(value);
                case "connection" -> keep = !value.equalsIgnoreCase("close");
                default -> {}
            }
        }
        for (int count = 0; count < length; count++) {
            next(untilNs);
        }
        if (!keep) {
            close();
        }
        return HandInAnswer.of(Integer.parseInt(words[1]), retryAfter);
    }

    private String line(final long untilNs) throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = next(untilNs); next != '\n'; next = next(untilNs)) {
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).trim();
    }

    private int next(final long untilNs) throws IOException {
        if (in.available() == 0) {
            final long leftMs = TimeUnit.NANOSECONDS.toMillis(untilNs - System.nanoTime());
            if (leftMs <= 0) {
                throw new SocketTimeoutException("no answer in time");
            }
            socket.setSoTimeout((int) leftMs);
        }
        final int next = in.read();
        if (next < 0) {
            throw new EOFException("the courier closed the connection");
        }
        return next;
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
