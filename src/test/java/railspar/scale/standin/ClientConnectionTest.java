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

/** A client before a scripted courier: what it sends, and what it makes of each answer. */
@Timeout(60)
final class ClientConnectionTest {
    private static final Duration PATIENCE = Duration.ofSeconds(20);
    private static final byte[] BODY = "hello".getBytes(StandardCharsets.US_ASCII);

    /** Says nothing; the connection stays open. */
    private static final String SILENCE = "";

    private static final String END = "end of the connection";

    /** The heads of all requests, each behind the number of its connection. */
    private final List<String> requests = new CopyOnWriteArrayList<>();

    private ServerSocket server;
    private volatile List<String> script = List.of();

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    @AfterEach
    void end() throws IOException {
        server.close();
    }

    private static void daemon(final Runnable work) {
        final Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            for (int number = 1; ; number++) {
                final Socket socket = server.accept();
                final int connection = number;
                daemon(() -> serve(socket, connection));
            }
        } catch (final IOException e) {
            assert server.isClosed();
        }
    }

    private void serve(final Socket socket, final int connection) {
        try {
            while (true) {
                requests.add(connection + " " + readRequest(socket.getInputStream()));
                final String answer = script.get(requests.size() - 1);
                if (answer.equals(END)) {
                    socket.close();
                    return;
                }
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (final IOException | IndexOutOfBoundsException e) {
            // The client has left, or the script is over.
            return;
        }
    }

    private static String readRequest(final InputStream in) throws IOException {
        final ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            final int next = in.read();
            if (next < 0) {
                throw new IOException("the client has left");
            }
            head.write(next);
        }
        in.readNBytes(BODY.length);
        return head.toString(StandardCharsets.US_ASCII);
    }

    private static String answer(final String status, final String... headers) {
        final String more = headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n";
        return "HTTP/1.1 " + status + "\r\n" + more + "Content-Length: 2\r\n\r\nok";
    }

    private ClientConnection client(final Duration patience) {
        return new ClientConnection(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), patience);
    }

    private static HandIn message(final String id) {
        return new HandIn(id, "ordered", "k7", 480, 7, BODY);
    }

    @Test
    void aMessageIsSentAsTheProtocolShowsItAndTheConnectionIsKept() {
        script = List.of(answer("202 Accepted"), answer("200 OK"));
        try (ClientConnection client = client(PATIENCE)) {
            assertEquals(
                    HandInAnswer.Result.TAKEN_ON, client.handIn(message("m1")).result());
            assertEquals(
                    HandInAnswer.Result.TAKEN_ON, client.handIn(message("m2")).result());
        }
        assertEquals(
                "1 POST /ordered/k7 HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: m1\r\n"
                        + "X-Priority-Class: ordered\r\nX-Timeout-Ms: 480\r\nX-Consignee: dest=7\r\n"
                        + "Content-Length: 5\r\n\r\n",
                requests.get(0));
        assertEquals('1', requests.get(1).charAt(0), "the second one came on the same connection");
    }

    @Test
    void refusalsTellWhenToComeAgainAndOtherAnswersAreFailures() {
        script = List.of(
                answer("503 Service Unavailable", "Retry-After: 0.5"),
                answer("429 Too Many Requests"),
                answer("400 Bad Request"));
        try (ClientConnection client = client(PATIENCE)) {
            assertEquals(new HandInAnswer(HandInAnswer.Result.REFUSED, 503, 0.5), client.handIn(message("m1")));
            assertEquals(new HandInAnswer(HandInAnswer.Result.REFUSED, 429, 0), client.handIn(message("m2")));
            assertEquals(new HandInAnswer(HandInAnswer.Result.FAILED, 400, 0), client.handIn(message("m3")));
        }
    }

    @Test
    void afterAnAnswerThatEndsTheConnectionTheNextMessageOpensOne() {
        script = List.of(answer("202 Accepted", "Connection: close"), answer("202 Accepted"));
        try (ClientConnection client = client(PATIENCE)) {
            client.handIn(message("m1"));
            client.handIn(message("m2"));
            assertEquals(2, client.opened());
        }
        assertEquals('2', requests.get(1).charAt(0));
    }

    @Test
    void withoutAnAnswerInTimeTheConnectionIsGivenUp() {
        script = List.of(SILENCE, answer("202 Accepted"));
        try (ClientConnection client = client(Duration.ofMillis(30))) {
            assertEquals(
                    HandInAnswer.Result.NO_ANSWER, client.handIn(message("m1")).result());
        }
        try (ClientConnection client = client(PATIENCE)) {
            assertEquals(
                    HandInAnswer.Result.TAKEN_ON, client.handIn(message("m2")).result());
        }
        assertEquals(2, requests.size(), "a message that may have been read is not sent again");
    }

    @Test
    void aKeptConnectionThatTheCourierClosesMakesTheMessageGoOnceMore() {
        script = List.of(answer("202 Accepted"), END, answer("202 Accepted"));
        try (ClientConnection client = client(PATIENCE)) {
            client.handIn(message("m1"));
            assertEquals(
                    HandInAnswer.Result.TAKEN_ON, client.handIn(message("m2")).result());
        }
        assertEquals(3, requests.size());
        assertEquals(requests.get(1).substring(1), requests.get(2).substring(1), "the same message");
    }

    @Test
    void aFreshConnectionThatTheCourierClosesEndsInNoAnswer() {
        script = List.of(END);
        try (ClientConnection client = client(PATIENCE)) {
            assertEquals(
                    HandInAnswer.Result.NO_ANSWER, client.handIn(message("m1")).result());
        }
        assertEquals(1, requests.size());
    }
}
