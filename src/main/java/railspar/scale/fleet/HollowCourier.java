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
 * One courier without sockets and files: the real decisions, a list of its own fed by the bytes of a watch, messages
 * handed in at random, and calls that the models of the destinations answer. Between two slices it meets nobody.
 */
final class HollowCourier implements Courier.Actions {
    private static final double BYTES_PER_MB = 1e6;
    /** A message refused so near its end was given up rather than turned away. */
    private static final long GIVEN_UP_WITHIN_US = 50 * Units.US_PER_MS;

    private final int index;
    private final String zoneName;
    private final FleetParameters parameters;
    private final Courier.Settings settings;
    private final EventQueue events;
    private final Discovery discovery;
    private final RegionCut regionCut;
    private final Random traffic;
    private final Random pauses;
    private final long arrivalsEndUs;
    private final OpenMessages messages;
    private final List<AttemptCall> calls = new ArrayList<>();
    private final List<ControlUplink.Transfer> transfers = new ArrayList<>();
    private final CourierFigures figures;

    /** Where the list is kept, or null. */
    private final Path listFolder;

    private CourierList list;
    private Control control;
    private ListWatch watch;
    /** Processes so far; what was meant for an earlier one is void. */
    private int process;

    private boolean running, ready;
    /** The process began, or begins next, on an empty folder. */
    private boolean emptyFolder = true;

    private long processStartUs;
    private long readyAtUs;
    /** Since when the control machines can be reached. */
    private long controlSinceUs;

    private long callsMade;

    HollowCourier(
            final int index,
            final FleetParameters parameters,
            final Discovery discovery,
            final RegionCut regionCut,
            final Path listFolder,
            final long startUs,
            final long arrivalsEndUs,
            final long endUs) {
        final long seed = parameters.plan().seed();
        this.index = index;
        this.parameters = parameters;
        this.discovery = discovery;
        this.regionCut = regionCut;
        this.listFolder = listFolder;
        this.arrivalsEndUs = arrivalsEndUs;
        this.zoneName = parameters.plan().zoneName(zone());
        this.settings = CourierSettings.of(parameters, zoneName);
        this.events = new EventQueue(startUs);
        this.traffic = new Random(Seeds.of(seed, Seeds.TRAFFIC, index));
        this.pauses = new Random(Seeds.of(seed, Seeds.WATCH, index));
        this.figures = new CourierFigures(startUs, endUs);
        this.messages = new OpenMessages(
                index, parameters.plan().destinations(), settings.classes(), traffic, figures.messages);
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

    // ---------------------------------------------------------------- the process

    /** Starts the first process. */
    void start() {
        startProcess();
    }

    private void startProcess() {
        final boolean first = process++ == 0;
        running = true;
        processStartUs = events.nowUs();
        list = openList();
        control = newControl();
        watch = new ListWatch(
                events,
                discovery,
                figures.traffic,
                figures.fetches,
                pauses,
                parameters.model(),
                this::download,
                () -> regionCut.cutsOffControl(zoneName()),
                first,
                emptyFolder,
                list.version(),
                this::onLine);
        emptyFolder = false;
        final double readSeconds = storedBytes() / (parameters.model().listMegabytesPerSecond() * BYTES_PER_MB);
        inThisProcess(parameters.model().startMs() * Units.US_PER_MS + Units.us(readSeconds), this::begin);
    }

    private CourierList openList() {
        if (listFolder == null) {
            return CourierList.unstored();
        }
        final long fromNs = ProcessorTime.threadNs();
        final CourierList opened = CourierList.stored(listFolder);
        figures.processor.openListNs += ProcessorTime.threadNs() - fromNs;
        return opened;
    }

    /** Bytes that this courier's copy of the list takes on disk. */
    long storedBytes() {
        try {
            return listFolder == null ? 0 : CourierList.bytesIn(listFolder);
        } catch (final IOException e) {
            throw new UncheckedIOException("the folder of courier " + index + " cannot be read", e);
        }
    }

    /** The one place where the decisions are made; they are given a seed of their own at each start. */
    private Control newControl() {
        final long member = ((long) index << Integer.SIZE) + process;
        final long seed = Seeds.of(parameters.plan().seed(), Seeds.DECISIONS, member);
        return new Control(settings, seed, this, list, parameters.destinationsKept());
    }

    private void begin() {
        if (process == 1) {
            makeBacklog();
        }
        if (list.version() > 0) {
            becomeReady();
        }
        watch.begin();
    }

    private ControlUplink.Transfer download(final long bytes, final ControlUplink.Completion completion) {
        final ControlUplink.Transfer transfer =
                new ControlUplink.Transfer(events.nowUs(), index, region(), bytes, completion);
        transfers.add(transfer);
        return transfer;
    }

    /** The transfers that were requested since this was last asked. */
    List<ControlUplink.Transfer> takeTransfers() {
        final List<ControlUplink.Transfer> taken = List.copyOf(transfers);
        transfers.clear();
        return taken;
    }

    /** The control machines can be reached again: what was told meanwhile counts from now. */
    void controlReachable() {
        controlSinceUs = events.nowUs();
    }

    /** Kills the process, and another one starts in its place with an empty folder. */
    void replace() {
        if (running) {
            restart();
            messages.loseAll();
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
            throw new UncheckedIOException("the folder of courier " + index + " cannot be emptied", e);
        }
    }

    /** Kills the process; the next one starts after a while and finds what the journal and the stored list hold. */
    void restart() {
        if (!running) {
            return;
        }
        running = false;
        ready = false;
        process++;
        watch.close();
        figures.lanesVisited += control.workload().routesVisited();
        control = null;
        messages.cutOffCalls();
        events.after(parameters.model().downMs() * Units.US_PER_MS, this::startProcess);
    }

    boolean running() {
        return running;
    }

    private void inThisProcess(final long delayUs, final Runnable action) {
        final int own = process;
        events.after(delayUs, () -> {
            if (own == process) {
                action.run();
            }
        });
    }

    /** The list is in force for the first time: what was held goes on, and messages are taken. */
    private void becomeReady() {
        ready = true;
        readyAtUs = events.nowUs();
        figures.readyUs(process == 1, events.nowUs() - processStartUs);
        for (final OpenMessage message : messages.all()) {
            control.onMessageResumed(events.nowUs(), message.message, message.past());
        }
        decideOnEvent();
        scheduleArrival();
    }

    // ---------------------------------------------------------------- discovery

    ListWatch watch() {
        return watch;
    }

    private void onLine(final byte[] line) {
        final long before = list.version();
        final List<Courier.Endpoint> changed = readList(line);
        final long fromNs = System.nanoTime();
        control.onListUpdate(events.nowUs(), Courier.ListUpdate.INCREMENTAL, changed);
        figures.processor.applyNs += System.nanoTime() - fromNs;
        if (ready) {
            decideOnEvent();
        } else {
            becomeReady();
        }
        final long reachableUs = Math.max(processStartUs, controlSinceUs);
        figures.inForce(discovery.madeBetween(before, list.version()), reachableUs, events.nowUs());
    }

    private List<Courier.Endpoint> readList(final byte[] line) {
        final long fromNs = ProcessorTime.threadNs();
        try {
            return list.feed(line);
        } catch (final IOException e) {
            throw new UncheckedIOException("courier " + index + " cannot read its list", e);
        } finally {
            figures.processor.countList(ProcessorTime.threadNs() - fromNs);
        }
    }

    long versionInForce() {
        return list.version();
    }

    int listed() {
        return list.size();
    }

    /** Heap that the list takes. */
    long listBytes() {
        return list.bytes();
    }

    // ---------------------------------------------------------------- messages

    private void makeBacklog() {
        for (int number = 0; number < parameters.backlogPerCourier(); number++) {
            messages.take(events.nowUs());
        }
    }

    private void scheduleArrival() {
        final double perSecond = parameters.eventsPerSecondAndCourier();
        if (perSecond > 0) {
            final double gapSeconds = -Math.log(1 - traffic.nextDouble()) / perSecond;
            inThisProcess(Units.us(gapSeconds), this::arrive);
        }
    }

    private void arrive() {
        if (events.nowUs() >= arrivalsEndUs) {
            return;
        }
        final OpenMessage taken = messages.take(events.nowUs());
        control.onMessage(events.nowUs(), taken.message);
        decideOnEvent();
        scheduleArrival();
    }

    /** Messages without an end whose time is over. */
    long overdue() {
        return messages.overdue(events.nowUs());
    }

    int openMessages() {
        return messages.size();
    }

    /** Destinations that this courier has had a message for. */
    int destinationsContacted() {
        return messages.destinationsContacted();
    }

    private void end(final String messageId, final Runnable count) {
        messages.end(messageId, events.nowUs(), readyAtUs, count);
    }

    // ---------------------------------------------------------------- decisions

    private void decideOnEvent() {
        final long fromNs = System.nanoTime();
        control.decide(events.nowUs());
        figures.processor.eventDecisionsNs += System.nanoTime() - fromNs;
        figures.processor.eventDecisions++;
    }

    private void decideOnWake() {
        final long fromNs = System.nanoTime();
        control.decide(events.nowUs());
        figures.processor.wakeDecisionsNs += System.nanoTime() - fromNs;
        figures.processor.wakeDecisions++;
    }

    @Override
    public void send(final String messageId, final long endpoint, final long timeoutUs) {
        final OpenMessage sent = messages.find(messageId);
        sent.attempts++;
        sent.callOut = true;
        sent.callSentUs = events.nowUs();
        figures.messages.attempts++;
        calls.add(new AttemptCall(
                events.nowUs(),
                index,
                callsMade++,
                sent,
                sent.attempts,
                sent.message.destination(),
                endpoint,
                list.endpoint(endpoint).zone(),
                timeoutUs));
    }

    /** The calls since this was last asked. */
    List<AttemptCall> takeCalls() {
        final List<AttemptCall> taken = List.copyOf(calls);
        calls.clear();
        return taken;
    }

    /** A destination's answer, or silence; a call that takes longer than it may is ended here. */
    void answered(final AttemptCall call, final Destinations.Answer answer) {
        final boolean inTime = answer.delayUs() < call.timeoutUs();
        final Courier.Result heard = inTime ? answer.result() : Courier.Result.TIMED_OUT;
        final long atUs =
                call.atUs() + Math.min(answer.delayUs(), Math.max(call.timeoutUs(), Destinations.LEAST_ANSWER_US));
        final int own = process;
        events.at(atUs, () -> {
            final boolean heardHere = own == process && isOut(call);
            if (answer.result() == Courier.Result.DELIVERED && !(heardHere && heard == Courier.Result.DELIVERED)) {
                figures.messages.deliveriesUnheard++;
            }
            if (heardHere) {
                tell(call, heard);
            }
        });
    }

    private boolean isOut(final AttemptCall call) {
        return call.message().callOut && call.message().attempts == call.attempt();
    }

    private void tell(final AttemptCall call, final Courier.Result result) {
        final OpenMessage message = call.message();
        final String id = message.message.id();
        message.callOut = false;
        final boolean delivered = result == Courier.Result.DELIVERED;
        if (!result.hadNoEffect()) {
            message.mayHaveRunSince(call.atUs());
        }
        if (delivered) {
            end(id, () -> figures.messages.delivered++);
        }
        control.onOutcome(
                events.nowUs(),
                new Courier.Outcome(id, result, delivered, call.endpoint(), events.nowUs() - call.atUs(), 0, null));
        decideOnEvent();
    }

    @Override
    public void refuse(final String messageId, final long retryAfterUs) {
        final OpenMessage refused = messages.find(messageId);
        final boolean givenUp = refused != null && refused.message.validUntilUs() - events.nowUs() < GIVEN_UP_WITHIN_US;
        end(messageId, () -> {
            figures.messages.refused++;
            figures.messages.givenUp += givenUp ? 1 : 0;
        });
    }

    @Override
    public void fail(final String messageId) {
        end(messageId, () -> figures.messages.failed++);
    }

    @Override
    public void cancel(final String messageId, final int attempt) {
        final OpenMessage cancelled = messages.find(messageId);
        if (cancelled == null || !cancelled.callOut) {
            return;
        }
        final int number = cancelled.attempts;
        final long sentUs = cancelled.callSentUs;
        inThisProcess(0, () -> {
            if (cancelled.callOut && cancelled.attempts == number) {
                cancelled.callOut = false;
                cancelled.mayHaveRunSince(sentUs);
                tellCancelled(messageId, sentUs);
            }
        });
    }

    private void tellCancelled(final String messageId, final long sentUs) {
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
        // The list is pushed: the watch is kept from the start.
    }

    @Override
    public void wakeAfter(final long delayUs) {
        inThisProcess(delayUs, this::decideOnWake);
    }

    /** Destinations that the decisions hold state for. */
    int destinationsWithState() {
        return control == null ? 0 : control.workload().destinationsWithState();
    }

    /** Lanes that the steps of all processes have visited. */
    long lanesVisited() {
        return figures.lanesVisited + (control == null ? 0 : control.workload().routesVisited());
    }

    // ---------------------------------------------------------------- stepping

    /** Lets time pass until then. */
    void runUntil(final long untilUs) {
        events.runUntil(untilUs);
    }

    /** Adds something that happens to this courier. */
    void at(final long atUs, final Runnable action) {
        events.at(atUs, action);
    }
}
