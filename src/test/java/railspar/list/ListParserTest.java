package railspar.list;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import railspar.list.ListFormatException.Fault;

/** Tests lists split at any byte, with fields in any order, and with each fault that a list can have. */
final class ListParserTest {
    private static final String ONE = TestLists.entry("e1", "127.0.0.1:7070", 7, "Ready");
    private static final String TWO = TestLists.entry("e2", "127.0.0.2:65535", 8, "Terminating");
    private static final String GONE = TestLists.entry("\u00e9-3", "10.255.0.9:1", 9, "Gone");
    private static final String STREAM = "\n" + TestLists.list(41, true, ONE, TWO) + "\r\n\n"
            + "{\n  \"hosts\": [\n    " + GONE.replace(",", ",\n      ")
            + "\n  ],\n  \"later\": {\"a\": [1, {}]},\n  \"whole\": false,\n  \"seq\": 43\n}\n\n"
            + TestLists.list(44, false, "{\"host\":\"\"}", "{\"host\":\"e4\",\"block\":\"x\",\"health\":\"odd\"}", "5");

    private static Fault fault(final String text) {
        return fault(text, TestLists.BUDGET);
    }

    private static Fault fault(final String text, final long budget) {
        final TestLists.ParsedLists parsed = new TestLists.ParsedLists();
        final ListParser parser = new ListParser(budget, parsed);
        final byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        final ListFormatException fault = assertThrows(ListFormatException.class, () -> {
            parser.feed(bytes, 0, bytes.length);
            parser.end();
        });
        assertEquals(List.of(), parsed.lists, "no incomplete list is passed on");
        return fault.fault();
    }

    @Test
    void readsObjectsHeartbeatsAndFieldsInAnyOrder() throws IOException {
        final List<String> events = TestLists.parse(STREAM).events;
        assertEquals("heartbeat", events.get(0));
        assertEquals(
                "list 41 true e1 LISTED to 7 at 7f000001:7070 z7 m1 1.5; "
                        + "e2 DRAINING to 8 at 7f000002:65535 z8 m2 2.5; ",
                events.get(1));
        assertEquals(List.of("heartbeat", "heartbeat"), events.subList(2, 4));
        assertEquals("list 43 false \u00e9-3 GONE to 9 at aff0009:1 z0 m0 3.5; ", events.get(4));
        assertEquals("heartbeat", events.get(5));
        assertTrue(events.get(6).startsWith("unusable 'host' is missing or 'block' is not an integer"), events.get(6));
        assertEquals("unusable it is not a JSON object", events.get(7));
        assertEquals("list 44 false e4 null nowhere unreachable   0.0; ", events.get(8));
        assertEquals(9, events.size());
    }

    @Test
    void inputSplitAtAnyByteGivesTheSameEvents() throws IOException {
        final List<String> atOnce = TestLists.parse(STREAM).events;
        final byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        final Random random = new Random(19);
        for (int round = 0; round < 200; round++) {
            final TestLists.ParsedLists parsed = new TestLists.ParsedLists();
            final ListParser parser = new ListParser(TestLists.BUDGET, parsed);
            int at = 0;
            while (at < bytes.length) {
                final int length = round == 0 ? 1 : Math.min(bytes.length - at, 1 + random.nextInt(round));
                parser.feed(bytes, at, length);
                at += length;
            }
            assertEquals(atOnce, parsed.events);
        }
    }

    @Test
    void inputTruncatedAtAnyByteGivesNoList() throws IOException {
        final String list = TestLists.list(41, true, ONE, TWO);
        final byte[] bytes = list.trim().getBytes(StandardCharsets.UTF_8);
        for (int length = 1; length < bytes.length; length++) {
            final TestLists.ParsedLists parsed = new TestLists.ParsedLists();
            final ListParser parser = new ListParser(TestLists.BUDGET, parsed);
            parser.feed(bytes, 0, length);
            assertTrue(parser.isWithinObject());
            assertEquals(
                    Fault.TRUNCATED,
                    assertThrows(ListFormatException.class, parser::end).fault());
            assertEquals(List.of(), parsed.events);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"seq\":42,\"hosts\":[{\"ho\n",
                "[]\n",
                "nonsense\n",
                "{\"seq\":1,,}\n",
                "{]\n",
                "5\n",
                "{\"seq\":42,\"whole\":true}"
            })
    void malformedInputIsReported(final String text) {
        assertEquals(Fault.MALFORMED, fault(text));
    }

    @Test
    void anEmptyLineInsideAnObjectIsReported() {
        assertEquals(Fault.TRUNCATED, fault("{\n \"seq\": 42,\n\n"));
    }

    @Test
    void aListThatNamesAnEndpointTwiceIsRejected() {
        assertEquals(Fault.REPEATED_ENTRY, fault(TestLists.list(41, true, ONE, TWO, ONE)));
        assertEquals(
                Fault.REPEATED_ENTRY,
                fault(TestLists.fleet(1, 3000)
                        .replace("]}", "," + TestLists.entry(TestLists.name(7), "1.1.1.1:1", 1, "Gone") + "]}")));
    }

    @Test
    void aListLargerThanItsBudgetIsRejected() {
        assertEquals(Fault.TOO_LARGE, fault(TestLists.fleet(1, 5000), 100_000));
    }

    @Test
    void endlessInputIsRejectedWhereverItContinues() {
        assertEquals(Fault.TOO_LARGE, fault("{\"hosts\":[" + (ONE.replace("e1", "")) + ",5".repeat(500_000), 100_000));
        assertEquals(Fault.TOO_LARGE, fault(" ".repeat(900_000), 100_000));
        assertEquals(Fault.TOO_LARGE, fault("{\"x\":[" + "1,".repeat(500_000), 100_000));
        assertEquals(Fault.MALFORMED, fault("{\"x\":\"" + "y".repeat(500_000), 100_000));
    }

    @Test
    void aStagedListOfTheTargetSizeTakesLessThanSixtyBytesAnEntry() throws IOException {
        final StagedList list =
                TestLists.parse(TestLists.fleet(1, 45_000)).lists.get(0);
        assertEquals(76_500, list.size());
        assertTrue(list.bytes() < 60L * list.size(), list.bytes() + " bytes");
    }
}
