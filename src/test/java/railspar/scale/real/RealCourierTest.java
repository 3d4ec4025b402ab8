package railspar.scale.real;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import railspar.scale.BoundedWait;
import railspar.scale.standin.DestinationServer;
import railspar.scale.standin.DestinationSettings;
import railspar.scale.standin.DiscoveryServer;
import railspar.scale.standin.EndpointEntry;
import railspar.scale.standin.FleetPlan;
import railspar.scale.standin.LedgerReport;
import railspar.scale.standin.ListHistory;
import railspar.scale.standin.LoadGenerator;
import railspar.scale.standin.LoadGeneratorSettings;
import railspar.scale.standin.LoopbackPorts;
import railspar.scale.standin.MessageLedger;
import railspar.scale.standin.MessageProfile;

/** Runs a real courier with simulated discovery, clients and endpoints: start, list changes, delivery, restart. */
@Timeout(120)
final class RealCourierTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int ENDPOINTS = 85;

    @TempDir
    private Path folder;

    private static String command() {
        return "exec \"" + System.getProperty("java.home") + "/bin/java\" -Xmx64m -XX:+UseSerialGC"
                + " -XX:TieredStopAtLevel=1 -cp \"" + System.getProperty("java.class.path")
                + "\" railspar.node.Main";
    }

    @Test
    void appliesListChangesAndRestartsAfterSigkill() throws IOException {
        try (Socket refusing = LoopbackPorts.bindRefusingSocket()) {
            final List<EndpointEntry> list = new FleetPlan(1, 50, 1.7, 0, 1, 1, 1)
                    .endpoints((InetSocketAddress) refusing.getLocalSocketAddress());
            final ListHistory history = new ListHistory(list);
            try (DiscoveryServer discovery = new DiscoveryServer(history);
                    RealCourier courier = courier(discovery)) {
                courier.start();
                assertTrue(courier.awaitReady(TIMEOUT).isPresent(), () -> log(courier));
                assertTrue(courier.awaitDiscovered(ENDPOINTS, TIMEOUT).isPresent(), () -> log(courier));
                assertTrue(courier.sample().residentBytes() > 0);
                final long version = history.change(List.of(list.get(0).withHealth(EndpointEntry.Health.TERMINATING)));
                assertTrue(courier.awaitListVersion(version, TIMEOUT), () -> log(courier));
                courier.kill();
                assertFalse(courier.isAlive());
                courier.start();
                assertTrue(courier.awaitReady(TIMEOUT).isPresent(), () -> log(courier));
                assertTrue(courier.awaitDiscovered(ENDPOINTS, TIMEOUT).isPresent(), () -> log(courier));
                assertEquals(0, courier.management().outstanding());
            }
        }
    }

    @Test
    void deliversMessagesWithoutLossOrRuleViolation() throws Exception {
        final int messages = 150;
        final int destinations = 25;
        final FleetPlan plan = new FleetPlan(1, destinations, 2, 0, 1, 1, 1);
        final MessageLedger ledger = new MessageLedger();
        try (DestinationServer server = new DestinationServer(2, number -> DestinationSettings.DEFAULT, 1)) {
            server.onAccepted(id -> ledger.recordDelivery(id, System.nanoTime()));
            final List<EndpointEntry> list = new ArrayList<>();
            for (final EndpointEntry entry : plan.endpoints(server.addresses().get(0))) {
                list.add(server.addEndpoint(entry, list.size() % 2));
            }
            try (DiscoveryServer discovery = new DiscoveryServer(new ListHistory(list));
                    RealCourier courier = courier(discovery)) {
                discovery.onOutcome(outcome -> ledger.recordOutcome(outcome, System.nanoTime()));
                courier.start();
                assertTrue(courier.awaitReady(TIMEOUT).isPresent(), () -> log(courier));
                assertTrue(courier.awaitDiscovered(list.size(), TIMEOUT).isPresent(), () -> log(courier));
                final LoadGeneratorSettings load = new LoadGeneratorSettings(
                        2,
                        200,
                        messages,
                        destinations,
                        0,
                        List.of(
                                new MessageProfile(CourierConfiguration.SAFE_CLASS, 1, false, true, 60_000, 212),
                                new MessageProfile(CourierConfiguration.ONCE_CLASS, 1, false, false, 60_000, 212),
                                new MessageProfile(CourierConfiguration.ORDERED_CLASS, 1, true, false, 60_000, 212)),
                        1);
                new LoadGenerator(load, List.of(courier.address()), ledger, server::register).run();
                BoundedWait.until(
                        "all messages to end",
                        () -> ledger.report(System.nanoTime()).open() == 0);
                final LedgerReport report = ledger.report(System.nanoTime());
                assertEquals(messages, report.handedIn());
                assertEquals(report.takenOn(), report.delivered() + report.undeliverable() + report.deferred());
                assertTrue(report.delivered() > 0, report.toString());
                assertEquals(0, report.lost(), report.toString());
                assertEquals(0, server.violations().total(), server.violations().toString());
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
                        LoopbackPorts.findFreeAddress(),
                        LoopbackPorts.findFreeAddress(),
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
