package driftchute.scale.real;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import driftchute.scale.standin.DiscoveryServer;
import driftchute.scale.standin.EndpointEntry;
import driftchute.scale.standin.FleetPlan;
import driftchute.scale.standin.ListHistory;
import driftchute.scale.standin.LoopbackPorts;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A real courier before the stand-in of discovery: it starts, follows the list, is killed and starts again. */
@Timeout(120)
final class RealCourierTest {
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final int ENDPOINTS = 85;

    @TempDir
    private Path folder;

    private static String command() {
        return "exec \"" + System.getProperty("java.home") + "/bin/java\" -Xmx64m -XX:+UseSerialGC"
                + " -XX:TieredStopAtLevel=1 -cp \"" + System.getProperty("java.class.path")
                + "\" driftchute.node.Main";
    }

    @Test
    void itFollowsTheListAndStartsAgainAfterAKill() throws IOException {
        try (Socket closed = LoopbackPorts.refusing()) {
            final List<EndpointEntry> list =
                    new FleetPlan(1, 50, 1.7, 0, 1, 1, 1).endpoints((InetSocketAddress) closed.getLocalSocketAddress());
            final ListHistory history = new ListHistory(list);
            try (DiscoveryServer discovery = new DiscoveryServer(history);
                    RealCourier courier = courier(discovery)) {
                courier.start();
                assertTrue(courier.awaitReady(PATIENCE).isPresent(), () -> log(courier));
                assertTrue(courier.awaitDiscovered(ENDPOINTS, PATIENCE).isPresent(), () -> log(courier));
                assertTrue(courier.sample().residentBytes() > 0);
                final long version = history.change(List.of(list.get(0).withHealth(EndpointEntry.Health.TERMINATING)));
                assertTrue(courier.awaitListVersion(version, PATIENCE), () -> log(courier));
                courier.kill();
                assertFalse(courier.isAlive());
                courier.start();
                assertTrue(courier.awaitReady(PATIENCE).isPresent(), () -> log(courier));
                assertTrue(courier.awaitDiscovered(ENDPOINTS, PATIENCE).isPresent(), () -> log(courier));
                assertEquals(0, courier.management().outstanding());
            }
        }
    }

    private RealCourier courier(final DiscoveryServer discovery) throws IOException {
        return new RealCourier(
                command(),
                Path.of("").toAbsolutePath(),
                folder,
                new CourierConfiguration(
                        "n0",
                        LoopbackPorts.free(),
                        LoopbackPorts.free(),
                        discovery.address(),
                        CourierLimits.DEFAULT,
                        1,
                        "r0z0",
                        1));
    }

    private static String log(final RealCourier courier) {
        try {
            return String.join("\n", courier.logSinceStart());
        } catch (final IOException e) {
            return e.toString();
        }
    }
}
