package railspar.scale.slope;

import java.util.List;
import railspar.Courier;

/** Processor time and heap of the decision module, against the amount of state that it holds. */
final class DecisionSeries {
    private static final List<Integer> BUSY_SIZES = List.of(10, 100, 1000, 5000);
    private static final List<Integer> WAITING_SIZES = List.of(100, 1000, 10_000, 100_000);
    private static final List<Integer> LISTED_SIZES = List.of(100, 5000, 20_000, 45_000);
    private static final int TARGET_DESTINATIONS = 45_000;
    /** The target's destinations that are down: 4.3% of all. */
    private static final int TARGET_DESTINATIONS_DOWN = 1935;
    /** Waiting messages of one courier: the target's backlog of 2.2 billion divided by 660 couriers. */
    private static final int TARGET_WAITING = 3_333_333;
    /** Those messages, spread over the destinations that are down. */
    private static final int TARGET_WAITING_PER_DESTINATION = TARGET_WAITING / TARGET_DESTINATIONS_DOWN;
    /** Number of destinations over which the waiting messages are spread. */
    private static final int WAITING_DESTINATIONS = 100;

    private DecisionSeries() {}

    /** Cost of a decision, a probe and a delivery, against the number of waiting messages or of their destinations. */
    static List<Series> decisions() {
        return List.of(
                new Series(
                        "decisions-busy",
                        "destinations with one waiting message each",
                        "us of processor per decision",
                        BUSY_SIZES,
                        TARGET_DESTINATIONS_DOWN,
                        size -> decisionMicros(size, size)),
                new Series(
                        "decisions-waiting",
                        "messages waiting for " + WAITING_DESTINATIONS + " closed destinations",
                        "us of processor per decision",
                        WAITING_SIZES,
                        TARGET_WAITING,
                        size -> decisionMicros(size, Math.min(size, WAITING_DESTINATIONS))),
                new Series(
                        "decisions-trial",
                        "messages waiting for one destination that refuses connections",
                        "us of processor per trial, with its decisions",
                        WAITING_SIZES,
                        TARGET_WAITING_PER_DESTINATION,
                        size -> callMicros(size, Courier.Result.NO_CONNECTION)),
                new Series(
                        "decisions-drain",
                        "messages waiting for one destination that answers",
                        "us of processor per message delivered, with its decisions",
                        WAITING_SIZES,
                        TARGET_WAITING_PER_DESTINATION,
                        size -> callMicros(size, Courier.Result.DELIVERED)));
    }

    /** Cost of the periodic step without traffic, of list updates and of state reads, against the list size. */
    static List<Series> step() {
        return List.of(
                new Series(
                        "step-listed",
                        "listed destinations, none with traffic",
                        "us of processor per second's step",
                        LISTED_SIZES,
                        TARGET_DESTINATIONS,
                        size -> ProcessorTime.microsPerCall(new DecisionFixture(size)::decideSecondLater)),
                new Series(
                        "step-change",
                        "listed destinations, none with traffic",
                        "us of processor per change of one entry",
                        LISTED_SIZES,
                        TARGET_DESTINATIONS,
                        size -> ProcessorTime.microsPerCall(new DecisionFixture(size)::announceOneChange)),
                new Series(
                        "step-whole-list",
                        "listed destinations, none with traffic",
                        "us of processor per whole list told again",
                        LISTED_SIZES,
                        TARGET_DESTINATIONS,
                        size -> ProcessorTime.microsPerCall(new DecisionFixture(size)::announceWholeList)),
                new Series(
                        "step-avoided",
                        "listed destinations, none with traffic",
                        "us of processor per count of avoided endpoints",
                        LISTED_SIZES,
                        TARGET_DESTINATIONS,
                        size -> ProcessorTime.microsPerCall(new DecisionFixture(size)::countAvoided)),
                new Series(
                        "step-hand-over",
                        "listed destinations, none with traffic",
                        "us of processor per reading of all standings",
                        LISTED_SIZES,
                        TARGET_DESTINATIONS,
                        size -> ProcessorTime.microsPerCall(new DecisionFixture(size)::readAllSnapshots)));
    }

    /** Heap retained by the module, against the size of the list and the number of waiting messages. */
    static List<Series> state() {
        return List.of(
                new Series(
                        "state-listed",
                        "listed destinations, none with traffic",
                        "bytes of heap with the table",
                        LISTED_SIZES,
                        TARGET_DESTINATIONS,
                        size -> HeapUse.bytesHeldBy(() -> new DecisionFixture(size))),
                new Series(
                        "state-waiting",
                        "messages waiting for " + WAITING_DESTINATIONS + " closed destinations",
                        "bytes of heap",
                        WAITING_SIZES,
                        TARGET_WAITING,
                        size -> HeapUse.bytesHeldBy(() -> pausedFixture(size, Math.min(size, WAITING_DESTINATIONS)))));
    }

    private static double decisionMicros(final int messages, final int destinations) {
        return ProcessorTime.microsPerCall(pausedFixture(messages, destinations)::decideMicrosecondLater);
    }

    /**
     * Cost of one call to a destination with waiting messages, in a fleet of one courier, whose probes are at most two
     * seconds apart.
     */
    private static double callMicros(final int messages, final Courier.Result result) {
        final DecisionFixture fixture = new DecisionFixture(1, 1);
        fixture.accept(messages, 1);
        return ProcessorTime.microsPerCall(() -> fixture.completeOneCall(result));
    }

    /** A module with waiting messages for destinations that all sent a retry-after and so get no calls. */
    private static DecisionFixture pausedFixture(final int messages, final int destinations) {
        final DecisionFixture fixture = new DecisionFixture(destinations);
        fixture.pauseAllDestinations();
        fixture.accept(messages, destinations);
        if (fixture.callCount() > 0) {
            throw new IllegalStateException(
                    "a call was started before the retry-after expired: the messages do not wait");
        }
        return fixture;
    }
}
