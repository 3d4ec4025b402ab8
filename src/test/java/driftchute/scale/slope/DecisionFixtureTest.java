package driftchute.scale.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** What the measurements of the decision module stand on: messages wait when they are meant to, and only then. */
final class DecisionFixtureTest {
    private static final int DESTINATIONS = 20;

    @Test
    void aClosedDestinationIsNeverSentTo() {
        final DecisionFixture fixture = new DecisionFixture(DESTINATIONS);
        fixture.closeAll();
        fixture.take(3 * DESTINATIONS, DESTINATIONS);
        for (int decision = 0; decision < 100; decision++) {
            fixture.decideSoon();
        }
        assertEquals(0, fixture.sent());
    }

    @Test
    void anOpenDestinationIsSentTo() {
        final DecisionFixture fixture = new DecisionFixture(DESTINATIONS);
        fixture.take(DESTINATIONS, DESTINATIONS);
        assertEquals(DESTINATIONS, fixture.sent(), "one call for each destination");
    }

    @Test
    void theListHasTheTargetsShareOfEndpoints() {
        assertEquals(76_500, DecisionFixture.endpoints(45_000).size());
        final var listed = ListSample.wholeList(100);
        assertEquals(170, listed.split("\"host\":").length - 1);
    }
}
