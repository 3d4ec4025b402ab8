package driftchute.scale.slope;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Bytes, processor time and heap of a whole list that is read as one line and one JSON tree, which is how
 * {@code Discovery} reads it. The steps are repeated here because that class needs an event loop and a host.
 */
final class ListSeries {
    private static final List<Integer> LISTED = List.of(100, 5000, 20_000, 45_000);
    private static final int TARGET_DESTINATIONS = 45_000;
    private static final String SIZE_UNIT = "destinations in the list";

    private ListSeries() {}

    /** The line's length, its parsing, the heap while it is parsed, and the search for what has gone. */
    static List<Series> list() {
        return List.of(
                new Series(
                        "list-bytes",
                        SIZE_UNIT,
                        "bytes of JSON",
                        LISTED,
                        TARGET_DESTINATIONS,
                        size -> ListSample.wholeList(size).getBytes(StandardCharsets.UTF_8).length),
                new Series(
                        "list-parse-tree",
                        SIZE_UNIT,
                        "us of processor per whole list",
                        LISTED,
                        TARGET_DESTINATIONS,
                        ListSeries::parseMicros),
                new Series(
                        "list-heap-tree",
                        SIZE_UNIT,
                        "bytes of heap while the line and its tree are held",
                        LISTED,
                        TARGET_DESTINATIONS,
                        size -> HeapUse.bytesHeldBy(() -> lineAndTree(size))),
                new Series(
                        "list-gone-search",
                        SIZE_UNIT,
                        "us of processor per whole list",
                        LISTED,
                        TARGET_DESTINATIONS,
                        ListSeries::goneSearchMicros));
    }

    private static double parseMicros(final int destinations) {
        final String line = ListSample.wholeList(destinations);
        return ProcessorTime.microsPerCall(() -> parse(line));
    }

    /** What is alive while a list is applied: the buffered line, its text and the tree. */
    private static List<Object> lineAndTree(final int destinations) {
        final String line = ListSample.wholeList(destinations);
        final byte[] buffered = line.getBytes(StandardCharsets.UTF_8);
        return List.of(buffered, line, parse(line));
    }

    private static JsonNode parse(final String line) {
        try {
            return new ObjectMapper().readTree(line);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("the sample is not JSON", e);
        }
    }

    /** A whole list over one that is held: each entry is searched for among all that may have gone, and removed. */
    private static double goneSearchMicros(final int destinations) {
        final Set<Long> held = new LinkedHashSet<>();
        DecisionFixture.endpoints(destinations).forEach(endpoint -> held.add(endpoint.id()));
        return ProcessorTime.microsOnce(() -> {
            final List<Long> gone = new ArrayList<>(held);
            for (final Long id : held) {
                gone.remove(id);
            }
        });
    }
}
