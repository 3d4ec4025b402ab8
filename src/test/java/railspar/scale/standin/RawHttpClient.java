package railspar.scale.standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A plain HTTP client for tests. It reads a chunked response line by line and counts the bytes of both directions. */
final class RawHttpClient implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 20_000;
    private static final int CHUNK_SIZE_RADIX = 16;

    private final Socket socket;
    private final InputStream in;
    private long bytesRead;
    private long bytesWritten;
    private byte[] chunk = {};
    private int chunkPosition;
    private String statusLine;
    private String retryAfter;

    RawHttpClient(final InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request, reads the head of the response and returns the value of Content-Length, or -1. */
    int request(final String requestLine, final String body, final String... headers) throws IOException {
        send(requestLine, body, headers);
        return readHead();
    }

    void send(final String requestLine, final String body, final String... headers) throws IOException {
        final String headerLines = headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n";
        final byte[] bytes = (requestLine + " HTTP/1.1\r\nHost: x\r\n" + headerLines + "Content-Length: "
                        + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
        socket.getOutputStream().write(bytes);
        bytesWritten += bytes.length;
    }

    int readHead() throws IOException {
        statusLine = readHeadLine();
        int length = -1;
        retryAfter = null;
        for (String line = readHeadLine(); !line.isEmpty(); line = readHeadLine()) {
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

    /** The value of Retry-After in the last response, or null. */
    String retryAfter() {
        return retryAfter;
    }

    String body(final int length) throws IOException {
        bytesRead += length;
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    /** The next line of a chunked response without its line feed, or null if the response ends within a line. */
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

    /** The next byte of the chunks' content, or -1 at the end. */
    int next() throws IOException {
        if (chunkPosition == chunk.length) {
            final String size = readHeadLine();
            final int length = size.isEmpty() ? 0 : Integer.parseInt(size, CHUNK_SIZE_RADIX);
            if (length == 0) {
                return -1;
            }
            chunk = in.readNBytes(length);
            chunkPosition = 0;
            bytesRead += chunk.length;
            readHeadLine();
        }
        return chunk[chunkPosition++] & 0xff;
    }

    long bytesRead() {
        return bytesRead;
    }

    long bytesWritten() {
        return bytesWritten;
    }

    private String readHeadLine() throws IOException {
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
