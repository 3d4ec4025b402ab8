package railspar.scale.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import railspar.Control;
import railspar.Courier;

/**
 * One courier without sockets and journal: the production decisions, an endpoint list updated by the bytes of a watch,
 * messages at random times, and calls that the destination models answer. It interacts with the rest of the simulation
 * only between two time slices.
 */
final class SimulatedCourier implements Courier.Actions {
    private static final double BYTES_PER_MB = 1e6;
    /** A message that is rejected less than this before its deadline counts as expired. */
    private static final long EXPIRY_MARGIN_US = 50 * Units.US_PER_MS;

    private final int index;
    private final String zoneName;
    private final FleetParameters parameters;
    private final Courier.Settings settings;
    private final EventQueue events;
    private final Discovery discovery;
    private final NetworkPartition partition;
    private final Random trafficRandom;
    private final Random watchRandom;
    private final long arrivalsEndUs;
    private final OpenMessages messages;
    private final List<AttemptCall> calls = new ArrayList<>();
    private final List<ControlUplink.Transfer> transfers = new ArrayList<>();
    private final CourierFigures figures;

    /** The folder of the stored list, or null if none is kept. */
    private final Path listFolder;

    private CourierList list;
    private Control control;
    private ListWatch watch;
    /** Incremented at each start and kill; events of an earlier process are ignored. */
    private int processNumber;

    private boolean running, ready;
    /** The next process starts with an empty folder. */
    private boolean emptyFolder = true;

    private long processStartUs;
    private long readyAtUs;
    /** When the control machines last became reachable. */
    private long controlReachableSinceUs;

    private long callsSent;

    SimulatedCourier(
            final int index,
            final FleetParameters parameters,
            final Discovery discovery,
            final NetworkPartition partition,
            final Path listFolder,
            final long startUs,
            final long arrivalsEndUs,
            final long endUs) {
        final long seed = parameters.plan().seed();
        this.index = index;
        this.parameters = parameters;
        this.discovery = discovery;
        this.partition = partition;
        this.listFolder = listFolder;
        this.arrivalsEndUs = arrivalsEndUs;
        this.zoneName = parameters.plan().zoneName(zone());
        this.settings = CourierSettings.of(parameters, zoneName);
        this.events = new EventQueue(startUs);
        this.trafficRandom = new Random(Seeds.of(seed, Seeds.TRAFFIC, index));
        this.watchRandom = new Random(Seeds.of(seed, Seeds.WATCH, index));
        this.figures = new CourierFigures(startUs, endUs);
        this.messages = new OpenMessages(
                index, parameters.plan().destinations(), settings.classes(), trafficRandom, figures.messages);
    }

    String zoneName() {
        return zoneName;
    }

    int zone() {
        return parameters.plan().zoneOfCourier(index);
    }

    private int region() {
        return parameters.plan().regionOf(zone());
    }

    CourierFigures figures() {
        return figures;
    }

    // ---------------------------------------------------------------- process

    /** Starts the first process. */
    void start() {
        startProcess();
    }

    private void startProcess() {
        final boolean first = processNumber++ == 0;
        running = true;
        processStartUs = events.nowUs();
        list = openList();
        control = newControl();
        watch = new ListWatch(
                events,
                discovery,
                figures.traffic,
                figures.fetches,
                watchRandom,
                parameters.model(),
                this::requestTransfer,
                () -> partition.isCutOffFromControl(zoneName()),
                first,
                emptyFolder,
                list.version(),
                this::onListLine);
        emptyFolder = false;
        final double readSeconds = storedBytes() / (parameters.model().listMegabytesPerSecond() * BYTES_PER_MB);
        afterInThisProcess(
                parameters.model().startMs() * Units.US_PER_MS + Units.fromSeconds(readSeconds),
                this::onProcessStarted);
    }

    private CourierList openList() {
        if (listFolder == null) {
            return CourierList.unstored();
        }
        final long startNs = ProcessorTime.threadNs();
        final CourierList opened = CourierList.stored(listFolder);
        figures.processor.openListNs += ProcessorTime.threadNs() - startNs;
        return opened;
    }

    /** Size on disk of this courier's copy of the list. */
    long storedBytes() {
        try {
            return listFolder == null ? 0 : CourierList.storedBytesIn(listFolder);
        } catch (final IOException e) {
            throw new UncheckedIOException("cannot read the list folder of courier " + index, e);
        }
    }

    /** Creates the decisions, with a different seed at each start. */
    private Control newControl() {
        final long member = ((long) index << Integer.SIZE) + processNumber;
        final long seed = Seeds.of(parameters.plan().seed(), Seeds.DECISIONS, member);
        return new Control(settings, seed, this, list, parameters.destinationsKept());
    }

    private void onProcessStarted() {
        if (processNumber == 1) {
            createBacklog();
        }
        if (list.version() > 0) {
            becomeReady();
        }
        watch.begin();
    }

    private ControlUplink.Transfer requestTransfer(final long bytes, final ControlUplink.Completion completion) {
        final ControlUplink.Transfer transfer =
                new ControlUplink.Transfer(events.nowUs(), index, region(), bytes, completion);
        transfers.add(transfer);
        return transfer;
    }

    /** Returns the transfers requested since the last call. */
    List<ControlUplink.Transfer> takeTransfers() {
        final List<ControlUplink.Transfer> result = List.copyOf(transfers);
        transfers.clear();
        return result;
    }

    /** Records that the control machines are reachable again; the time until missed changes are in force starts now. */
    void onControlReachable() {
        controlReachableSinceUs = events.nowUs();
    }

    /** Kills the process; the next one starts with an empty folder. */
    void replaceWithEmptyFolder() {
        if (running) {
            restart();
            messages.discardAll();
            emptyFolder = true;
            if (listFolder != null) {
                deleteStoredList();
            }
        }
    }

    private void deleteStoredList() {
        try {
            CourierList.deleteIn(listFolder);
        } catch (final IOException e) {
            throw new UncheckedIOException("cannot empty the list folder of courier " + index, e);
        }
    }

    /** Kills the process; the next one starts after a delay with the journaled messages and the stored list. */
    void restart() {
        if (!running) {
            return;
        }
        running = false;
        ready = false;
        processNumber++;
        watch.close();
        figures.routesVisited += control.workload().routesVisited();
        control = null;
        messages.abortCalls();
        events.after(parameters.model().downMs() * Units.US_PER_MS, this::startProcess);
    }

    boolean running() {
        return running;
    }

    private void afterInThisProcess(final long delayUs, final Runnable action) {
        final int expectedProcess = processNumber;
        events.after(delayUs, () -> {
            if (expectedProcess == processNumber) {
                action.run();
            }
        });
    }

    /** The list is in force for the first time: resumes the open messages and begins to accept new ones. */
    private void becomeReady() {
        ready = true;
        readyAtUs = events.nowUs();
        figures.recordReady(processNumber == 1, events.nowUs() - processStartUs);
        for (final OpenMessage message : messages.all()) {
            control.onMessageResumed(events.nowUs(), message.message, message.history());
        }
        decideOnEvent();
        scheduleArrival();
    }

    // ---------------------------------------------------------------- discovery

    ListWatch watch() {
        return watch;
    }

    private void onListLine(final byte[] line) {
        final long before = list.version();
        final List<Courier.Endpoint> changed = readList(line);
        final long startNs = System.nanoTime();
        control.onListUpdate(events.nowUs(), Courier.ListUpdate.INCREMENTAL, changed);
        figures.processor.applyNs += System.nanoTime() - startNs;
        if (ready) {
            decideOnEvent();
        } else {
            becomeReady();
        }
        final long reachableUs = Math.max(processStartUs, controlReachableSinceUs);
        figures.recordInForce(discovery.versionTimesBetween(before, list.version()), reachableUs, events.nowUs());
    }

    private List<Courier.Endpoint> readList(final byte[] line) {
        final long startNs = ProcessorTime.threadNs();
        try {
            return list.apply(line);
        } catch (final IOException e) {
            throw new UncheckedIOException("cannot apply a line of the list at courier " + index, e);
        } finally {
            figures.processor.countList(ProcessorTime.threadNs() - startNs);
        }
    }

    long versionInForce() {
        return list.version();
    }

    int listedEndpoints() {
        return list.size();
    }

    /** Heap used by the list. */
    long listBytes() {
        return list.heapBytes();
    }

    // ---------------------------------------------------------------- messages

    private void createBacklog() {
        for (int number = 0; number < parameters.backlogPerCourier(); number++) {
            messages.accept(events.nowUs());
        }
    }

    private void scheduleArrival() {
        final double perSecond = parameters.eventsPerSecondPerCourier();
        if (perSecond > 0) {
            final double gapSeconds = -Math.log(1 - trafficRandom.nextDouble()) / perSecond;
            afterInThisProcess(Units.fromSeconds(gapSeconds), this::onArrival);
        }
    }

    private void onArrival() {
        if (events.nowUs() >= arrivalsEndUs) {
            return;
        }
        final OpenMessage accepted = messages.accept(events.nowUs());
        control.onMessage(events.nowUs(), accepted.message);
        decideOnEvent();
        scheduleArrival();
    }

    /** Open messages whose deadline has passed. */
    long overdueMessages() {
        return messages.overdue(events.nowUs());
    }

    int openMessages() {
        return messages.size();
    }

    /** Number of destinations that this courier has had a message for. */
    int usedDestinations() {
        return messages.usedDestinations();
    }

    private void endMessage(final String messageId, final Runnable count) {
        messages.end(messageId, events.nowUs(), readyAtUs, count);
    }

    // ---------------------------------------------------------------- decisions

    private void decideOnEvent() {
        final long startNs = System.nanoTime();
        control.decide(events.nowUs());
        figures.processor.eventDecisionsNs += System.nanoTime() - startNs;
        figures.processor.eventDecisions++;
    }

    private void decideOnTimer() {
        final long startNs = System.nanoTime();
        control.decide(events.nowUs());
        figures.processor.timerDecisionsNs += System.nanoTime() - startNs;
        figures.processor.timerDecisions++;
    }

    @Override
    public void send(final String messageId, final long endpoint, final long timeoutUs) {
        final OpenMessage sent = messages.find(messageId);
        sent.attempts++;
        sent.callInFlight = true;
        sent.callSentUs = events.nowUs();
        figures.messages.attempts++;
        calls.add(new AttemptCall(
                events.nowUs(),
                index,
                callsSent++,
                sent,
                sent.attempts,
                sent.message.destination(),
                endpoint,
                list.endpoint(endpoint).zone(),
                timeoutUs));
    }

    /** Returns the calls sent since the last call of this method. */
    List<AttemptCall> takeCalls() {
        final List<AttemptCall> result = List.copyOf(calls);
        calls.clear();
        return result;
    }

    /** Schedules the result of a call; an answer after the timeout of the call becomes a timeout. */
    void onAnswer(final AttemptCall call, final Destinations.Answer answer) {
        final boolean inTime = answer.delayUs() < call.timeoutUs();
        final Courier.Result outcome = inTime ? answer.result() : Courier.Result.TIMED_OUT;
        final long atUs =
                call.sentUs() + Math.min(answer.delayUs(), Math.max(call.timeoutUs(), Destinations.MIN_ANSWER_US));
        final int expectedProcess = processNumber;
        events.at(atUs, () -> {
            final boolean received = expectedProcess == processNumber && isInFlight(call);
            if (answer.result() == Courier.Result.DELIVERED && !(received && outcome == Courier.Result.DELIVERED)) {
                figures.messages.unconfirmedDeliveries++;
            }
            if (received) {
                reportOutcome(call, outcome);
            }
        });
    }

    private boolean isInFlight(final AttemptCall call) {
        return call.message().callInFlight && call.message().attempts == call.attempt();
    }

    private void reportOutcome(final AttemptCall call, final Courier.Result result) {
        final OpenMessage message = call.message();
        final String id = message.message.id();
        message.callInFlight = false;
        final boolean delivered = result == Courier.Result.DELIVERED;
        if (!result.hadNoEffect()) {
            message.recordPossibleEffect(call.sentUs());
        }
        if (delivered) {
            endMessage(id, () -> figures.messages.delivered++);
        }
        control.onOutcome(
                events.nowUs(),
                new Courier.Outcome(id, result, delivered, call.endpoint(), events.nowUs() - call.sentUs(), 0, null));
        decideOnEvent();
    }

    @Override
    public void refuse(final String messageId, final long retryAfterUs) {
        final OpenMessage rejected = messages.find(messageId);
        final boolean expired = rejected != null && rejected.message.validUntilUs() - events.nowUs() < EXPIRY_MARGIN_US;
        endMessage(messageId, () -> {
            figures.messages.rejected++;
            figures.messages.expired += expired ? 1 : 0;
        });
    }

    @Override
    public void fail(final String messageId) {
        endMessage(messageId, () -> figures.messages.failed++);
    }

    @Override
    public void cancel(final String messageId, final int attempt) {
        final OpenMessage cancelled = messages.find(messageId);
        if (cancelled == null || !cancelled.callInFlight) {
            return;
        }
        final int number = cancelled.attempts;
        final long sentUs = cancelled.callSentUs;
        afterInThisProcess(0, () -> {
            if (cancelled.callInFlight && cancelled.attempts == number) {
                cancelled.callInFlight = false;
                cancelled.recordPossibleEffect(sentUs);
                reportCancelled(messageId, sentUs);
            }
        });
    }

    private void reportCancelled(final String messageId, final long sentUs) {
        control.onOutcome(
                events.nowUs(),
                new Courier.Outcome(messageId, Courier.Result.CANCELLED, false, 0, events.nowUs() - sentUs, 0, null));
        decideOnEvent();
    }

    @Override
    public void closeIdleConnections(final long endpoint) {
        // Connections are not modelled.
    }

    @Override
    public void subscribeToList() {
        // The list is pushed: the watch begins when the process starts.
    }

    @Override
    public void wakeAfter(final long delayUs) {
        afterInThisProcess(delayUs, this::decideOnTimer);
    }

    /** Number of destinations that the decisions keep state for. */
    int destinationsWithState() {
        return control == null ? 0 : control.workload().destinationsWithState();
    }

    /** Routes that the decisions of all processes have visited. */
    long routesVisited() {
        return figures.routesVisited + (control == null ? 0 : control.workload().routesVisited());
    }

    // ---------------------------------------------------------------- stepping

    /** Simulates this courier until this time. */
    void runUntil(final long untilUs) {
        events.runUntil(untilUs);
    }

    /** Schedules an action on this courier. */
    void scheduleAt(final long atUs, final Runnable action) {
        events.at(atUs, action);
    }
}
