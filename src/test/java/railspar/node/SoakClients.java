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
 * Clients of a real courier. Each hands in one message after another on a connection that it keeps for as long as the
 * courier does, and waits for each answer as long as the protocol says.
 */
final class SoakClients {
    private static final int ANSWER_MS = 400;
    private static final int LEAST_TIME_MS = 1500;
    private static final int TIME_RANGE_MS = 4000;

    private final CourierProcessFixture rig;
    private final SoakRecord record;
    private final long seed;
    private final Function<Random, String> kinds;
    private final int leastPauseMs;
    private final int mostPauseMs;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicInteger numbers = new AtomicInteger();
    private volatile boolean handingIn = true;

    /** {@code kinds} draws the class of each message; between two of them a client rests within those bounds. */
    SoakClients(
            final CourierProcessFixture rig,
            final SoakRecord record,
            final long seed,
            final Function<Random, String> kinds,
            final int leastPauseMs,
            final int mostPauseMs) {
        this.rig = rig;
        this.record = record;
        this.seed = seed;
        this.kinds = kinds;
        this.leastPauseMs = leastPauseMs;
        this.mostPauseMs = mostPauseMs;
    }

    void start(final int count) {
        for (int number = 0; number < count; number++) {
            final int own = number;
            final Thread thread = new Thread(() -> run(own), "client " + own);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    /** No message is handed in any more. */
    void end() {
        handingIn = false;
    }

    /** As above, and all have the answers that will come. */
    void stop() throws InterruptedException {
        end();
        for (final Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(5));
        }
    }

    private void run(final int number) {
        final Random own = new Random(seed + number);
        Socket socket = null;
        while (handingIn) {
            try {
                if (socket == null) {
                    socket = rig.connect();
                    socket.setSoTimeout(ANSWER_MS);
                }
                if (!handIn(socket, number, own)) {
                    socket.close();
                    socket = null;
                }
                Thread.sleep(leastPauseMs + own.nextInt(mostPauseMs - leastPauseMs));
            } catch (final IOException e) {
                socket = null;
            } catch (final InterruptedException e) {
                return;
            }
        }
    }

    /** False if the connection is of no more use. */
    private boolean handIn(final Socket socket, final int client, final Random own) throws IOException {
        final String kind = kinds.apply(own);
        final String id = kind + "-" + client + "-" + numbers.incrementAndGet();
        final String key = kind.equals("turn") ? "key" + client : null;
        final long timeoutMs = LEAST_TIME_MS + own.nextInt(TIME_RANGE_MS);
        final String text = (key == null
                        ? CourierProcessFixture.message(id, kind)
                        : CourierProcessFixture.orderedMessage(id, key))
                .replace("X-Timeout-Ms: 20000", "X-Timeout-Ms: " + timeoutMs);
        final SoakRecord.Message message = new SoakRecord.Message(id, kind, key, record.nowMs(), timeoutMs);
        record.handedIn(message);
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
