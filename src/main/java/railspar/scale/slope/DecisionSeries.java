package railspar.scale.slope;

import java.util.List;
import railspar.Courier;

/** Processor time and heap of the decision module, against what it holds. */
final class DecisionSeries {
    private static final List<Integer> BUSY = List.of(10, 100, 1000, 5000);
    private static final List<Integer> WAITING = List.of(100, 1000, 10_000, 100_000);
    private static final List<Integer> LISTED = List.of(100, 5000, 20_000, 45_000);
    private static final int TARGET_DESTINATIONS = 45_000;
    /** 4.3% of the target's destinations. */
    private static final int TARGET_DOWN = 1935;
    /** The target's backlog of 2.2 billion over 660 couriers. */
    private static final int TARGET_WAITING = 3_333_333;
    /** The same, spread over the destinations that are down. */
    private static final int TARGET_WAITING_FOR_ONE = TARGET_WAITING / TARGET_DOWN;
    /** Over how many destinations waiting messages are spread. */
    private static final int WAITING_DESTINATIONS = 100;

    private DecisionSeries() {}

    /** One decision, against destinations with messages and against messages that wait for closed destinations. */
    static List<Series> decisions() {
        return List.of(
                new Series(
                        "decisions-busy",
                        "destinations with one waiting message each",
                        "us of processor per decision",
                        BUSY,
                        TARGET_DOWN,
                        size -> decisionMicros(size, size)),
                new Series(
                        "decisions-waiting",
                        "messages waiting for " + WAITING_DESTINATIONS + " closed destinations",
                        "us of processor per decision",
                        WAITING,
                        TARGET_WAITING,
                        size -> decisionMicros(size, Math.min(size, WAITING_DESTINATIONS))),
                new Series(
                        "decisions-trial",
                        "messages waiting for one destination that refuses connections",
                        "us of processor per trial, with its decisions",
                        WAITING,
                        TARGET_WAITING_FOR_ONE,
                        size -> callMicros(size, Courier.Result.NO_CONNECTION)),
                new Series(
                        "decisions-drain",
                        "messages waiting for one destination that answers",
                        "us of processor per message delivered, with its decisions",
                        WAITING,
                        TARGET_WAITING_FOR_ONE,
                        size -> callMicros(size, Courier.Result.DELIVERED)));
    }

    /** The work of a second in which nothing happens, and of a change, against the length of the list. */
    static List<Series> step() {
        return List.of(
                new Series(
                        "step-listed",
                        "listed destinations, none with traffic",
                        "us of processor per second's step",
                        LISTED,
                        TARGET_DESTINATIONS,
                        size -> ProcessorTime.microsPerCall(new DecisionFixture(size)::decideNextSecond)),
                new Series(
                        "step-change",
                        "listed destinations, none with traffic",
                        "us of processor per change of one entry",
                        LISTED,
                        TARGET_DESTINATIONS,
                        size -> ProcessorTime.microsPerCall(new DecisionFixture(size)::tellOneChange)),
                new Series(
                        "step-whole-list",
                        "listed destinations, none with traffic",
                        "us of processor per whole list told again",
                        LISTED,
                        TARGET_DESTINATIONS,
                        size -> ProcessorTime.microsPerCall(new DecisionFixture(size)::tellWholeList)),
                new Series(
                        "step-avoided",
                        "listed destinations, none with traffic",
                        "us of processor per count of avoided endpoints",
                        LISTED,
                        TARGET_DESTINATIONS,
                        size -> ProcessorTime.microsPerCall(new DecisionFixture(size)::countAvoided)),
                new Series(
                        "step-hand-over",
                        "listed destinations, none with traffic",
                        "us of processor per reading of all standings",
                        LISTED,
                        TARGET_DESTINATIONS,
                        size -> ProcessorTime.microsPerCall(new DecisionFixture(size)::readAllStandings)));
    }

    /** Heap that the module holds, against the list and against waiting messages. */
    static List<Series> state() {
        return List.of(
                new Series(
                        "state-listed",
                        "listed destinations, none with traffic",
                        "bytes of heap with the table",
                        LISTED,
                        TARGET_DESTINATIONS,
                        size -> HeapUse.bytesHeldBy(() -> new DecisionFixture(size))),
                new Series(
                        "state-waiting",
                        "messages waiting for " + WAITING_DESTINATIONS + " closed destinations",
                        "bytes of heap",
                        WAITING,
                        TARGET_WAITING,
                        size -> HeapUse.bytesHeldBy(() -> closed(size, Math.min(size, WAITING_DESTINATIONS)))));
    }

    private static double decisionMicros(final int messages, final int destinations) {
        return ProcessorTime.microsPerCall(closed(messages, destinations)::decideSoon);
    }

    /** One call to a destination with messages waiting, in a fleet of one: trials are two seconds apart at most. */
    private static double callMicros(final int messages, final Courier.Result result) {
        final DecisionFixture fixture = new DecisionFixture(1, 1);
        fixture.take(messages, 1);
        return ProcessorTime.microsPerCall(() -> fixture.endOneCall(result));
    }

    /** A module whose destinations are all closed, with messages waiting for them. */
    private static DecisionFixture closed(final int messages, final int destinations) {
        final DecisionFixture fixture = new DecisionFixture(destinations);
        fixture.closeAll();
        fixture.take(messages, destinations);
        if (fixture.sent() > 0) {
            throw new IllegalStateException("a closed destination was sent to: the messages do not wait");
        }
        return fixture;
    }
}
