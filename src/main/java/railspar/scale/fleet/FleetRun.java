package railspar.scale.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import railspar.scale.standin.EndpointEntry;

/**
 * One simulation run of a fleet. Time advances in slices no longer than the minimum time until an answer. In each slice
 * every courier is simulated independently; then the destinations answer all calls of the slice in the order of their
 * times. So neither the order in which couriers are stepped nor the number of threads changes the result.
 */
public final class FleetRun {
    /** Port of all endpoints in the list; nothing connects to it. */
    private static final int ENDPOINT_PORT = 7070;

    private static final long SLICE_US = Destinations.MIN_ANSWER_US;
    /** Far from zero, so that for the decisions events that never happened lie far in the past. */
    private static final long START_US = Units.fromSeconds(3_600);
    /** Simulated time after the last message: the longest deadline and the time by which an end may be late. */
    private static final long DRAIN_PERIOD_US = Units.fromSeconds(30);
    /** Simulated time between two progress reports. */
    private static final long PROGRESS_INTERVAL_US = Units.US_PER_SECOND;

    private static final Comparator<AttemptCall> BY_SENT_TIME = Comparator.comparingLong(AttemptCall::sentUs)
            .thenComparingInt(AttemptCall::courier)
            .thenComparingLong(AttemptCall::sequence);

    private final FleetParameters parameters;
    private final int threads;
    private final AnswerLoss answerLoss;
    private final long endUs;
    /** Events at the destinations; they run in the order of their times together with the calls. */
    private final EventQueue destinationEvents = new EventQueue(START_US);
    /** Events at discovery and the couriers; they run before the couriers are stepped through a time slice. */
    private final EventQueue scenarioEvents = new EventQueue(START_US);

    private final Destinations destinations;
    private final ControlUplink uplink;
    private final NetworkPartition partition;
    private final Discovery discovery;
    private final List<SimulatedCourier> couriers = new ArrayList<>();
    private long callNumber;

    /** Creates a run on this number of threads; stored lists are kept in the folder if the parameters ask for them. */
    public FleetRun(final FleetParameters parameters, final int threads, final Path folder) {
        this(parameters, threads, folder, AnswerLoss.NONE);
    }

    FleetRun(final FleetParameters parameters, final int threads, final Path folder, final AnswerLoss answerLoss) {
        this.parameters = parameters;
        this.threads = threads;
        this.answerLoss = answerLoss;
        final long scenarioStartUs = START_US + Units.fromSeconds(parameters.settleSeconds());
        final long arrivalsEndUs = scenarioStartUs + Units.fromSeconds(parameters.seconds());
        this.endUs = arrivalsEndUs + DRAIN_PERIOD_US;
        this.destinations = new Destinations(parameters, destinationEvents);
        final SurroundingsModel.Control control = parameters.model().control();
        this.uplink = new ControlUplink(control.machines(), control.megabytesPerSecond(), START_US);
        this.partition = new NetworkPartition(
                parameters.plan(), parameters.disturbances().cutRegion());
        this.discovery = new Discovery(listedEndpoints(), parameters.plan().seed());
        for (int index = 0; index < parameters.plan().couriers(); index++) {
            final Path listFolder = parameters.storedList() ? folder.resolve("courier-" + index) : null;
            couriers.add(new SimulatedCourier(
                    index, parameters, discovery, partition, listFolder, START_US, arrivalsEndUs, endUs));
        }
        new Scenario(parameters, scenarioEvents, discovery, partition, couriers, scenarioStartUs).schedule();
    }

    /** The endpoint list of the plan, in which the share of each entry is the limit of its destination. */
    private List<EndpointEntry> listedEndpoints() {
        final double limit = destinations.advertisedCallsPerSecond();
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

    /** Simulates the run to its end and returns the results. */
    public FleetFigures run(final Progress progress) throws InterruptedException {
        couriers.forEach(SimulatedCourier::start);
        try (CourierStepper stepper = new CourierStepper(couriers, threads)) {
            for (long fromUs = START_US; fromUs < endUs; fromUs += SLICE_US) {
                scenarioEvents.runUntil(fromUs + SLICE_US);
                stepper.runUntil(fromUs + SLICE_US);
                transferLists(fromUs + SLICE_US);
                answerCalls();
                destinationEvents.runUntil(fromUs + SLICE_US);
                if ((fromUs - START_US) % PROGRESS_INTERVAL_US == 0) {
                    progress.report(seconds(fromUs - START_US), seconds(endUs - START_US));
                }
            }
        }
        destinations.finish();
        return FleetFigures.of(parameters, seconds(endUs - START_US), discovery, uplink, destinations, couriers);
    }

    private static double seconds(final long us) {
        return (double) us / Units.US_PER_SECOND;
    }

    private void transferLists(final long untilUs) {
        final List<ControlUplink.Transfer> requested = new ArrayList<>();
        couriers.forEach(courier -> requested.addAll(courier.takeTransfers()));
        uplink.runUntil(untilUs, requested);
    }

    private void answerCalls() {
        final List<AttemptCall> calls = new ArrayList<>();
        couriers.forEach(courier -> calls.addAll(courier.takeCalls()));
        calls.sort(BY_SENT_TIME);
        for (final AttemptCall call : calls) {
            destinationEvents.runUntil(call.sentUs());
            final String from = couriers.get(call.courier()).zoneName();
            final Destinations.Answer answer = partition.separates(from, call.endpointZone())
                    ? destinations.unreachable(call)
                    : destinations.answer(call);
            if (!answerLoss.isLost(callNumber++)) {
                couriers.get(call.courier()).onAnswer(call, answer);
            }
        }
    }
}
