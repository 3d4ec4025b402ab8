package railspar.scale.slope;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/** A whole list in the protocol's JSON form, with names, addresses and zones of the usual length. */
final class ListSample {
    /** The destination kind of all its endpoints. */
    static final String KIND = "m2";

    private static final int ZONES = 9;
    /** The same version in each line: a list with the version already applied is applied again. */
    private static final int VERSION = 41;

    private static final int FIRST_PORT = 1024;
    private static final int PORTS = 60_000;
    private static final long HOST_NAMES_SEED = 11;
    private static final long BORN_MS = 1_790_000_000_000L;

    private ListSample() {}

    /** One line without its newline that lists the endpoints of this many destinations. */
    static String wholeList(final int destinations) {
        final ObjectNode list = list(true);
        final ArrayNode hosts = list.putArray("hosts");
        final SplittableRandom names = new SplittableRandom(HOST_NAMES_SEED);
        final int count = (int) Math.round(DecisionFixture.ENDPOINTS_PER_DESTINATION * destinations);
        for (int index = 0; index < count; index++) {
            writeEndpoint(hosts.addObject(), names, index, destinations, "Ready");
        }
        return list.toString();
    }

    /** As above, with its newline, as the watch delivers it. */
    static byte[] wholeListBytes(final int destinations) {
        return (wholeList(destinations) + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** A line with its newline that announces this health for the first endpoint. */
    static byte[] change(final int destinations, final String health) {
        final ObjectNode list = list(false);
        writeEndpoint(
                list.putArray("hosts").addObject(), new SplittableRandom(HOST_NAMES_SEED), 0, destinations, health);
        return (list + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private static ObjectNode list(final boolean whole) {
        final ObjectNode list = new ObjectMapper().createObjectNode();
        list.put("seq", VERSION);
        list.put("whole", whole);
        return list;
    }

    private static void writeEndpoint(
            final ObjectNode host,
            final SplittableRandom names,
            final int index,
            final int destinations,
            final String health) {
        host.put("host", String.format("s-%08x", names.nextInt()));
        host.put("dial", "127.0.0.1:" + (FIRST_PORT + index % PORTS));
        host.put("site", zone(index % ZONES));
        host.put("class", KIND);
        host.put("block", index % destinations);
        host.put("health", health);
        host.put("share", 1.0);
        host.put("born_ms", BORN_MS + index);
    }

    /** The name of a zone. */
    static String zone(final int index) {
        return "z" + index;
    }
}
