package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import railspar.list.ListFormatException;
import railspar.list.StagedList;

/** When a watch is given up, on a clock that the test moves. */
final class WatchTest {
    private static final long BUDGET = 1 << 22;
    private static final String ENTRY = "{\"host\":\"%s\",\"dial\":\"127.0.0.1:1\",\"block\":7,\"health\":\"Ready\"}";

    /** What the watch told. */
    private static final class Heard implements Watch.Listener {
        private final List<String> events = new ArrayList<>();

        @Override
        public long version() {
            return 41;
        }

        @Override
        public boolean isCurrent(final Watch watch) {
            return true;
        }

        @Override
        public void onList(final Watch watch, final StagedList list) {
            events.add("list " + list.version() + " of " + list.size());
        }

        @Override
        public void onUnchanged(final Watch watch, final boolean first, final boolean settled) {
            events.add("unchanged " + first + " " + settled);
        }

        @Override
        public void onReceiving(final Watch watch) {
            events.add("receiving");
        }

        @Override
        public void onSilent(final Watch watch) {
            events.add("silent after " + watch.wastedBytes());
        }

        @Override
        public void onUnusableEntry(final String problem) {
            events.add(problem);
        }

        @Override
        public void onInvalidList(final ListFormatException fault) {
            events.add(fault.fault() + " " + fault.getMessage());
        }

        @Override
        public void onEnded(final Watch watch) {
            events.add("lost after " + watch.wastedBytes() + (watch.isInvalid() ? " spoilt" : ""));
        }
    }

    private final Heard heard = new Heard();
    private final MockTicker clock = Ticker.newMockTicker();
    private EmbeddedChannel channel;

    @BeforeEach
    void open() {
        channel = EmbeddedChannel.builder()
                .ticker(clock)
                .handlers(new Watch(heard, "127.0.0.1", BUDGET))
                .build();
        final HttpRequest request = channel.readOutbound();
        assertEquals("/discovery/hosts?watch=1&after=41", request.uri());
    }

    private void pass(final long ms) {
        clock.advance(ms, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private void answer() {
        channel.writeInbound(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    }

    private void bring(final String text) {
        channel.writeInbound(content(text));
    }

    private static DefaultHttpContent content(final String text) {
        return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    @Test
    void aCallThatIsNotAnsweredStaysOpenForAnAnswerThatComesLate() {
        pass(TimeUnit.SECONDS.toMillis(20));
        assertTrue(channel.isOpen());
        answer();
        pass(TimeUnit.SECONDS.toMillis(20));
        bring("{\"seq\":42,\"hosts\":[" + ENTRY.formatted("first") + "]}\n");
        assertEquals(List.of("list 42 of 1"), heard.events);
        assertTrue(channel.isOpen());
    }

    @Test
    void aWatchThatIsSilentIsReadOn() {
        answer();
        bring("\n");
        pass(Watch.SILENCE_TIMEOUT_MS);
        bring("{\"seq\":42,\"hosts\":[" + ENTRY.formatted("first") + "]}\n");
        assertEquals(List.of("unchanged true false", "silent after 0", "list 42 of 1"), heard.events);
        pass(Watch.SILENCE_TIMEOUT_MS);
        assertEquals("silent after 0", heard.events.get(3));
    }

    @Test
    void emptyLinesKeepItAlive() {
        answer();
        for (int count = 0; count < 5; count++) {
            pass(Watch.SILENCE_TIMEOUT_MS - 1);
            bring("\n");
        }
        assertEquals("unchanged true false", heard.events.get(0));
        assertEquals("unchanged false true", heard.events.get(1));
        assertEquals(5, heard.events.size());
        pass(Watch.SILENCE_TIMEOUT_MS - 1);
        assertEquals(5, heard.events.size());
        pass(1);
        assertEquals("silent after 0", heard.events.get(5));
    }

    @Test
    void aLargeListMayTakeLongWhileItComesAtASensibleRate() {
        answer();
        bring("{\"seq\":42,\"whole\":true,\"hosts\":[" + ENTRY.formatted("first"));
        for (int piece = 0; piece < 20; piece++) {
            pass(Watch.SILENCE_TIMEOUT_MS - 1);
            final StringBuilder entries = new StringBuilder();
            while (entries.length() <= 1 << 16) {
                entries.append(',').append(ENTRY.formatted(piece + "-" + entries.length()));
            }
            bring(entries.toString());
        }
        bring("]}\n");
        heard.events.removeIf("receiving"::equals);
        assertEquals(1, heard.events.size());
        assertTrue(heard.events.get(0).startsWith("list 42 of "), heard.events.toString());
        assertTrue(channel.isOpen());
    }

    @Test
    void aListThatTricklesIsAsGoodAsSilent() {
        answer();
        bring("{\"seq\":42,\"hosts\":[" + ENTRY.formatted("first"));
        for (int count = 0; count < Watch.SILENCE_TIMEOUT_MS / 100 - 1; count++) {
            pass(100);
            bring("," + ENTRY.formatted("e" + count) + "\n");
        }
        assertEquals(List.of("receiving"), heard.events);
        pass(100);
        assertEquals(2, heard.events.size(), heard.events.toString());
        assertTrue(heard.events.get(1).startsWith("silent after "), heard.events.toString());
        channel.close();
        assertEquals("BROKEN_OFF it breaks off", heard.events.get(2));
        assertTrue(heard.events.get(3).endsWith(" spoilt"), heard.events.toString());
    }

    @Test
    void whatComesBehindAFaultIsNotRead() {
        answer();
        // Read from the socket together, as two chunks of one answer.
        channel.writeInbound(content("{\"seq\":42,,"), content("}\n{\"seq\":43,\"hosts\":[]}\n"));
        assertEquals(2, heard.events.size(), heard.events.toString());
        assertTrue(heard.events.get(0).startsWith("MALFORMED "));
        assertTrue(heard.events.get(1).endsWith("spoilt"));
    }

    @Test
    void aListThatNeverEndsIsGivenUpAtItsBound() {
        answer();
        bring("{\"seq\":42,\"hosts\":[" + ENTRY.formatted("first"));
        for (int piece = 0; piece < 1000 && channel.isOpen(); piece++) {
            bring((",\"" + "x".repeat(60_000) + "\""));
        }
        assertFalse(channel.isOpen());
        assertTrue(heard.events.stream().anyMatch(event -> event.startsWith("OVER_BUDGET ")), heard.events.get(1));
    }
}
