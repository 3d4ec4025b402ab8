package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import railspar.Courier;

/** Tests the queries of the list, with the list of the configuration. */
@Timeout(60)
final class DiscoveryTest {
    private static final String CONFIG = """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","state":"%s","seed":"1",
             "known":{"seq":41,"whole":true,"hosts":[%s,%s,%s]},
             "settings":{"discovery":"on_request","flavors":["std","bulk"],
              "extra":{"per_call":[1,5],"routes_apart":[false,true]},
              "classes":[{"name":"safe","effect":"pure","target":2000000,"deadline":9000000}]}}""";

    @TempDir
    private Path folder;

    private final EventLoopGroup group =
            new MillisecondTimerLoopGroup(new DefaultThreadFactory("list"), NioIoHandler.newFactory());
    private MessageService service;
    private Discovery discovery;

    @BeforeEach
    void build() throws Exception {
        final EventLoop loop = group.next();
        final String text = CONFIG.formatted(
                folder.resolve("state"),
                CourierProcessFixture.hostEntry("e1", "127.0.0.1:11", "Ready"),
                CourierProcessFixture.hostEntry("e2", "127.0.0.1:12", "Terminating")
                        .replace("std", "bulk"),
                CourierProcessFixture.hostEntry("e3", "127.0.0.1:13", "Ready").replace("\"block\":7", "\"block\":8"));
        final Config config = Config.parse(new ObjectMapper().readTree(text), Map.of());
        service = new MessageService(config, loop, new Clock());
        discovery = new Discovery(config, loop, service);
        loop.submit(() -> discovery.restore(config.known())).get();
    }

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void returnsTheEndpointsOfADestinationAndHowTheyAreCalled() {
        final List<Courier.Endpoint> endpoints = discovery.endpointsOf(7);
        assertEquals(
                List.of(
                        new Courier.Endpoint(discovery.idOf("e1"), Courier.Condition.LISTED, "a", 100, 0, 7),
                        new Courier.Endpoint(discovery.idOf("e2"), Courier.Condition.DRAINING, "a", 100, 1, 7)),
                endpoints);
        assertEquals(List.of(), discovery.endpointsOf(9));
        final EndpointClient.Target target = discovery.target(discovery.idOf("e2"));
        assertEquals(7, target.destination());
        assertTrue(target.separateRoutes());
        assertEquals("127.0.0.1", target.address().getHostString());
        assertEquals(12, target.address().getPort());
        assertEquals(5, discovery.messagesPerCall(discovery.idOf("e2")));
        assertTrue(discovery.isPossibleDestination(8));
        assertFalse(discovery.isPossibleDestination(9));
        assertEquals(41, discovery.version());
    }

    @Test
    void anUnlistedEndpointHasANameAndAnIdOnly() throws Exception {
        final long id =
                group.next().submit(() -> discovery.idOf("left", "b", 7)).get();
        assertEquals("left", discovery.nameOf(id));
        assertEquals(id, discovery.idOf("left"));
        assertNull(discovery.target(id));
        assertEquals("", discovery.zone(id));
        assertEquals(1, discovery.messagesPerCall(id));
        assertEquals(3, discovery.endpointCount());
        assertNull(discovery.idOf("nobody"));
        assertEquals("", discovery.nameOf(99));
    }

    @Test
    void noEndpointHasConnectionsBeforeItsFirstCall() {
        assertEquals(3, discovery.endpointCount());
        assertEquals(0, service.endpointClient().calledEndpoints());
    }
}
