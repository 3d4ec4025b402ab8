package railspar.scale.real;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import railspar.scale.standin.FleetPlan;

/**
 * The configuration file of one real courier. It names no endpoints: the courier learns all of them from discovery.
 *
 * @param name the courier's name
 * @param listen address for clients
 * @param management address for operators
 * @param discovery address of discovery
 * @param limits resource limits of the courier
 * @param couriers number of couriers in the fleet
 * @param zone the courier's zone
 * @param seed seed of the courier's random numbers
 */
public record CourierConfiguration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress management,
        InetSocketAddress discovery,
        CourierLimits limits,
        int couriers,
        String zone,
        long seed) {
    /** The class of messages that may be delivered repeatedly, with a deadline of a day. */
    public static final String SAFE_CLASS = "safe";
    /** The class of messages that carry an idempotency key. */
    public static final String KEYED_CLASS = "keyed";
    /** The class of messages that must not be delivered twice. */
    public static final String ONCE_CLASS = "once";
    /** The class of messages that are delivered in order for each key. */
    public static final String ORDERED_CLASS = "ordered";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long DAY_US = TimeUnit.DAYS.toMicros(1);
    private static final long TARGET_US = TimeUnit.SECONDS.toMicros(5);
    private static final long DEDUP_WINDOW_US = TimeUnit.SECONDS.toMicros(10);
    private static final long MUST_ASK_IN_US = TimeUnit.SECONDS.toMicros(10);
    private static final long COLD_US = TimeUnit.SECONDS.toMicros(1);
    private static final long IDLE_CLOSE_US = TimeUnit.SECONDS.toMicros(10);
    private static final long CONNECT_TIMEOUT_US = TimeUnit.SECONDS.toMicros(1);
    private static final long MAX_RETRY_AFTER_US = TimeUnit.SECONDS.toMicros(2);
    private static final double COLD_FROM = 0.5;
    private static final double TIP_MULTIPLE = 2.0;
    private static final int MAX_CONCURRENT_CALLS = 12;
    private static final int MESSAGES_PER_CALL = 5;
    /** High enough that the number of attempts is not limited in these runs. */
    private static final int MAX_ATTEMPTS = 1_000_000;

    /** Writes the JSON file that a courier reads. */
    public void writeTo(final Path file) throws IOException {
        Files.write(file, JSON.writeValueAsBytes(toJson()));
    }

    /** An address in the form used in the configuration and the environment. */
    public static String text(final InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private ObjectNode toJson() {
        final ObjectNode root = JSON.createObjectNode()
                .put("name", name)
                .put("listen", text(listen))
                .put("mgmt", text(management))
                .put("discovery", text(discovery))
                .put("seed", Long.toHexString(seed));
        root.putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", limits.memoryMb())
                .put("sockets", limits.sockets())
                .put("disk_mb", limits.diskMb());
        root.putObject("known").put("seq", 0).put("whole", true).putArray("hosts");
        root.set("settings", settings());
        return root;
    }

    private ObjectNode settings() {
        final ObjectNode settings = JSON.createObjectNode()
                .put("balancers", couriers)
                .put("my_zone", zone)
                .put("discovery", "pushed")
                .put("weights", "nominal");
        final ArrayNode classes = settings.putArray("classes");
        messageClass(classes, SAFE_CLASS, "pure");
        messageClass(classes, KEYED_CLASS, "token").put("group", "all").put("dedup_window", DEDUP_WINDOW_US);
        messageClass(classes, ONCE_CLASS, "side_effect");
        messageClass(classes, ORDERED_CLASS, "side_effect").put("in_turn", true);
        settings.putArray("flavors").add(FleetPlan.KIND);
        final ObjectNode extra = settings.putObject("extra").put("calls_out", MAX_CONCURRENT_CALLS);
        extra.putArray("per_call").add(MESSAGES_PER_CALL);
        extra.putArray("routes_apart").add(false);
        settings.putObject("guarantees")
                .put("must_ask_in", MUST_ASK_IN_US)
                .put("cold_from", COLD_FROM)
                .put("cold", COLD_US)
                .put("tip_multiple", TIP_MULTIPLE);
        settings.putObject("limits")
                .put("max_open", limits.maxOpen())
                .put("most_tries", MAX_ATTEMPTS)
                .put("cancel", true)
                .put("idle_close", IDLE_CLOSE_US)
                .put("retry_after", true)
                .put("connect_timeout", CONNECT_TIMEOUT_US)
                .put("max_retry_after", MAX_RETRY_AFTER_US);
        return settings;
    }

    private static ObjectNode messageClass(final ArrayNode classes, final String name, final String effect) {
        return classes.addObject()
                .put("name", name)
                .put("effect", effect)
                .put("target", TARGET_US)
                .put("deadline", DAY_US)
                .put("points", 1.0);
    }
}
