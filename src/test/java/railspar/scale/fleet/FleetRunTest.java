package railspar.scale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static railspar.scale.fleet.Disturbances.NONE;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import railspar.scale.fleet.Disturbances.CutMode;
import railspar.scale.standin.FleetPlan;

/** Runs a small fleet for 30 simulated seconds with each disturbance; asserts only counted or simulated figures. */
final class FleetRunTest {
    private static final int COURIERS = 20;
    private static final int DESTINATIONS = 200;
    private static final int SECONDS = 30;
    private static final int CHANGES = 10;
    private static final int RESTARTS = 3;
    private static final int ZONES = 9;
    private static final double CHANGES_PER_DAY = CHANGES * Units.SECONDS_PER_DAY / SECONDS;

    private static final int REGION_CUT_SECONDS = 10;

    private static FleetParameters parameters(final long seed, final boolean storedList) {
        return parameters(seed, storedList, new Disturbances(RESTARTS, 8, 0.1, 0, CutMode.RESTART, NONE, 0));
    }

    private static FleetParameters parameters(
            final long seed, final boolean storedList, final Disturbances disturbances) {
        return new FleetParameters(
                new FleetPlan(COURIERS, DESTINATIONS, 1.7, 0.043, 3, ZONES, seed),
                200,
                CHANGES_PER_DAY,
                SECONDS,
                0,
                disturbances,
                5,
                50,
                storedList,
                SurroundingsModel.DEFAULT);
    }

    private static FleetFigures simulate(final long seed, final int threads, final AnswerLoss loss)
            throws InterruptedException {
        return new FleetRun(parameters(seed, false), threads, null, loss).run((seconds, totalSeconds) -> {});
    }

    private static List<String> failedChecks(final FleetFigures figures) {
        return figures.checks().stream()
                .filter(check -> !check.holds())
                .map(FleetFigures.Check::name)
                .toList();
    }

    @Test
    void resultDependsOnTheSeedButNotOnTheNumberOfThreads() throws InterruptedException {
        final FleetFigures first = simulate(1, 1, AnswerLoss.NONE);
        assertEquals(first.repeatable(), simulate(1, 1, AnswerLoss.NONE).repeatable());
        assertEquals(first.repeatable(), simulate(1, 3, AnswerLoss.NONE).repeatable());
        assertNotEquals(first.repeatable(), simulate(2, 1, AnswerLoss.NONE).repeatable());
    }

    @Test
    void everyMessageEndsOnceAndEveryChangeComesIntoForce() throws InterruptedException {
        final FleetFigures figures = simulate(1, 1, AnswerLoss.NONE);
        assertEquals(List.of(), failedChecks(figures));
        assertEquals(CHANGES, figures.value("changes made"));
        assertEquals(0, figures.value("couriers without the newest list at the end"));
        assertEquals(COURIERS, figures.value("ready after first start: samples"));
        assertTrue(figures.value("messages taken") > 0);
        assertTrue(figures.value("calls to destinations that were down") > 0);
        assertTrue(figures.value("change in force: worst") > 8, "the outage must delay a change");
        final double coldCalls = figures.value("calls to cold destinations, first attempts")
                + figures.value("calls to cold destinations, later attempts");
        assertTrue(
                coldCalls >= figures.value("cold spans with calls"),
                "each counted interval must contain a call: " + coldCalls);
    }

    @Test
    void courierRestartedWithAStoredListFetchesOnlyChanges(@TempDir final Path folder) throws InterruptedException {
        final FleetFigures withoutStoredList = simulate(1, 1, AnswerLoss.NONE);
        final FleetFigures withStoredList =
                new FleetRun(parameters(1, true), 1, folder).run((seconds, totalSeconds) -> {});
        assertTrue(withoutStoredList.value("whole lists at restart") >= RESTARTS);
        assertEquals(0, withStoredList.value("whole lists at restart"));
        assertEquals(0, withStoredList.value("couriers without the newest list at the end"));
    }

    @Test
    void couriersOfAReplacedZoneFetchWholeListsAndLoseTheirMessages(@TempDir final Path folder)
            throws InterruptedException {
        final int couriersInZone = (COURIERS + ZONES - 1) / ZONES;
        final Disturbances disturbances = new Disturbances(0, 0, 0, 0, CutMode.REPLACE, NONE, 0);
        final FleetFigures figures =
                new FleetRun(parameters(1, true, disturbances), 1, folder).run((seconds, totalSeconds) -> {});
        assertEquals(List.of(), failedChecks(figures));
        assertEquals(couriersInZone, figures.value("whole lists at restart"));
        assertTrue(figures.value("messages lost with a folder") > 0);
        assertEquals(0, figures.value("couriers without the newest list at the end"));
    }

    @Test
    void couriersFetchOnlyMissedChangesAfterARegionCut() throws InterruptedException {
        final Disturbances disturbances = new Disturbances(0, 0, 0, NONE, CutMode.RESTART, 1, REGION_CUT_SECONDS);
        final FleetFigures figures =
                new FleetRun(parameters(1, false, disturbances), 1, null).run((seconds, totalSeconds) -> {});
        assertEquals(List.of(), failedChecks(figures));
        assertTrue(figures.value("calls over a cut network") > 0);
        assertEquals(0, figures.value("whole lists fetched again by one process"));
        assertEquals(0, figures.value("couriers without the newest list at the end"));
        assertTrue(
                figures.value("change in force: worst") < REGION_CUT_SECONDS,
                "the delay of a change must be counted from the end of the cut");
    }

    @Test
    void checksDetectALostAnswer() throws InterruptedException {
        // No courier is restarted: the next process would resend the message, and only the deliveries check would fail.
        final FleetParameters parameters =
                parameters(1, false, new Disturbances(0, 8, 0.1, NONE, CutMode.RESTART, NONE, 0));
        final FleetFigures complete = new FleetRun(parameters, 1, null).run((seconds, totalSeconds) -> {});
        final FleetFigures withLostAnswer =
                new FleetRun(parameters, 1, null, callNumber -> callNumber == 1_000).run((seconds, totalSeconds) -> {});
        assertEquals(List.of(), failedChecks(complete));
        assertEquals(
                List.of("messages without an end after their time", "deliveries made = heard + unheard"),
                failedChecks(withLostAnswer));
    }
}
