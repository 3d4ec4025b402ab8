package railspar.scale.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import railspar.scale.standin.EndpointEntry;

/**
 * One run of a fleet. Time passes in slices no longer than the least time of an answer: in a slice each courier goes
 * on by itself, then the destinations answer all calls of the slice in the order of their times. So neither the
 * order in which couriers are stepped nor the number of threads changes the result.
 */
public final class FleetRun {
    /** The list names it; nobody connects. */
    private static final int ENDPOINT_PORT = 7070;

    private static final long SLICE_US = Destinations.LEAST_ANSWER_US;
    /** Far from zero, so that "never yet" lies long ago for the decisions. */
    private static final long START_US = Units.us(3_600);
    /** After the last message was handed in: its longest time, and what may come late. */
    private static final long DRAIN_US = Units.us(30);
    /** Simulated time between two reports of progress. */
    private static final long PROGRESS_US = Units.US_PER_SECOND;

    private static final Comparator<AttemptCall> BY_TIME = Comparator.comparingLong(AttemptCall::atUs)
            .thenComparingInt(AttemptCall::courier)
            .thenComparingLong(AttemptCall::order);

    private final FleetParameters parameters;
    private final int threads;
    private final AnswerLoss loss;
    private final long endUs;
    /** What happens at the destinations, in order with the calls. */
    private final EventQueue atDestinations = new EventQueue(START_US);
    /** What happens to discovery and to the couriers: known before they are stepped through a slice. */
    private final EventQueue scenario = new EventQueue(START_US);

    private final Destinations destinations;
    private final ControlUplink uplink;
    private final RegionCut regionCut;
    private final Discovery discovery;
    private final List<HollowCourier> couriers = new ArrayList<>();
    private long callNumber;

    /** A run on so many threads, which keeps the couriers' lists in a folder where the parameters say so. */
    public FleetRun(final FleetParameters parameters, final int threads, final Path folder) {
        this(parameters, threads, folder, AnswerLoss.NONE);
    }

    FleetRun(final FleetParameters parameters, final int threads, final Path folder, final AnswerLoss loss) {
        this.parameters = parameters;
        this.threads = threads;
        this.loss = loss;
        final long scenarioUs = START_US + Units.us(parameters.settleSeconds());
        final long arrivalsEndUs = scenarioUs + Units.us(parameters.seconds());
        this.endUs = arrivalsEndUs + DRAIN_US;
        this.destinations = new Destinations(parameters, atDestinations);
        final SurroundingsModel.Control control = parameters.model().control();
        this.uplink = new ControlUplink(control.machines(), control.megabytesPerSecond(), START_US);
        this.regionCut =
                new RegionCut(parameters.plan(), parameters.disturbances().cutRegion());
        this.discovery = new Discovery(listedEndpoints(), parameters.plan().seed());
        for (int index = 0; index < parameters.plan().couriers(); index++) {
            final Path listFolder = parameters.storedList() ? folder.resolve("courier-" + index) : null;
            couriers.add(new HollowCourier(
                    index, parameters, discovery, regionCut, listFolder, START_US, arrivalsEndUs, endUs));
        }
        new Scenario(parameters, scenario, discovery, regionCut, couriers, scenarioUs).schedule();
    }

    /** The plan's list, where a destination's share tells its limit. */
    private List<EndpointEntry> listedEndpoints() {
        final double limit = destinations.listedLimit();
        return parameters
                .plan()
                .endpoints(new InetSocketAddress(InetAddress.getLoopbackAddress(), ENDPOINT_PORT))
                .stream()
                .map(entry -> new EndpointEntry(
                        entry.host(),
                        entry.dial(),
                        entry.site(),
                        entry.kind(),
                        entry.block(),
                        entry.health(),
                        limit,
                        entry.bornMs()))
                .toList();
    }

    /** Plays the run to its end. */
    public FleetFigures play(final Progress progress) throws InterruptedException {
        couriers.forEach(HollowCourier::start);
        try (CourierStepper stepper = new CourierStepper(couriers, threads)) {
            for (long fromUs = START_US; fromUs < endUs; fromUs += SLICE_US) {
                scenario.runUntil(fromUs + SLICE_US);
                stepper.runUntil(fromUs + SLICE_US);
                sendLists(fromUs + SLICE_US);
                answerCalls();
                atDestinations.runUntil(fromUs + SLICE_US);
                if ((fromUs - START_US) % PROGRESS_US == 0) {
                    progress.at(seconds(fromUs - START_US), seconds(endUs - START_US));
                }
            }
        }
        destinations.close();
        return FleetFigures.of(parameters, seconds(endUs - START_US), discovery, uplink, destinations, couriers);
    }

    private static double seconds(final long us) {
        return (double) us / Units.US_PER_SECOND;
    }

    private void sendLists(final long untilUs) {
        final List<ControlUplink.Transfer> requested = new ArrayList<>();
        couriers.forEach(courier -> requested.addAll(courier.takeTransfers()));
        uplink.runUntil(untilUs, requested);
    }

    private void answerCalls() {
        final List<AttemptCall> calls = new ArrayList<>();
        couriers.forEach(courier -> calls.addAll(courier.takeCalls()));
        calls.sort(BY_TIME);
        for (final AttemptCall call : calls) {
            atDestinations.runUntil(call.atUs());
            final String from = couriers.get(call.courier()).zoneName();
            final Destinations.Answer answer = regionCut.separates(from, call.endpointZone())
                    ? destinations.unreachable(call)
                    : destinations.answer(call);
            if (!loss.loses(callNumber++)) {
                couriers.get(call.courier()).answered(call, answer);
            }
        }
    }
}
