package railspar.scale.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import railspar.Courier;

/** Tests what the decision measurements rely on: messages wait for paused destinations, and only for those. */
final class DecisionFixtureTest {
    private static final int DESTINATIONS = 20;

    @Test
    void startsNoCallBeforeTheRetryAfterExpires() {
        final DecisionFixture fixture = new DecisionFixture(DESTINATIONS);
        fixture.pauseAllDestinations();
        fixture.accept(3 * DESTINATIONS, DESTINATIONS);
        for (int decision = 0; decision < 100; decision++) {
            fixture.decideMicrosecondLater();
        }
        assertEquals(0, fixture.callCount());
    }

    @Test
    void startsOneCallForEachAvailableDestination() {
        final DecisionFixture fixture = new DecisionFixture(DESTINATIONS);
        fixture.accept(DESTINATIONS, DESTINATIONS);
        assertEquals(DESTINATIONS, fixture.callCount(), "one call for each destination");
    }

    @Test
    void keepsTheBacklogSizeWhileCallsComplete() {
        for (final Courier.Result result : List.of(Courier.Result.NO_CONNECTION, Courier.Result.DELIVERED)) {
            final DecisionFixture fixture = new DecisionFixture(1, 1);
            fixture.accept(DESTINATIONS, 1);
            for (int call = 0; call < 100; call++) {
                fixture.completeOneCall(result);
            }
            assertTrue(fixture.callCount() >= 100, result + ": " + fixture.callCount());
            assertEquals(DESTINATIONS, fixture.openMessages(), result.toString());
        }
    }

    @Test
    void sampleListHasTheTargetsEndpointsPerDestination() {
        assertEquals(76_500, ListTable.of(45_000).table().size());
        assertEquals(45_000, ListTable.of(45_000).table().destinationCount());
        final var listed = ListSample.wholeList(100);
        assertEquals(170, listed.split("\"host\":").length - 1);
    }

    @Test
    void looksUpTheEndpointsOfADestination() {
        final ListTable list = ListTable.of(DESTINATIONS);
        final List<Courier.Endpoint> endpoints = list.endpointsOf(3);
        assertEquals(2, endpoints.size(), "34 endpoints for 20 destinations");
        endpoints.forEach(endpoint -> assertEquals(3, endpoint.destination()));
        assertEquals(endpoints.get(0), list.endpoint(endpoints.get(0).id()));
    }

    @Test
    void changeSetsTheHealthOfTheFirstEndpoint() {
        final ListTable list = ListTable.of(DESTINATIONS);
        final Courier.Endpoint before = list.endpointsOf(0).get(0);
        list.feed(ListSample.change(DESTINATIONS, "Terminating"));
        assertEquals(Courier.Condition.DRAINING, list.endpoint(before.id()).condition());
        list.feed(ListSample.change(DESTINATIONS, "Ready"));
        assertEquals(before, list.endpoint(before.id()));
        assertEquals(34, list.table().size());
    }

    @Test
    void storedCopyHasAllEndpointsAfterChanges() {
        try (StoredListSample copy = new StoredListSample(DESTINATIONS)) {
            assertEquals(34, copy.load());
            final long bytes = copy.bytes();
            copy.change(ListSample.change(DESTINATIONS, "Terminating"));
            assertTrue(copy.bytes() > bytes, "a change is appended");
            assertEquals(34, copy.load());
            copy.writeAll();
            assertEquals(34, copy.load());
        }
    }
}
