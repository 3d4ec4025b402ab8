package railspar.scale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs a client against a scripted courier and checks its requests and how it interprets the responses. */
@Timeout(60)
final class ClientConnectionTest {
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
    private static final byte[] BODY = "hello".getBytes(StandardCharsets.US_ASCII);

    /** The courier sends nothing and leaves the connection open. */
    private static final String NO_RESPONSE_BYTES = "";

    private static final String CLOSE_CONNECTION = "end of the connection";

    /** The heads of all requests, each prefixed with the number of its connection. */
    private final List<String> requests = new CopyOnWriteArrayList<>();

    private ServerSocket server;
    private volatile List<String> scriptedResponses = List.of();

    @BeforeEach
    void startServer() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemonThread(this::acceptConnections);
    }

    @AfterEach
    void stopServer() throws IOException {
        server.close();
    }

    private static void startDaemonThread(final Runnable work) {
        final Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        try {
            for (int number = 1; ; number++) {
                final Socket socket = server.accept();
                final int connection = number;
                startDaemonThread(() -> serve(socket, connection));
            }
        } catch (final IOException e) {
            assert server.isClosed();
        }
    }

    private void serve(final Socket socket, final int connection) {
        try {
            while (true) {
                requests.add(connection + " " + readRequest(socket.getInputStream()));
                final String response = scriptedResponses.get(requests.size() - 1);
                if (response.equals(CLOSE_CONNECTION)) {
                    socket.close();
                    return;
                }
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (final IOException | IndexOutOfBoundsException e) {
            // The client closed the connection, or there are no more scripted responses.
            return;
        }
    }

    private static String readRequest(final InputStream in) throws IOException {
        final ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            final int next = in.read();
            if (next < 0) {
                throw new IOException("the client closed the connection");
            }
            head.write(next);
        }
        in.readNBytes(BODY.length);
        return head.toString(StandardCharsets.US_ASCII);
    }

    private static String response(final String status, final String... headers) {
        final String headerLines = headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n";
        return "HTTP/1.1 " + status + "\r\n" + headerLines + "Content-Length: 2\r\n\r\nok";
    }

    private ClientConnection client(final Duration responseTimeout) {
        return new ClientConnection(
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), responseTimeout);
    }

    private static ClientMessage message(final String id) {
        return new ClientMessage(id, "ordered", "k7", 480, 7, BODY);
    }

    @Test
    void sendsTheRequestOfTheProtocolAndReusesTheConnection() {
        scriptedResponses = List.of(response("202 Accepted"), response("200 OK"));
        try (ClientConnection client = client(LONG_TIMEOUT)) {
            assertEquals(
                    SubmissionResponse.Result.ACCEPTED,
                    client.submit(message("m1")).result());
            assertEquals(
                    SubmissionResponse.Result.ACCEPTED,
                    client.submit(message("m2")).result());
        }
        assertEquals(
                "1 POST /ordered/k7 HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: m1\r\n"
                        + "X-Priority-Class: ordered\r\nX-Timeout-Ms: 480\r\nX-Consignee: dest=7\r\n"
                        + "Content-Length: 5\r\n\r\n",
                requests.get(0));
        assertEquals('1', requests.get(1).charAt(0), "the second message uses the same connection");
    }

    @Test
    void mapsStatusAndRetryAfterToResults() {
        scriptedResponses = List.of(
                response("503 Service Unavailable", "Retry-After: 0.5"),
                response("429 Too Many Requests"),
                response("400 Bad Request"));
        try (ClientConnection client = client(LONG_TIMEOUT)) {
            assertEquals(
                    new SubmissionResponse(SubmissionResponse.Result.REJECTED, 503, 0.5), client.submit(message("m1")));
            assertEquals(
                    new SubmissionResponse(SubmissionResponse.Result.REJECTED, 429, 0), client.submit(message("m2")));
            assertEquals(
                    new SubmissionResponse(SubmissionResponse.Result.FAILED, 400, 0), client.submit(message("m3")));
        }
    }

    @Test
    void reconnectsAfterAResponseWithConnectionClose() {
        scriptedResponses = List.of(response("202 Accepted", "Connection: close"), response("202 Accepted"));
        try (ClientConnection client = client(LONG_TIMEOUT)) {
            client.submit(message("m1"));
            client.submit(message("m2"));
            assertEquals(2, client.connectionCount());
        }
        assertEquals('2', requests.get(1).charAt(0));
    }

    @Test
    void doesNotRetryAfterATimeout() {
        scriptedResponses = List.of(NO_RESPONSE_BYTES, response("202 Accepted"));
        try (ClientConnection client = client(Duration.ofMillis(30))) {
            assertEquals(
                    SubmissionResponse.Result.NO_RESPONSE,
                    client.submit(message("m1")).result());
        }
        try (ClientConnection client = client(LONG_TIMEOUT)) {
            assertEquals(
                    SubmissionResponse.Result.ACCEPTED,
                    client.submit(message("m2")).result());
        }
        assertEquals(2, requests.size(), "a message that the courier may have read is not sent again");
    }

    @Test
    void retriesOnceWhenAReusedConnectionIsClosed() {
        scriptedResponses = List.of(response("202 Accepted"), CLOSE_CONNECTION, response("202 Accepted"));
        try (ClientConnection client = client(LONG_TIMEOUT)) {
            client.submit(message("m1"));
            assertEquals(
                    SubmissionResponse.Result.ACCEPTED,
                    client.submit(message("m2")).result());
        }
        assertEquals(3, requests.size());
        assertEquals(requests.get(1).substring(1), requests.get(2).substring(1), "the retry sends the same message");
    }

    @Test
    void doesNotRetryWhenANewConnectionIsClosed() {
        scriptedResponses = List.of(CLOSE_CONNECTION);
        try (ClientConnection client = client(LONG_TIMEOUT)) {
            assertEquals(
                    SubmissionResponse.Result.NO_RESPONSE,
                    client.submit(message("m1")).result());
        }
        assertEquals(1, requests.size());
    }
}
