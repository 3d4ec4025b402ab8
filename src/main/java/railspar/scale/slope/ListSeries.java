package railspar.scale.slope;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * Bytes, processor time and heap of a whole list, read in two ways: as a stream into the packed table with its stored
 * copy, as {@code Discovery} does, and for comparison as one line and one JSON tree. The steps of {@code Discovery}
 * are repeated here because that class needs an event loop and a host.
 */
final class ListSeries {
    private static final List<Integer> LISTED_SIZES = List.of(100, 5000, 20_000, 45_000);
    private static final int TARGET_DESTINATIONS = 45_000;
    /** Length of the end of a whole list's line: the end of its entries, of the JSON object and of the line. */
    private static final int END_BYTES = "]}\n".length();

    private static final String SIZE_UNIT = "destinations in the list";

    private ListSeries() {}

    /** The series of both ways of reading. */
    static List<Series> list() {
        return Stream.of(tree(), table(), copy()).flatMap(List::stream).toList();
    }

    /** One line and tree: length, parsing, heap while parsed, and the search for removed endpoints. */
    private static List<Series> tree() {
        return List.of(
                new Series(
                        "list-bytes",
                        SIZE_UNIT,
                        "bytes of JSON",
                        LISTED_SIZES,
                        TARGET_DESTINATIONS,
                        size -> ListSample.wholeList(size).getBytes(StandardCharsets.UTF_8).length),
                new Series(
                        "list-parse-tree",
                        SIZE_UNIT,
                        "us of processor per whole list",
                        LISTED_SIZES,
                        TARGET_DESTINATIONS,
                        ListSeries::parseMicros),
                new Series(
                        "list-heap-tree",
                        SIZE_UNIT,
                        "bytes of heap while the line and its tree are held",
                        LISTED_SIZES,
                        TARGET_DESTINATIONS,
                        size -> HeapUse.bytesHeldBy(() -> lineAndTree(size))),
                new Series(
                        "list-gone-search",
                        SIZE_UNIT,
                        "us of processor per whole list",
                        LISTED_SIZES,
                        TARGET_DESTINATIONS,
                        ListSeries::removedSearchMicros));
    }

    /** The packed table: reading a whole list into it, its heap, and a change. */
    private static List<Series> table() {
        return List.of(
                series(
                        "list-table-first",
                        "us of processor per whole list into an empty table",
                        ListSeries::firstMicros),
                series("list-table-again", "us of processor per whole list over the same", ListSeries::againMicros),
                series(
                        "list-table-heap",
                        "bytes of heap of the table and its parser",
                        size -> HeapUse.bytesHeldBy(() -> ListTable.of(size))),
                series(
                        "list-table-heap-reading",
                        "bytes of heap while a whole list is read over the same",
                        size -> HeapUse.bytesHeldBy(() -> halfRead(size))),
                series("list-table-change", "us of processor per change of one entry", ListSeries::changeMicros));
    }

    /** The stored copy: its size, writing all of it, appending a change, and reading it at a start. */
    private static List<Series> copy() {
        return List.of(
                series("list-copy-bytes", "bytes of the file", size -> withCopy(size, StoredListSample::bytes)),
                series(
                        "list-copy-write",
                        "us of processor per whole copy",
                        size -> withCopy(size, copy -> ProcessorTime.microsPerCall(copy::writeAll))),
                series(
                        "list-copy-change",
                        "us of processor per change of one entry, read, applied and appended",
                        size -> withCopy(size, copy -> ProcessorTime.microsPerCall(changes(size, copy::change)))),
                series(
                        "list-copy-load",
                        "us of processor per load",
                        size -> withCopy(size, copy -> ProcessorTime.microsPerCall(copy::load))));
    }

    private static Series series(final String name, final String unit, final Series.Measurement measurement) {
        return new Series(name, SIZE_UNIT, unit, LISTED_SIZES, TARGET_DESTINATIONS, measurement);
    }

    private static double firstMicros(final int destinations) {
        final byte[] line = ListSample.wholeListBytes(destinations);
        return ProcessorTime.microsPerCall(() -> new ListTable(new ListTable.IgnoredChanges()).feed(line));
    }

    private static double againMicros(final int destinations) {
        final byte[] line = ListSample.wholeListBytes(destinations);
        final ListTable list = ListTable.of(destinations);
        return ProcessorTime.microsPerCall(() -> list.feed(line));
    }

    /** A filled table whose parser has read all of a second whole list but its end. */
    private static ListTable halfRead(final int destinations) {
        final byte[] line = ListSample.wholeListBytes(destinations);
        final ListTable list = ListTable.of(destinations);
        list.feed(line, line.length - END_BYTES);
        return list;
    }

    private static double changeMicros(final int destinations) {
        return ProcessorTime.microsPerCall(changes(destinations, ListTable.of(destinations)::feed));
    }

    /** Announces alternately that the first endpoint drains and that it is ready again. */
    private static Runnable changes(final int destinations, final Consumer<byte[]> receiver) {
        final byte[] drainingLine = ListSample.change(destinations, "Terminating");
        final byte[] readyLine = ListSample.change(destinations, "Ready");
        final AtomicBoolean isDraining = new AtomicBoolean();
        return () -> {
            final boolean draining = !isDraining.get();
            isDraining.set(draining);
            receiver.accept(draining ? drainingLine : readyLine);
        };
    }

    private static double withCopy(final int destinations, final ToDoubleFunction<StoredListSample> measurement) {
        try (StoredListSample copy = new StoredListSample(destinations)) {
            return measurement.applyAsDouble(copy);
        }
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
            throw new IllegalStateException("the sample list is not valid JSON", e);
        }
    }

    /** Applies a whole list over an identical one: finds and removes each entry among the candidates for removal. */
    private static double removedSearchMicros(final int destinations) {
        final Set<Long> listed = new LinkedHashSet<>();
        final long endpoints = Math.round(DecisionFixture.ENDPOINTS_PER_DESTINATION * destinations);
        LongStream.rangeClosed(1, endpoints).forEach(listed::add);
        return ProcessorTime.microsOnce(() -> {
            final List<Long> removalCandidates = new ArrayList<>(listed);
            for (final Long id : listed) {
                removalCandidates.remove(id);
            }
        });
    }
}
