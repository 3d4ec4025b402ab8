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

/** A small fleet over 30 simulated seconds, with each of the disturbances; all that is asserted is counted. */
final class FleetRunTest {
    private static final int COURIERS = 20;
    private static final int DESTINATIONS = 200;
    private static final int SECONDS = 30;
    private static final int CHANGES = 10;
    private static final int RESTARTS = 3;
    private static final int ZONES = 9;
    private static final double CHANGES_PER_DAY = CHANGES * Units.SECONDS_PER_DAY / SECONDS;

    private static final int REGION_CUT = 10;

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

    private static FleetFigures play(final long seed, final int threads, final AnswerLoss loss)
            throws InterruptedException {
        return new FleetRun(parameters(seed, false), threads, null, loss).play((at, of) -> {});
    }

    private static List<String> failedChecks(final FleetFigures figures) {
        return figures.checks().stream()
                .filter(check -> !check.holds())
                .map(FleetFigures.Check::name)
                .toList();
    }

    @Test
    void oneSeedGivesOneResultWhateverTheThreads() throws InterruptedException {
        final FleetFigures first = play(1, 1, AnswerLoss.NONE);
        assertEquals(first.repeatable(), play(1, 1, AnswerLoss.NONE).repeatable());
        assertEquals(first.repeatable(), play(1, 3, AnswerLoss.NONE).repeatable());
        assertNotEquals(first.repeatable(), play(2, 1, AnswerLoss.NONE).repeatable());
    }

    @Test
    void everyMessageEndsOnceAndEveryChangeComesIntoForce() throws InterruptedException {
        final FleetFigures figures = play(1, 1, AnswerLoss.NONE);
        assertEquals(List.of(), failedChecks(figures));
        assertEquals(CHANGES, figures.value("changes made"));
        assertEquals(0, figures.value("couriers without the newest list at the end"));
        assertEquals(COURIERS, figures.value("ready after first start: samples"));
        assertTrue(figures.value("messages taken") > 0);
        assertTrue(figures.value("calls to destinations that were down") > 0);
        assertTrue(figures.value("change in force: worst") > 8, "the outage holds up a change");
        final double coldCalls = figures.value("calls to cold destinations, first attempts")
                + figures.value("calls to cold destinations, later attempts");
        assertTrue(coldCalls >= figures.value("cold spans with calls"), "a span has a call: " + coldCalls);
    }

    @Test
    void aRestartedCourierThatFindsItsListFetchesOnlyWhatChanged(@TempDir final Path folder)
            throws InterruptedException {
        final FleetFigures without = play(1, 1, AnswerLoss.NONE);
        final FleetFigures with = new FleetRun(parameters(1, true), 1, folder).play((at, of) -> {});
        assertTrue(without.value("whole lists at restart") >= RESTARTS);
        assertEquals(0, with.value("whole lists at restart"));
        assertEquals(0, with.value("couriers without the newest list at the end"));
    }

    @Test
    void aReplacedZoneFetchesItsListsAndWhatItHeldIsHandedOn(@TempDir final Path folder) throws InterruptedException {
        final int zoneMembers = (COURIERS + ZONES - 1) / ZONES;
        final Disturbances disturbances = new Disturbances(0, 0, 0, 0, CutMode.REPLACE, NONE, 0);
        final FleetFigures figures = new FleetRun(parameters(1, true, disturbances), 1, folder).play((at, of) -> {});
        assertEquals(List.of(), failedChecks(figures));
        assertEquals(zoneMembers, figures.value("whole lists at restart"));
        assertTrue(figures.value("messages lost with a folder") > 0);
        assertEquals(0, figures.value("couriers without the newest list at the end"));
    }

    @Test
    void aRegionThatWasCutOffHearsOnlyWhatItMissed() throws InterruptedException {
        final Disturbances disturbances = new Disturbances(0, 0, 0, NONE, CutMode.RESTART, 1, REGION_CUT);
        final FleetFigures figures = new FleetRun(parameters(1, false, disturbances), 1, null).play((at, of) -> {});
        assertEquals(List.of(), failedChecks(figures));
        assertTrue(figures.value("calls over a cut network") > 0);
        assertEquals(0, figures.value("whole lists fetched again by one process"));
        assertEquals(0, figures.value("couriers without the newest list at the end"));
        assertTrue(figures.value("change in force: worst") < REGION_CUT, "a change counts from the end of the cut");
    }

    @Test
    void aDroppedDeliveryIsFoundByTheSums() throws InterruptedException {
        // No courier is restarted: the next process would send the message again, and only the deliveries would tell.
        final FleetParameters parameters =
                parameters(1, false, new Disturbances(0, 8, 0.1, NONE, CutMode.RESTART, NONE, 0));
        final FleetFigures whole = new FleetRun(parameters, 1, null).play((at, of) -> {});
        final FleetFigures dropped =
                new FleetRun(parameters, 1, null, callNumber -> callNumber == 1_000).play((at, of) -> {});
        assertEquals(List.of(), failedChecks(whole));
        assertEquals(
                List.of("messages without an end after their time", "deliveries made = heard + unheard"),
                failedChecks(dropped));
    }
}
