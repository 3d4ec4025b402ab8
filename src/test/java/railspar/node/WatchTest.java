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

/** Tests when a watch reports silence or closes, with a mock clock. */
final class WatchTest {
    private static final long BUDGET = 1 << 22;
    private static final String ENTRY = "{\"host\":\"%s\",\"dial\":\"127.0.0.1:1\",\"block\":7,\"health\":\"Ready\"}";

    /** Records the events of the watch. */
    private static final class RecordedEvents implements Watch.Listener {
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
            events.add("ended after " + watch.wastedBytes() + (watch.isInvalid() ? " invalid" : ""));
        }
    }

    private final RecordedEvents recorded = new RecordedEvents();
    private final MockTicker clock = Ticker.newMockTicker();
    private EmbeddedChannel channel;

    @BeforeEach
    void open() {
        channel = EmbeddedChannel.builder()
                .ticker(clock)
                .handlers(new Watch(recorded, "127.0.0.1", BUDGET))
                .build();
        final HttpRequest request = channel.readOutbound();
        assertEquals("/discovery/hosts?watch=1&after=41", request.uri());
    }

    private void advance(final long ms) {
        clock.advance(ms, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private void respond() {
        channel.writeInbound(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    }

    private void receive(final String text) {
        channel.writeInbound(content(text));
    }

    private static DefaultHttpContent content(final String text) {
        return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    @Test
    void aRequestWithoutAResponseStaysOpenForALateOne() {
        advance(TimeUnit.SECONDS.toMillis(20));
        assertTrue(channel.isOpen());
        respond();
        advance(TimeUnit.SECONDS.toMillis(20));
        receive("{\"seq\":42,\"hosts\":[" + ENTRY.formatted("first") + "]}\n");
        assertEquals(List.of("list 42 of 1"), recorded.events);
        assertTrue(channel.isOpen());
    }

    @Test
    void aSilentWatchIsStillRead() {
        respond();
        receive("\n");
        advance(Watch.SILENCE_TIMEOUT_MS);
        receive("{\"seq\":42,\"hosts\":[" + ENTRY.formatted("first") + "]}\n");
        assertEquals(List.of("unchanged true false", "silent after 0", "list 42 of 1"), recorded.events);
        advance(Watch.SILENCE_TIMEOUT_MS);
        assertEquals("silent after 0", recorded.events.get(3));
    }

    @Test
    void emptyLinesKeepTheWatchAlive() {
        respond();
        for (int count = 0; count < 5; count++) {
            advance(Watch.SILENCE_TIMEOUT_MS - 1);
            receive("\n");
        }
        assertEquals("unchanged true false", recorded.events.get(0));
        assertEquals("unchanged false true", recorded.events.get(1));
        assertEquals(5, recorded.events.size());
        advance(Watch.SILENCE_TIMEOUT_MS - 1);
        assertEquals(5, recorded.events.size());
        advance(1);
        assertEquals("silent after 0", recorded.events.get(5));
    }

    @Test
    void aLargeListMayTakeLongWhileItArrivesAtASufficientRate() {
        respond();
        receive("{\"seq\":42,\"whole\":true,\"hosts\":[" + ENTRY.formatted("first"));
        for (int piece = 0; piece < 20; piece++) {
            advance(Watch.SILENCE_TIMEOUT_MS - 1);
            final StringBuilder entries = new StringBuilder();
            while (entries.length() <= 1 << 16) {
                entries.append(',').append(ENTRY.formatted(piece + "-" + entries.length()));
            }
            receive(entries.toString());
        }
        receive("]}\n");
        recorded.events.removeIf("receiving"::equals);
        assertEquals(1, recorded.events.size());
        assertTrue(recorded.events.get(0).startsWith("list 42 of "), recorded.events.toString());
        assertTrue(channel.isOpen());
    }

    @Test
    void aListThatArrivesTooSlowlyCountsAsSilence() {
        respond();
        receive("{\"seq\":42,\"hosts\":[" + ENTRY.formatted("first"));
        for (int count = 0; count < Watch.SILENCE_TIMEOUT_MS / 100 - 1; count++) {
            advance(100);
            receive("," + ENTRY.formatted("e" + count) + "\n");
        }
        assertEquals(List.of("receiving"), recorded.events);
        advance(100);
        assertEquals(2, recorded.events.size(), recorded.events.toString());
        assertTrue(recorded.events.get(1).startsWith("silent after "), recorded.events.toString());
        channel.close();
        assertEquals("TRUNCATED it ends before its JSON object is complete", recorded.events.get(2));
        assertTrue(recorded.events.get(3).endsWith(" invalid"), recorded.events.toString());
    }

    @Test
    void bytesAfterAFaultAreNotRead() {
        respond();
        // Both chunks of the response are read from the socket together.
        channel.writeInbound(content("{\"seq\":42,,"), content("}\n{\"seq\":43,\"hosts\":[]}\n"));
        assertEquals(2, recorded.events.size(), recorded.events.toString());
        assertTrue(recorded.events.get(0).startsWith("MALFORMED "));
        assertTrue(recorded.events.get(1).endsWith("invalid"));
    }

    @Test
    void aListThatNeverEndsIsGivenUpAtTheSizeLimit() {
        respond();
        receive("{\"seq\":42,\"hosts\":[" + ENTRY.formatted("first"));
        for (int piece = 0; piece < 1000 && channel.isOpen(); piece++) {
            receive((",\"" + "x".repeat(60_000) + "\""));
        }
        assertFalse(channel.isOpen());
        assertTrue(recorded.events.stream().anyMatch(event -> event.startsWith("TOO_LARGE ")), recorded.events.get(1));
    }
}
