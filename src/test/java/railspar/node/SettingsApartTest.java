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

/** The settings of two customers in one process do not affect each other, and absent settings have their defaults. */
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
    void absentSettingsHaveTheirDefaultsAndNotAnotherCustomersValues() throws Exception {
        final Courier.Settings full = config(HARBOUR, "h").settings();
        final Config minimalConfig = config(CLINICS, "c");
        final Courier.Settings settings = minimalConfig.settings();
        final Courier.MessageClass labResult = settings.classes().get(0);
        assertEquals(Courier.Effect.UNSAFE, labResult.effect(), "without an effect the most restrictive one applies");
        assertFalse(labResult.ordered());
        assertFalse(labResult.dedupPerZone());
        assertEquals(0, labResult.dedupWindowUs(), "no deduplication window by default");
        assertEquals(1, labResult.value());
        assertEquals(0, labResult.lateValue());
        assertEquals(labResult.deadlineUs(), labResult.targetUs(), "the target defaults to the deadline");
        assertEquals(1, settings.fleetSize());
        assertEquals("", settings.zone());
        assertEquals(Courier.WeightMeaning.NONE, settings.weightMeaning());
        assertEquals(Courier.ValueDecay.LINEAR, settings.valueDecay());
        assertEquals(List.of(), settings.tenants());
        assertEquals(List.of(), settings.destinationKinds());
        assertEquals(0, settings.ruleParameters().orderingDelayUs(), "an optional rule is off by default");
        assertEquals(1, settings.limits().streamsPerConnection());
        assertFalse(settings.limits().canCancel(), "nothing is allowed by default");
        assertEquals(0, settings.limits().maxRetryAfterUs());
        assertEquals(1_000_000, minimalConfig.connectTimeoutUs());
        assertEquals(1024, minimalConfig.sockets());
        assertNull(minimalConfig.mgmt());
        final Courier.Limits limits = settings.limits();
        assertTrue(
                limits.maxCalls() > 1_000_000
                        && limits.maxOpenMessages() > 1_000_000
                        && limits.maxAttempts() > 1_000_000,
                "no limits are configured: " + limits);
        assertNotEquals(full.limits().idleTimeoutUs(), limits.idleTimeoutUs());
    }

    @Test
    void theOrderOfReadingTwoCustomersSettingsDoesNotMatter() throws Exception {
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
    void twoCouriersInOneProcessKnowOnlyTheirOwnClasses() throws Exception {
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

    /** Records the actions that are requested. */
    private static final class RecordedActions implements Courier.Actions {
        private final List<String> requested = new ArrayList<>();
        private final List<Long> timeoutsUs = new ArrayList<>();

        @Override
        public void send(final String messageId, final long endpoint, final long timeoutUs) {
            requested.add(messageId);
            timeoutsUs.add(timeoutUs);
        }

        @Override
        public void refuse(final String messageId, final long retryAfterUs) {
            requested.add("refused " + messageId);
        }

        @Override
        public void fail(final String messageId) {
            requested.add("failed " + messageId);
        }

        @Override
        public void cancel(final String messageId, final int attempt) {
            requested.add("cancelled " + messageId);
        }

        @Override
        public void closeIdleConnections(final long endpoint) {
            requested.add("closed " + endpoint);
        }

        @Override
        public void subscribeToList() {
            requested.add("follow");
        }

        @Override
        public void wakeAfter(final long delayUs) {
            assertTrue(delayUs > 0);
        }
    }

    /** Submits one message for a listed endpoint and makes the decisions. */
    private static RecordedActions decideOneMessage(
            final Control control, final RecordedActions actions, final Courier.MessageClass messageClass) {
        control.onListUpdate(
                1_000_000,
                Courier.ListUpdate.FULL,
                List.of(new Courier.Endpoint(1, Courier.Condition.LISTED, "", 0, -1, 7)));
        control.onMessage(
                1_000_000,
                new Courier.Message(
                        "m", 1, -1, messageClass.ordered() ? "key" : null, 1_000_000 + messageClass.deadlineUs(), 7));
        control.decide(1_000_000);
        return actions;
    }

    @Test
    void decisionsAreTheSameAlongsideAnotherCustomer() throws Exception {
        final Courier.Settings harbour = config(HARBOUR, "h").settings();
        final Courier.Settings clinics = config(CLINICS, "c").settings();
        final RecordedActions alone = new RecordedActions();
        decideOneMessage(
                new Control(clinics, 5, alone), alone, clinics.classes().get(1));
        final RecordedActions other = new RecordedActions();
        final RecordedActions together = new RecordedActions();
        final Control first = new Control(harbour, 5, other);
        final Control second = new Control(clinics, 5, together);
        decideOneMessage(first, other, harbour.classes().get(1));
        decideOneMessage(second, together, clinics.classes().get(1));
        assertEquals(alone.requested, together.requested);
        assertEquals(alone.timeoutsUs, together.timeoutsUs);
        assertNotEquals(other.timeoutsUs, together.timeoutsUs, "the class of the same name differs there");
    }

    @Test
    void removingOneSettingDoesNotChangeTheOthers() throws Exception {
        final JsonNode complete = new ObjectMapper().readTree(HARBOUR.formatted(folder.resolve("h")));
        for (final String name :
                List.of("balancers", "my_zone", "weights", "tenants", "extra", "limits", "guarantees")) {
            final JsonNode reduced = complete.deepCopy();
            ((ObjectNode) reduced.path("settings")).remove(name);
            final Courier.Settings settings = Config.parse(reduced, Map.of()).settings();
            assertEquals(2, settings.classes().size(), name);
            assertEquals(2_500_000, settings.classes().get(0).deadlineUs(), name);
        }
    }
}
