package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import railspar.Control;
import railspar.Courier;

/**
 * Two customers' settings in one process: neither takes anything of the other, and what is absent has its default.
 */
@Timeout(60)
final class SettingsApartTest {
    private static final String HARBOUR = """
            {"name":"h0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","state":"%s","seed":"1",
             "limits":{"sockets":256,"disk_mb":2},"known":{"seq":1,"whole":true,"hosts":[]},
             "settings":{"balancers":40,"my_zone":"pier-n","discovery":"pushed","weights":"rough",
              "classes":[{"name":"tide-warning","effect":"token","group":"zone","dedup_window":1000000,"target":500000,
                "deadline":2500000,"points":3.0,"late_worth":0.1},
               {"name":"shared-name","effect":"side_effect","in_turn":true,"target":900000,
                "deadline":6000000,"points":2.0}],
              "tenants":[{"name":"pilots","quota_rps":5.0}],"flavors":["terminals","depots"],
              "extra":{"calls_out":5,"per_call":[10,1],"routes_apart":[true,false],"fades":"halving"},
              "guarantees":{"must_ask_in":8000000,"cold_from":0.3,"cold":5000000,
                "tip_multiple":1.8,"order_settle":70000},
              "limits":{"max_open":21,"most_tries":5,"cancel":true,"idle_close":6000000,"retry_after":true,
               "connect_timeout":600000,"max_retry_after":1200000,"multiplex":2}}}""";
    private static final String CLINICS = """
            {"name":"c0","listen":"127.0.0.1:0","discovery":"127.0.0.1:2","state":"%s","seed":"2",
             "known":{"seq":9,"whole":true,"hosts":[]},
             "settings":{"discovery":"on_request","classes":[{"name":"lab-result"},
               {"name":"shared-name","effect":"pure","target":2000000,"deadline":9000000}]}}""";

    @TempDir
    private Path folder;

    private Config config(final String text, final String state) throws IOException, Config.BadConfigException {
        return Config.parse(new ObjectMapper().readTree(text.formatted(folder.resolve(state))), Map.of());
    }

    @Test
    void whatIsAbsentHasTheDefaultOfTheProtocolAndNotWhatAnotherCustomerHas() throws Exception {
        final Courier.Settings rich = config(HARBOUR, "h").settings();
        final Config plain = config(CLINICS, "c");
        final Courier.Settings settings = plain.settings();
        final Courier.MessageClass lab = settings.classes().get(0);
        assertEquals(Courier.Effect.UNSAFE, lab.effect(), "an effect that is not told may be the worst one");
        assertFalse(lab.ordered());
        assertFalse(lab.dedupPerZone());
        assertEquals(0, lab.dedupWindowUs(), "no window, no repeat");
        assertEquals(1, lab.value());
        assertEquals(0, lab.lateValue());
        assertEquals(lab.deadlineUs(), lab.targetUs(), "no aim but the deadline");
        assertEquals(1, settings.fleetSize());
        assertEquals("", settings.zone());
        assertEquals(Courier.WeightMeaning.NONE, settings.weightMeaning());
        assertEquals(Courier.ValueDecay.LINEAR, settings.valueDecay());
        assertEquals(List.of(), settings.tenants());
        assertEquals(List.of(), settings.destinationKinds());
        assertEquals(0, settings.ruleParameters().orderingDelayUs(), "an optional rule that is not there");
        assertEquals(1, settings.limits().streamsPerConnection());
        assertFalse(settings.limits().canCancel(), "nothing is allowed that is not told");
        assertEquals(0, settings.limits().maxRetryAfterUs());
        assertEquals(1_000_000, plain.connectTimeoutUs());
        assertEquals(1024, plain.sockets());
        assertNull(plain.mgmt());
        final Courier.Limits limits = settings.limits();
        assertTrue(
                limits.maxCalls() > 1_000_000
                        && limits.maxOpenMessages() > 1_000_000
                        && limits.maxAttempts() > 1_000_000,
                "no limit is told: " + limits);
        assertNotEquals(rich.limits().idleTimeoutUs(), limits.idleTimeoutUs());
    }

    @Test
    void theOrderInWhichTwoCustomersAreReadChangesNeither() throws Exception {
        final Courier.Settings harbourFirst = config(HARBOUR, "h").settings();
        final Courier.Settings clinicsSecond = config(CLINICS, "c").settings();
        final Courier.Settings clinicsFirst = config(CLINICS, "c").settings();
        final Courier.Settings harbourSecond = config(HARBOUR, "h").settings();
        assertEquals(harbourFirst, harbourSecond);
        assertEquals(clinicsFirst, clinicsSecond);
        assertEquals(List.of("tide-warning", "shared-name"), names(harbourFirst));
        assertEquals(List.of("lab-result", "shared-name"), names(clinicsFirst));
    }

    private static List<String> names(final Courier.Settings settings) {
        return settings.classes().stream().map(Courier.MessageClass::name).toList();
    }

    @Test
    void twoCouriersInOneProcessKnowTheirOwnClassesAlone() throws Exception {
        final EventLoopGroup group =
                new MillisecondTimerLoopGroup(new DefaultThreadFactory("customers"), NioIoHandler.newFactory());
        final EventLoop loop = group.next();
        final Clock clock = new Clock();
        final MessageService harbour = new MessageService(config(HARBOUR, "h"), loop, clock);
        final MessageService clinics = new MessageService(config(CLINICS, "c"), loop, clock);
        assertNull(clinics.messageClass("tide-warning"));
        assertNull(harbour.messageClass("lab-result"));
        assertTrue(harbour.messageClass("shared-name").ordered());
        assertFalse(clinics.messageClass("shared-name").ordered());
        assertEquals(Courier.Effect.SAFE, clinics.messageClass("shared-name").effect());
        assertFalse(clinics.metrics().render().contains("tide-warning"));
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Decisions that only count what they ask for. */
    private static final class Asked implements Courier.Actions {
        private final List<String> sent = new ArrayList<>();
        private final List<Long> timeoutsUs = new ArrayList<>();

        @Override
        public void send(final String messageId, final long endpoint, final long timeoutUs) {
            sent.add(messageId);
            timeoutsUs.add(timeoutUs);
        }

        @Override
        public void refuse(final String messageId, final long retryAfterUs) {
            sent.add("refused " + messageId);
        }

        @Override
        public void fail(final String messageId) {
            sent.add("failed " + messageId);
        }

        @Override
        public void cancel(final String messageId, final int attempt) {
            sent.add("cancelled " + messageId);
        }

        @Override
        public void closeIdleConnections(final long endpoint) {
            sent.add("closed " + endpoint);
        }

        @Override
        public void subscribeToList() {
            sent.add("follow");
        }

        @Override
        public void wakeAfter(final long delayUs) {
            assertTrue(delayUs > 0);
        }
    }

    /** One message to a listed endpoint, and what was asked for. */
    private static Asked play(final Control control, final Asked asked, final Courier.MessageClass kind) {
        control.onListUpdate(
                1_000_000,
                Courier.ListUpdate.FULL,
                List.of(new Courier.Endpoint(1, Courier.Condition.LISTED, "", 0, -1, 7)));
        control.onMessage(
                1_000_000,
                new Courier.Message("m", 1, -1, kind.ordered() ? "key" : null, 1_000_000 + kind.deadlineUs(), 7));
        control.decide(1_000_000);
        return asked;
    }

    @Test
    void decisionsBesideThoseOfAnotherCustomerAreWhatTheyAreAlone() throws Exception {
        final Courier.Settings harbour = config(HARBOUR, "h").settings();
        final Courier.Settings clinics = config(CLINICS, "c").settings();
        final Asked alone = new Asked();
        play(new Control(clinics, 5, alone), alone, clinics.classes().get(1));
        final Asked other = new Asked();
        final Asked beside = new Asked();
        final Control first = new Control(harbour, 5, other);
        final Control second = new Control(clinics, 5, beside);
        play(first, other, harbour.classes().get(1));
        play(second, beside, clinics.classes().get(1));
        assertEquals(alone.sent, beside.sent);
        assertEquals(alone.timeoutsUs, beside.timeoutsUs);
        assertNotEquals(other.timeoutsUs, beside.timeoutsUs, "the same name is another class there");
    }

    @Test
    void eachSettingThatIsTakenAwayLeavesTheOthersAsTheyWere() throws Exception {
        final JsonNode whole = new ObjectMapper().readTree(HARBOUR.formatted(folder.resolve("h")));
        for (final String name :
                List.of("balancers", "my_zone", "weights", "tenants", "extra", "limits", "guarantees")) {
            final JsonNode less = whole.deepCopy();
            ((ObjectNode) less.path("settings")).remove(name);
            final Courier.Settings settings = Config.parse(less, Map.of()).settings();
            assertEquals(2, settings.classes().size(), name);
            assertEquals(2_500_000, settings.classes().get(0).deadlineUs(), name);
        }
    }
}
