package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests for a reload that cross each other and crossing replacements of the file. */
@Timeout(60)
final class ConfigReloaderTest {
    private static final int TIMEOUT_S = 20;

    /** The discovery port in the file. */
    private final AtomicInteger port = new AtomicInteger(1);

    private final List<Integer> applied = new CopyOnWriteArrayList<>();

    private static Config config(final int discoveryPort) throws Config.BadConfigException {
        final String text = """
                {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","state":"state","seed":"1",
                 "settings":{"classes":[{"name":"safe"}]}}""".formatted(discoveryPort);
        try {
            return Config.parse(new ObjectMapper().readTree(text), Map.of());
        } catch (final IOException e) {
            throw new Config.BadConfigException(e.getMessage());
        }
    }

    private void apply(final Config config) {
        applied.add(config.discovery().getPort());
    }

    private static void await(final CountDownLatch latch) {
        try {
            assertTrue(latch.await(TIMEOUT_S, TimeUnit.SECONDS));
        } catch (final InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against a configuration read before a signal that is applied after the one read because of it. */
    @Test
    void theConfigurationOfTheLastRequestIsAppliedLastThoughAnEarlierReadEndsAfterIt() throws Exception {
        final CountDownLatch firstHasRead = new CountDownLatch(1);
        final CountDownLatch secondIsRequested = new CountDownLatch(1);
        final AtomicInteger reads = new AtomicInteger();
        final ConfigReloader reloader = new ConfigReloader(
                () -> {
                    final Config read = config(port.get());
                    if (reads.incrementAndGet() == 1) {
                        firstHasRead.countDown();
                        await(secondIsRequested);
                    }
                    return read;
                },
                this::apply);
        final CompletableFuture<Void> first = CompletableFuture.runAsync(reloader::reload);
        await(firstHasRead);
        port.set(2);
        CompletableFuture.runAsync(reloader::reload).get(TIMEOUT_S, TimeUnit.SECONDS);
        secondIsRequested.countDown();
        first.get(TIMEOUT_S, TimeUnit.SECONDS);
        assertEquals(List.of(1, 2), applied);
    }

    /** Guards against a request that is lost because it comes as the read before it ends, or as that read fails. */
    @Test
    void requestDuringAReadThatFailsOrHasEndedIsServed() {
        final AtomicInteger reads = new AtomicInteger();
        final ConfigReloader[] reloader = new ConfigReloader[1];
        reloader[0] = new ConfigReloader(
                () -> {
                    if (reads.incrementAndGet() == 1) {
                        reloader[0].reload();
                        throw new Config.BadConfigException("being written");
                    }
                    return config(port.get());
                },
                config -> {
                    apply(config);
                    if (port.getAndSet(2) == 1) {
                        reloader[0].reload();
                    }
                });
        reloader[0].reload();
        assertEquals(List.of(1, 2), applied);
        port.set(3);
        reloader[0].reload();
        assertEquals(List.of(1, 2, 3), applied, "a later request is served as well");
    }

    /** Guards against signals in a row that each read a bad file for seconds, one behind the other. */
    @Test
    void requestsInARowAreServedByOneReadMore() {
        final AtomicInteger reads = new AtomicInteger();
        final ConfigReloader[] reloader = new ConfigReloader[1];
        reloader[0] = new ConfigReloader(
                () -> {
                    if (reads.incrementAndGet() == 1) {
                        for (int request = 0; request < 100; request++) {
                            reloader[0].reload();
                        }
                    }
                    return config(port.get());
                },
                this::apply);
        reloader[0].reload();
        assertEquals(2, reads.get());
    }
}
