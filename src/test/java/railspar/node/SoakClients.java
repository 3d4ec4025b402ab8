package railspar.node;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Clients of a real courier. Each submits one message after another on a connection that it keeps until the courier
 * closes it, and waits for each response until the timeout of the protocol.
 */
final class SoakClients {
    private static final int RESPONSE_TIMEOUT_MS = 400;
    private static final int MIN_TIMEOUT_MS = 1500;
    private static final int TIMEOUT_RANGE_MS = 4000;

    private final CourierProcessFixture fixture;
    private final SoakRecord record;
    private final long seed;
    private final Function<Random, String> messageClasses;
    private final int minPauseMs;
    private final int maxPauseMs;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicInteger lastNumber = new AtomicInteger();
    private volatile boolean submitting = true;

    /**
     * Creates the clients. {@code messageClasses} draws the class of each message; between two messages a client
     * pauses for a random time within the given bounds.
     */
    SoakClients(
            final CourierProcessFixture fixture,
            final SoakRecord record,
            final long seed,
            final Function<Random, String> messageClasses,
            final int minPauseMs,
            final int maxPauseMs) {
        this.fixture = fixture;
        this.record = record;
        this.seed = seed;
        this.messageClasses = messageClasses;
        this.minPauseMs = minPauseMs;
        this.maxPauseMs = maxPauseMs;
    }

    void start(final int count) {
        for (int number = 0; number < count; number++) {
            final int client = number;
            final Thread thread = new Thread(() -> run(client), "client " + client);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    /** Stops the submission of further messages. */
    void end() {
        submitting = false;
    }

    /** As {@link #end}, and waits until all clients have finished. */
    void stop() throws InterruptedException {
        end();
        for (final Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(5));
        }
    }

    private void run(final int number) {
        final Random random = new Random(seed + number);
        Socket socket = null;
        while (submitting) {
            try {
                if (socket == null) {
                    socket = fixture.connect();
                    socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
                }
                if (!submit(socket, number, random)) {
                    socket.close();
                    socket = null;
                }
                Thread.sleep(minPauseMs + random.nextInt(maxPauseMs - minPauseMs));
            } catch (final IOException e) {
                socket = null;
            } catch (final InterruptedException e) {
                return;
            }
        }
    }

    /** Submits a message; returns false if the connection cannot be used any more. */
    private boolean submit(final Socket socket, final int client, final Random random) throws IOException {
        final String messageClass = messageClasses.apply(random);
        final String id = messageClass + "-" + client + "-" + lastNumber.incrementAndGet();
        final String key = messageClass.equals("turn") ? "key" + client : null;
        final long timeoutMs = MIN_TIMEOUT_MS + random.nextInt(TIMEOUT_RANGE_MS);
        final String text = (key == null
                        ? CourierProcessFixture.message(id, messageClass)
                        : CourierProcessFixture.orderedMessage(id, key))
                .replace("X-Timeout-Ms: 20000", "X-Timeout-Ms: " + timeoutMs);
        final SoakRecord.Message message = new SoakRecord.Message(id, messageClass, key, record.nowMs(), timeoutMs);
        record.submitted(message);
        try {
            final CourierProcessFixture.Answer answer = CourierProcessFixture.send(socket, text);
            message.answeredMs = record.nowMs();
            message.status = answer.status();
            return answer.status() != 0 && !answer.head().contains("connection: close");
        } catch (final SocketTimeoutException e) {
            return false;
        }
    }
}
