package driftchute.scale.slope;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.SplittableRandom;

/** A whole list in the protocol's JSON form, with names, addresses and zones of the usual length. */
final class ListSample {
    private static final int ZONES = 9;
    private static final int FIRST_PORT = 1024;
    private static final int PORTS = 60_000;
    private static final long NAMES_SEED = 11;
    private static final long BORN_MS = 1_790_000_000_000L;

    private ListSample() {}

    /** One line, without its end, that names the endpoints of so many destinations. */
    static String wholeList(final int destinations) {
        final ObjectNode list = new ObjectMapper().createObjectNode();
        list.put("seq", 41);
        list.put("whole", true);
        final ArrayNode hosts = list.putArray("hosts");
        final SplittableRandom names = new SplittableRandom(NAMES_SEED);
        final int count = (int) Math.round(DecisionFixture.ENDPOINTS_PER_DESTINATION * destinations);
        for (int index = 0; index < count; index++) {
            final ObjectNode host = hosts.addObject();
            host.put("host", String.format("s-%08x", names.nextInt()));
            host.put("dial", "127.0.0.1:" + (FIRST_PORT + index % PORTS));
            host.put("site", "z" + index % ZONES);
            host.put("class", "m2");
            host.put("block", index % destinations);
            host.put("health", "Ready");
            host.put("share", 1.0);
            host.put("born_ms", BORN_MS + index);
        }
        return list.toString();
    }
}
