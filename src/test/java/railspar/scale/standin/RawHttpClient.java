package railspar.scale.standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A plain HTTP client for tests: it reads a chunked answer line by line and counts all bytes it reads. */
final class RawHttpClient implements AutoCloseable {
    private static final int PATIENCE_MS = 20_000;
    private static final int HEX = 16;

    private final Socket socket;
    private final InputStream in;
    private long bytesRead;
    private long bytesWritten;
    private byte[] chunk = {};
    private int position;
    private String statusLine;
    private String retryAfter;

    RawHttpClient(final InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(PATIENCE_MS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and reads the head of its answer; the result is the value of Content-Length, or -1. */
    int request(final String head, final String body, final String... headers) throws IOException {
        send(head, body, headers);
        return readHead();
    }

    void send(final String head, final String body, final String... headers) throws IOException {
        final String more = headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n";
        final byte[] bytes = (head + " HTTP/1.1\r\nHost: x\r\n" + more + "Content-Length: " + body.length() + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.UTF_8);
        socket.getOutputStream().write(bytes);
        bytesWritten += bytes.length;
    }

    int readHead() throws IOException {
        statusLine = headLine();
        int length = -1;
        retryAfter = null;
        for (String line = headLine(); !line.isEmpty(); line = headLine()) {
            final String name = line.substring(0, line.indexOf(':')).toLowerCase(Locale.ROOT);
            final String value = line.substring(line.indexOf(':') + 1).trim();
            if (name.equals("content-length")) {
                length = Integer.parseInt(value);
            } else if (name.equals("retry-after")) {
                retryAfter = value;
            }
        }
        return length;
    }

    int status() {
        return Integer.parseInt(statusLine.split(" ")[1]);
    }

    /** The time to wait that the last answer told, or null. */
    String retryAfter() {
        return retryAfter;
    }

    String body(final int length) throws IOException {
        bytesRead += length;
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    /**
     * The next line of a chunked answer without its line feed, or null where the answer ends in the middle of one.
     */
    String line() throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = next(); next != '\n'; next = next()) {
            if (next < 0) {
                return null;
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** The next byte inside the chunks, or -1. */
    int next() throws IOException {
        if (position == chunk.length) {
            final String size = headLine();
            final int length = size.isEmpty() ? 0 : Integer.parseInt(size, HEX);
            if (length == 0) {
                return -1;
            }
            chunk = in.readNBytes(length);
            position = 0;
            bytesRead += chunk.length;
            headLine();
        }
        return chunk[position++] & 0xff;
    }

    long bytesRead() {
        return bytesRead;
    }

    long bytesWritten() {
        return bytesWritten;
    }

    private String headLine() throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            line.write(next);
            bytesRead++;
        }
        bytesRead++;
        return line.toString(StandardCharsets.UTF_8).trim();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
