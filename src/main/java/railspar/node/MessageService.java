package railspar.node;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import railspar.Control;
import railspar.Courier;
import railspar.DeliveryRules;
import railspar.DeliveryRules.Transmission;
import railspar.DeliveryRules.Violation;

/**
 * Connects {@link Control} to the sockets: passes it the events of one pass of the event loop, lets it decide once per
 * pass, and performs the actions that it requests. It keeps the open messages and writes to the journal before it sends
 * any byte that promises something. Everything runs on the event loop's thread.
 */
final class MessageService implements Courier.Actions {
    private static final long US_PER_MS = 1000;
    private static final long REPORT_INTERVAL_S = 5;
    /** How often the gauges are updated. They may be up to half a second old. */
    private static final long GAUGE_INTERVAL_MS = 100;
    /** How often the files of predecessor processes are read. */
    private static final long PREDECESSOR_POLL_MS = 10;
    /**
     * How often the operators' overrides are read and failed journal writes are retried. A drain must be obeyed after
     * 250 ms, and a notice is due 300 ms after its message's deadline.
     */
    private static final long STATE_POLL_MS = 50;

    /** How long after a predecessor's death its calls count as interrupted: its connections are closed by then. */
    private static final long PREDECESSOR_DEAD_US = 20_000;
    /**
     * A message's time runs from when its client sent it. The request may have been unread for up to 0.4 s while the
     * process had no core; after that its client has gone. A message that a dead courier did not accept arrives with
     * its original timeout. Up to 0.8 s were observed. A message's end is late from 0.3 s after its deadline.
     */
    private static final long MAX_AGE_UNCERTAINTY_US = 700_000;
    /** Upper bound as a share of the message's time left: giving up before seven tenths of it is penalised. */
    private static final double MAX_AGE_UNCERTAINTY_SHARE = 0.25;
    /** Share at the end of a deduplication window in which nothing is sent, as in the decisions. */
    private static final double DEDUP_WINDOW_MARGIN = 0.05;
    /** Requests and answers in doubt that are logged with their ids between two reports. */
    private static final int MAX_IN_DOUBT_LOGGED = 50;
    /**
     * How long at least the id of an ended message is remembered that may have been carried out: a client that got no
     * answer submits its message again within some seconds.
     */
    private static final long ENDED_MEMORY_US = 10_000_000;
    /** Retry-after when the store is full: messages stay in it for some seconds, so that there is soon room for one. */
    private static final long STORE_FULL_RETRY_US = 1_000_000;

    /** Receives the first answer to a message, for its client. */
    interface Reply {
        /** The message is accepted. */
        void accepted();

        /** The message is rejected and may safely be submitted again, after {@code retryAfterUs} if that is above 0. */
        void refused(int status, long retryAfterUs);

        /** The message has ended, and nothing is promised. */
        void failed();
    }

    /** A message that has not ended yet. */
    static final class OpenMessage {
        final AcceptedMessage accepted;
        final Courier.MessageClass messageClass;
        final long validUntilUs;
        /** By how much the message may be older than is known. */
        final long ageUncertaintyUs;
        /** Receives the first answer; null once that is given. */
        private Reply reply;

        private boolean ended;
        private EndpointClient.Call call;
        /** The endpoint of a call that is in flight in the predecessor process. */
        private long endpoint;
        /** For the log, with the two fields below: arrival at this process, first send, last result. */
        private final long arrivedUs;

        private long firstSentUs;
        private Courier.Result lastResult;

        OpenMessage(
                final AcceptedMessage accepted,
                final Courier.MessageClass messageClass,
                final long validUntilUs,
                final Reply reply,
                final long arrivedUs) {
            this.accepted = accepted;
            this.messageClass = messageClass;
            this.validUntilUs = validUntilUs;
            this.ageUncertaintyUs = Math.max(0, Math.min(MAX_AGE_UNCERTAINTY_US, (long)
                    (MAX_AGE_UNCERTAINTY_SHARE * (validUntilUs - arrivedUs))));
            this.reply = reply;
            this.arrivedUs = arrivedUs;
        }

        /** True while the message is open and {@code other} is its current call. */
        boolean isCurrentCall(final EndpointClient.Call other) {
            return !ended && call == other;
        }

        void assignCall(final EndpointClient.Call other) {
            call = other;
        }

        /** The latest time at which the message must end. */
        long latestEndUs() {
            return validUntilUs - ageUncertaintyUs;
        }
    }

    /** One message of a call. It must not be written after {@code writeDeadlineUs}. */
    record CallItem(OpenMessage message, long timeoutUs, long writeDeadlineUs) {}

    private final Config config;
    private final EventLoop loop;
    private final Clock clock;
    private final Control control;
    private final EndpointClient endpointClient;
    private final Discovery discovery;
    private final NoticeSender notices;
    private final Map<String, OpenMessage> messages = new LinkedHashMap<>();
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<Long, List<CallItem>> outbox = new LinkedHashMap<>();
    /** Messages that were submitted in this pass and whose clients have no answer yet. */
    private final List<OpenMessage> unconfirmed = new ArrayList<>();
    /** Messages that ended with a notice which the journal has not recorded yet. */
    private final List<OpenMessage> unrecordedNotices = new ArrayList<>();
    /** Ids of messages that were accepted for the successor process during a handover. */
    private final Set<String> acceptedForSuccessor = new HashSet<>();
    /** Ids of messages that have ended while the call that they share is still in flight. */
    private final Set<String> endedInCall = new HashSet<>();
    /** Those of them whose notices are confirmed, by id. */
    private final Map<String, AcceptedMessage> confirmedInCall = new HashMap<>();

    private final IntervalCounters counters = new IntervalCounters();
    private final DeliveryRules rules = new DeliveryRules();
    /** True while this process holds the lock of its state folder. */
    private BooleanSupplier holdsLock = () -> true;

    private final UnrecordedCalls unrecordedCalls;
    private final StallDetector stallDetector;
    private final Metrics metrics;
    /** The files of predecessor processes that may still report something. */
    private final List<HandoverReader> predecessors = new ArrayList<>();

    private Journal journal;
    /** The file for the successor process; null until this process hands over. */
    private HandoverWriter handover;
    /** Copy of the overrides in the state folder, by endpoint name: disabled, or the time of enabling it again. */
    private Map<String, Long> overrides = Map.of();
    /** The last attempt to read the overrides failed. */
    private boolean overridesUnreadable;

    private final OperatorOverrides operatorOverrides;
    private Runnable descriptorRelief = () -> {};
    private boolean passScheduled;

    MessageService(final Config config, final EventLoop loop, final Clock clock) {
        this.config = config;
        this.metrics = new Metrics(config.settings().classes().stream()
                .map(Courier.MessageClass::name)
                .toList());
        this.loop = loop;
        this.clock = clock;
        this.operatorOverrides = new OperatorOverrides(
                config.state(), config.settings().ruleParameters().warmupUs());
        this.stallDetector = StallDetector.start(loop, clock);
        this.endpointClient = new EndpointClient(config, loop, clock, stallDetector, this);
        this.unrecordedCalls = new UnrecordedCalls(clock, endpointClient, this::recordAttempts, this::mayCall);
        this.discovery = new Discovery(config, loop, this);
        final int maxIdleDestinations =
                MemoryBudget.maxIdleDestinations(Runtime.getRuntime().maxMemory());
        this.control = new Control(config.settings(), config.seed(), this, discovery, maxIdleDestinations);
        this.notices = new NoticeSender(config.discovery(), loop, this);
        config.settings().classes().forEach(messageClass -> classes.put(messageClass.name(), classes.size()));
    }

    /** Starts to watch the list, which a successor that waits for its handover does too. Runs on the event loop. */
    void startListWatch() {
        discovery.restore(config.known());
        discovery.startWatching();
        loop.scheduleWithFixedDelay(this::updateGauges, 0, GAUGE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(this::pollStateFolder, 0, STATE_POLL_MS, TimeUnit.MILLISECONDS);
    }

    // ---------------------------------------------------------------- operators' overrides

    /** Disables an endpoint, or enables it again. Returns null on success, else the reason of the failure. */
    String overrideEndpoint(final String host, final boolean disabled) {
        if (discovery.idOf(host) == null && !overrides.containsKey(host)) {
            return "nobody has the id " + host;
        }
        try {
            if (disabled) {
                operatorOverrides.disable(host);
            } else {
                operatorOverrides.enable(host, clock.persistentUs());
            }
        } catch (final IOException e) {
            Log.info("cannot store the override of endpoint " + host + ": " + e.getMessage());
            return "cannot write it down: " + e.getMessage();
        }
        readOverrides();
        return null;
    }

    private void pollStateFolder() {
        readOverrides();
        if (journal != null && handover == null) {
            flushJournal();
        }
    }

    /** Reads the overrides from disk: an operator may have sent a command to this courier's other process. */
    private void readOverrides() {
        final Map<String, Long> stored;
        try {
            stored = operatorOverrides.read(clock.persistentUs());
        } catch (final IOException e) {
            if (!overridesUnreadable) {
                Log.info("cannot read the endpoint overrides; those read before stay in force: " + e.getMessage());
            }
            overridesUnreadable = true;
            return;
        }
        overridesUnreadable = false;
        if (!stored.equals(overrides)) {
            final Set<String> changed = new HashSet<>(stored.keySet());
            changed.removeIf(host -> stored.get(host).equals(overrides.get(host)));
            overrides = stored;
            Log.info("by hand: "
                    + stored.values().stream()
                            .filter(override -> override == OperatorOverrides.DISABLED)
                            .count() + " endpoints out; changed "
                    + changed);
            changed.forEach(this::applyOverride);
            updateGauges();
            schedulePass();
        }
    }

    /** Passes an endpoint's override to the decisions. */
    private void applyOverride(final String host) {
        final Long endpoint = discovery.idOf(host);
        if (endpoint != null) {
            final long override = overrides.get(host);
            control.onOverride(
                    clock.nowUs(),
                    endpoint,
                    override == OperatorOverrides.DISABLED,
                    override == OperatorOverrides.DISABLED ? 0 : clock.fromPersistentUs(override));
            if (override == OperatorOverrides.DISABLED) {
                endpointClient.cancelUnsentCalls(endpoint);
            }
        }
    }

    /** Sets the condition for making decisions: without the lock another process may own the state folder. */
    void decideOnlyWhile(final BooleanSupplier lockIsHeld) {
        holdsLock = lockIsHeld;
    }

    /** Runs {@code task} once the list is known or turns out to be unavailable. */
    void whenListReady(final Runnable task) {
        discovery.whenListReady(task);
    }

    /** Waits for the list no longer than until now; {@code waitedMs}: since the start of its watch. */
    void stopWaitingForList(final int waitedMs) {
        discovery.stopWaitingForList(waitedMs);
    }

    /**
     * Resumes the open messages of earlier processes and starts to make decisions. Runs on the event loop.
     *
     * @throws IOException if the folder cannot be read now; no message has been resumed then
     */
    void start(final Journal ownedJournal) throws IOException {
        predecessors.addAll(HandoverReader.openAll(config.state(), clock, ownedJournal));
        journal = ownedJournal;
        discovery.startPersisting();
        readOverrides();
        int resumed = 0;
        for (final AcceptedMessage accepted : journal.openMessages()) {
            resumed += resumeOrNotify(accepted) ? 1 : 0;
        }
        if (resumed > 0) {
            Log.info("resumed " + resumed + " messages");
        }
        readPredecessors();
        Log.info(config.describe());
        loop.scheduleWithFixedDelay(this::logReport, REPORT_INTERVAL_S, REPORT_INTERVAL_S, TimeUnit.SECONDS);
        followPredecessors();
        schedulePass();
    }

    /** Resumes an earlier process's message, or sends its notice if it has ended. Returns true if it is resumed. */
    private boolean resumeOrNotify(final AcceptedMessage accepted) {
        final Integer index = classes.get(accepted.className);
        if (accepted.notice() != null) {
            addNotice(accepted);
        } else if (index == null) {
            endWithNotice(new OpenMessage(accepted, null, 0, null, clock.nowUs()), new AcceptedMessage.Notice(true, 0));
        } else {
            resume(accepted, index);
            return true;
        }
        return false;
    }

    private void resume(final AcceptedMessage accepted, final int index) {
        final OpenMessage message = new OpenMessage(
                accepted,
                config.settings().classes().get(index),
                clock.fromPersistentUs(accepted.validUntilPersistentUs),
                null,
                clock.nowUs());
        final String host = accepted.hasAttemptInFlight() ? endpointOfInheritedCall(accepted.id) : null;
        final Courier.AttemptHistory history;
        if (host == null) {
            history = accepted.historyAfterInterruption(clock);
            if (accepted.hasAttemptInFlight()) {
                journal.endAttempt(accepted, false);
            }
        } else {
            message.endpoint = discovery.idOf(host, accepted.attemptZone(), accepted.destination);
            history = accepted.historyWithInheritedCall(clock, message.endpoint);
        }
        messages.put(accepted.id, message);
        control.onMessageResumed(clock.nowUs(), toCourierMessage(message, index), history);
    }

    // ---------------------------------------------------------------- handover

    /** The endpoint of this message's call in flight in a predecessor process, or null. */
    private String endpointOfInheritedCall(final String id) {
        return predecessors.stream()
                .map(predecessor -> predecessor.endpointOfCall(id))
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(null);
    }

    /** Processes new records of predecessor processes. Called before each decision and each accepted message. */
    private void readPredecessors() {
        for (final HandoverReader predecessor : predecessors) {
            try {
                if (predecessor.read(new PredecessorEvents())) {
                    journal.recordReadPosition(predecessor.fileName(), predecessor.position());
                    schedulePass();
                }
            } catch (final IOException e) {
                Log.info("cannot read " + predecessor.fileName() + ": " + e.getMessage());
            }
        }
    }

    /** Polls predecessors while one lives. A dead one's calls without an outcome may have taken effect. */
    private void followPredecessors() {
        readPredecessors();
        for (final HandoverReader predecessor : List.copyOf(predecessors)) {
            try {
                if (!predecessor.hasBeenDeadFor(PREDECESSOR_DEAD_US)) {
                    continue;
                }
                readPredecessors();
                predecessors.remove(predecessor);
                predecessor.callsInFlight().forEach(this::interruptAttempt);
                predecessor.closeAndDelete();
                journal.recordReadPosition(predecessor.fileName(), Journal.FILE_REMOVED);
                Log.info("the predecessor process has ended; "
                        + predecessor.callsInFlight().size() + " of its calls were interrupted");
            } catch (final IOException e) {
                Log.info("cannot finish reading " + predecessor.fileName() + ": " + e.getMessage());
            }
        }
        if (!predecessors.isEmpty()) {
            loop.schedule(this::followPredecessors, PREDECESSOR_POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void interruptAttempt(final String id) {
        final OpenMessage message = messages.get(id);
        if (message != null && message.accepted.hasAttemptInFlight()) {
            journal.endAttempt(message.accepted, false);
            control.onAttemptInterrupted(clock.nowUs(), id);
            schedulePass();
        }
    }

    /** Handles the records of a predecessor process. */
    private final class PredecessorEvents implements HandoverReader.Events {
        @Override
        public void onSnapshot(final String host, final Courier.EndpointSnapshot snapshot) {
            final Long endpoint = discovery.idOf(host);
            if (endpoint != null) {
                control.onEndpointSnapshot(clock.nowUs(), endpoint, snapshot);
            }
        }

        @Override
        public void onOutcome(final String id, final EndpointClient.AttemptOutcome outcome, final long durationUs) {
            final OpenMessage message = messages.get(id);
            if (message != null && message.accepted.hasAttemptInFlight()) {
                recordOutcome(message, message.endpoint, outcome, durationUs);
            }
        }

        @Override
        public void onAccepted(final AcceptedMessage accepted) {
            if (journal.contains(accepted.id)) {
                return;
            }
            final EndedMessages.End end = journal.findEnd(accepted.id, clock.persistentUs());
            if (end != null) {
                repeatEnd(accepted, end);
                return;
            }
            counters.messageAccepted();
            if (journal.acceptInherited(accepted)) {
                resumeOrNotify(accepted);
            } else {
                accepted.setNotice(new AcceptedMessage.Notice(false, STORE_FULL_RETRY_US / US_PER_MS));
                addNotice(accepted);
            }
        }

        /** The message ended here already when the predecessor accepted it once more: it is not carried out again. */
        private void repeatEnd(final AcceptedMessage accepted, final EndedMessages.End end) {
            if (!end.delivered()) {
                accepted.setNotice(new AcceptedMessage.Notice(true, 0));
                addNotice(accepted);
            }
        }

        @Override
        public void onWithdrawn(final String id) {
            withdraw(id);
        }
    }

    /**
     * Hands over to a successor process: from now on nothing is decided or started here. Calls in flight continue.
     * Their outcomes, and messages that clients still submit, are passed on through the file.
     */
    void handOver(final HandoverWriter file) throws IOException {
        unrecordedCalls.cancelUnsent(endpoint -> true);
        journal.flush();
        writeSnapshots(file);
        for (final OpenMessage message : messages.values()) {
            if (message.accepted.hasAttemptInFlight()) {
                final String endpointName = message.call == null
                        ? endpointOfInheritedCall(message.accepted.id)
                        : discovery.nameOf(message.call.endpoint());
                file.writeCallInFlight(message.accepted.id, endpointName == null ? "" : endpointName);
            }
        }
        // Nothing may fail from here on: a process that cannot hand over continues as before.
        sendAcceptances();
        notices.discard();
        discovery.stopPersisting();
        handover = file;
        endpointClient.stopNewCalls();
        try {
            journal.close();
        } catch (final IOException e) {
            Log.info("the journal cannot be closed: " + e.getMessage());
        }
        Log.info("leaves: another process goes on with " + messages.size() + " messages, " + endpointClient.describe());
    }

    /** Writes what was learned of the destinations, as far as the file has room: the most important first. */
    private void writeSnapshots(final HandoverWriter file) throws IOException {
        int written = 0;
        for (final long endpoint : control.snapshotOrder(clock.nowUs())) {
            final Courier.EndpointSnapshot snapshot = control.snapshot(clock.nowUs(), endpoint);
            final Courier.EndpointSnapshot content = written == 0 ? snapshot : snapshot.withoutClassValues();
            if (!file.writeSnapshot(discovery.nameOf(endpoint), content)) {
                Log.info("handover: what was learned of endpoints is passed on for " + written
                        + " of them, the disk limit allows no more");
                return;
            }
            written++;
        }
    }

    /** During a handover, accepts a message for the successor; its client is answered once the file contains it. */
    private void acceptForSuccessor(final AcceptedMessage accepted, final Reply reply) {
        final Journal.Admission admission = handover.accept(accepted);
        if (admission == Journal.Admission.ACCEPTED) {
            counters.messageAccepted();
            acceptedForSuccessor.add(accepted.id);
            reply.accepted();
        } else {
            reject(accepted, admission, reply);
        }
    }

    /** Rejects a message; reports it as failed if its record may be on disk, where the next process may find it. */
    private void reject(final AcceptedMessage accepted, final Journal.Admission admission, final Reply reply) {
        countRejected(accepted.className);
        if (admission == Journal.Admission.UNCERTAIN) {
            Log.info("message " + accepted.id + " is answered as failed: its record may have been written");
            reply.failed();
        } else {
            reply.refused(ClientServer.SERVICE_UNAVAILABLE, STORE_FULL_RETRY_US);
        }
    }

    /** Writes a record for the successor. If that fails, the successor assumes the same as after a kill. */
    private void writeToSuccessor(final HandoverRecord content) {
        try {
            content.writeTo(handover);
        } catch (final IOException e) {
            Log.info("handover: cannot write: " + e.getMessage());
        }
    }

    private interface HandoverRecord {
        void writeTo(HandoverWriter file) throws IOException;
    }

    private static Courier.Message toCourierMessage(final OpenMessage message, final int index) {
        return new Courier.Message(
                message.accepted.id,
                index,
                -1,
                message.accepted.orderKey,
                message.validUntilUs,
                message.accepted.destination,
                message.ageUncertaintyUs);
    }

    // ---------------------------------------------------------------- events from the sockets

    /** The class of that name, or null. */
    Courier.MessageClass messageClass(final String className) {
        final Integer index = classes.get(className);
        return index == null ? null : config.settings().classes().get(index);
    }

    /** False if the destination cannot exist. */
    boolean isPossibleDestination(final long destination) {
        return discovery.isPossibleDestination(destination);
    }

    /** What is known of a message that is submitted. */
    enum PriorSubmission {
        /** Nothing: it may be accepted. */
        NONE,
        /** A message with that id was delivered a short while ago. */
        DELIVERED,
        /** A message with that id has not ended, or ended undelivered and may have been carried out. */
        CONFLICT
    }

    /** What is known of a message with that id, here and in predecessor processes. */
    PriorSubmission findSubmission(final String id) {
        if (handover == null) {
            readPredecessors();
        }
        if (messages.containsKey(id) || acceptedForSuccessor.contains(id) || journal != null && journal.contains(id)) {
            return PriorSubmission.CONFLICT;
        }
        final EndedMessages.End end = journal == null ? null : journal.findEnd(id, clock.persistentUs());
        if (end == null) {
            return PriorSubmission.NONE;
        }
        return end.delivered() ? PriorSubmission.DELIVERED : PriorSubmission.CONFLICT;
    }

    /** Accepts a message if there is room; the reply is sent at the end of the pass. */
    void submit(final AcceptedMessage accepted, final long validUntilUs, final Reply reply) {
        if (handover != null) {
            acceptForSuccessor(accepted, reply);
            return;
        }
        // The predecessor may just have accepted an earlier message with the same ordering key.
        readPredecessors();
        final boolean full = messages.size() >= config.settings().limits().maxOpenMessages();
        final Journal.Admission admission = full ? Journal.Admission.REJECTED : journal.accept(accepted);
        if (admission != Journal.Admission.ACCEPTED) {
            reject(accepted, admission, reply);
            return;
        }
        final int index = classes.get(accepted.className);
        final OpenMessage message =
                new OpenMessage(accepted, config.settings().classes().get(index), validUntilUs, reply, clock.nowUs());
        counters.messageAccepted();
        messages.put(accepted.id, message);
        unconfirmed.add(message);
        control.onMessage(clock.nowUs(), toCourierMessage(message, index));
        schedulePass();
    }

    /** Sets what frees descriptors when there are none left. */
    void onDescriptorShortage(final Runnable descriptorRelief) {
        this.descriptorRelief = descriptorRelief;
    }

    /** Frees descriptors after a connection to discovery, the platform or an endpoint failed for lack of one. */
    void relieveDescriptorShortage() {
        endpointClient.closeOldestIdleConnection();
        descriptorRelief.run();
    }

    /** Counts a client connection that was closed to make room. */
    void connectionShed() {
        counters.connectionShed();
    }

    /** Counts a message of that class that was rejected at admission. */
    void countRejected(final String className) {
        counters.messageRejected();
        metrics.declined(className);
    }

    /**
     * Handles a failed write of the answer that accepts a message. The message is withdrawn only if its client
     * certainly did not receive the answer; otherwise it continues.
     */
    void acceptanceFailed(final String id, final Transmission transmission) {
        if (DeliveryRules.mayWithdraw(transmission)) {
            withdraw(id);
        } else if (counters.answerInDoubt() <= MAX_IN_DOUBT_LOGGED) {
            Log.info("message " + id + " goes on: its client may have read that it is taken on");
        }
    }

    /** Drops a message whose client disconnected before it was answered: nobody was told that it was accepted. */
    void withdraw(final String id) {
        if (handover != null) {
            writeToSuccessor(file -> file.writeWithdrawn(id));
            return;
        }
        final OpenMessage message = messages.get(id);
        if (message != null) {
            complete(message);
            control.onExpired(clock.nowUs(), id);
            schedulePass();
        }
    }

    /** Handles a changed or unavailable list; {@link Discovery} already returns the new state. */
    void listUpdated(final Courier.ListUpdate update, final List<Courier.Endpoint> changed) {
        control.onListUpdate(clock.nowUs(), update, changed);
        overrides.keySet().forEach(this::applyOverride);
        schedulePass();
    }

    /** Where and how an endpoint is called; null if it is not listed. */
    EndpointClient.Target target(final long endpoint) {
        return discovery.target(endpoint);
    }

    EndpointClient endpointClient() {
        return endpointClient;
    }

    /** Handles the outcome of one message of a call. */
    void attemptEnded(
            final CallItem item, final EndpointClient.Call call, final EndpointClient.AttemptOutcome outcome) {
        final OpenMessage message = item.message();
        message.call = null;
        counters.attemptEnded(outcome.result());
        if (outcome.result() == Courier.Result.DELIVERED && !message.ended) {
            metrics.succeeded(message.accepted.className);
        }
        final long durationUs = clock.nowUs() - call.sentUs();
        if (handover != null) {
            writeToSuccessor(file -> file.writeOutcome(message.accepted.id, outcome, durationUs));
        } else {
            recordOutcome(message, call.endpoint(), outcome, durationUs);
        }
    }

    /** Logs a failed write of a request that may have been sent: its messages may have taken effect. */
    void requestInDoubt(final List<String> ids, final InetSocketAddress to) {
        if (counters.requestInDoubt() <= MAX_IN_DOUBT_LOGGED) {
            Log.info("call of " + ids + " to " + to + ": a write failed, and the request may have left");
        }
    }

    /** Last check, directly before the write, whether a message of a call may be sent now. */
    boolean mayWrite(final CallItem item, final EndpointClient.Call call) {
        final OpenMessage message = item.message();
        if (message.ended) {
            // The message ended while the connection was being established.
            return false;
        }
        final Optional<Violation> violation = DeliveryRules.violationOf(
                new DeliveryRules.Attempt(
                        message.messageClass,
                        message.accepted.hasAttemptInFlight(),
                        message.isCurrentCall(call),
                        mayCall(call.endpoint()),
                        message.accepted.historyBeforeCurrentAttempt(clock),
                        discovery.zone(call.endpoint())),
                clock.nowUs());
        violation.ifPresent(rule -> recordViolation(rule, message.accepted.id));
        return violation.isEmpty();
    }

    private void recordViolation(final Violation rule, final String subject) {
        rules.count(rule);
        Log.info("violation prevented: " + rule + ", " + subject + "; " + rules.counts());
    }

    /** Handles a retry-after in a response; it applies whether or not the response still belongs to a message. */
    void onRetryAfter(final long endpoint, final long waitUs) {
        if (handover == null) {
            final Courier.Endpoint source = discovery.endpoint(endpoint);
            if (source != null) {
                unrecordedCalls.cancelUnsent(candidate -> isOfDestination(source.destination(), candidate));
            }
            control.onRetryAfter(clock.nowUs(), endpoint, waitUs);
            schedulePass();
        }
    }

    /** Records the outcome of a message's attempt, here or in the predecessor process. */
    private void recordOutcome(
            final OpenMessage message,
            final long endpoint,
            final EndpointClient.AttemptOutcome outcome,
            final long durationUs) {
        message.lastResult = outcome.result();
        final boolean delivered = outcome.result() == Courier.Result.DELIVERED;
        if (!message.ended) {
            if (delivered) {
                complete(message, true);
            } else if (outcome.isFinal()) {
                // Harmless if the endpoint is right that the message is over; if it errs, the message still needs an
                // end.
                journal.endAttempt(message.accepted, true);
                endWithNotice(message, new AcceptedMessage.Notice(true, 0));
            } else {
                journal.endAttempt(message.accepted, outcome.result().hadNoEffect());
            }
        }
        control.onOutcome(
                clock.nowUs(),
                new Courier.Outcome(
                        message.accepted.id,
                        outcome.result(),
                        message.ended,
                        endpoint,
                        durationUs,
                        outcome.retryAfterUs(),
                        outcome.reportedLimit()));
        schedulePass();
    }

    /** Handles notices that the platform has confirmed. */
    void noticesConfirmed(final List<AcceptedMessage> confirmed) {
        if (handover != null) {
            return;
        }
        for (final AcceptedMessage accepted : confirmed) {
            completeInJournal(accepted, false);
            if (endedInCall.contains(accepted.id)) {
                confirmedInCall.put(accepted.id, accepted);
            } else {
                releaseKey(accepted);
            }
        }
        schedulePass();
    }

    private void releaseKey(final AcceptedMessage accepted) {
        if (accepted.orderKey != null) {
            control.onNoticeAnswered(clock.nowUs(), accepted.id, accepted.orderKey);
        }
    }

    /** A message ends while the call that it shares continues: its ordering key stays blocked until that ends too. */
    void remainsInCall(final CallItem item) {
        endedInCall.add(item.message().accepted.id);
    }

    /** The call of a message that ended earlier is over. */
    void callEnded(final CallItem item) {
        final String id = item.message().accepted.id;
        endedInCall.remove(id);
        final AcceptedMessage accepted = confirmedInCall.remove(id);
        if (accepted != null) {
            releaseKey(accepted);
            schedulePass();
        }
    }

    // ---------------------------------------------------------------- decision pass

    /** Runs a task at once or, after a stall of the event loop, once the sockets have been read. */
    void afterSocketReads(final Runnable task) {
        stallDetector.afterSocketReads(task);
    }

    /** Schedules the decisions after all events of this pass of the event loop. */
    private void schedulePass() {
        if (!passScheduled) {
            passScheduled = true;
            loop.execute(() -> stallDetector.afterSocketReads(this::pass));
        }
    }

    private void pass() {
        passScheduled = false;
        if (journal == null || handover != null) {
            return;
        }
        if (!holdsLock.getAsBoolean()) {
            recordViolation(Violation.DECISION_WITHOUT_LOCK, config.name());
            return;
        }
        readPredecessors();
        try {
            control.decide(clock.nowUs());
        } catch (final RuntimeException e) {
            Log.failure("decisions failed", e);
        }
        sendAcceptances();
        sendOutbox();
        notices.flush();
    }

    /** Confirms the messages of this pass to their clients, unless they ended in it. */
    private void sendAcceptances() {
        final List<OpenMessage> due = List.copyOf(unconfirmed);
        unconfirmed.clear();
        for (final OpenMessage message : due) {
            if (message.reply != null && !message.ended) {
                final Reply reply = message.reply;
                message.reply = null;
                acceptOrLog(message.accepted.id, reply);
            }
        }
    }

    /** Logs a failure to answer, so that the other clients still get their answers. */
    private static void acceptOrLog(final String id, final Reply reply) {
        try {
            reply.accepted();
        } catch (final RuntimeException e) {
            Log.failure("message " + id + " is accepted, but its client cannot be answered", e);
        }
    }

    /** Sends what was decided. The outbox is cleared first, so that each decision is carried out only once. */
    private void sendOutbox() {
        final Map<Long, List<CallItem>> decided = new LinkedHashMap<>(outbox);
        outbox.clear();
        decided.forEach(this::sendInCalls);
    }

    private void sendInCalls(final long endpoint, final List<CallItem> decided) {
        final List<CallItem> items = new ArrayList<>(decided);
        // Skip messages whose client disconnected while being answered: it may submit them elsewhere.
        items.removeIf(this::reportNotSentIfEnded);
        final int maxPerCall = Math.max(1, discovery.messagesPerCall(endpoint));
        for (int from = 0; from < items.size(); from += maxPerCall) {
            send(endpoint, List.copyOf(items.subList(from, Math.min(items.size(), from + maxPerCall))));
        }
    }

    /** Makes one call. Nothing is transmitted before it is started, so an earlier failure counts as not sent. */
    private void send(final long endpoint, final List<CallItem> items) {
        final EndpointClient.Call call = endpointClient.prepareCall(endpoint, items);
        final boolean recorded;
        try {
            for (final CallItem item : items) {
                item.message().assignCall(call);
                item.message().firstSentUs =
                        item.message().firstSentUs == 0 ? clock.nowUs() : item.message().firstSentUs;
            }
            recorded = recordAttempts(endpoint, items);
        } catch (final RuntimeException e) {
            Log.failure("the attempts of a call cannot be recorded", e);
            endpointClient.abandonCall(call, Courier.Result.NOT_SENT);
            return;
        }
        if (recorded) {
            endpointClient.startCall(call);
        } else {
            // A restart would lose an attempt that is not in the journal.
            unrecordedCalls.add(endpoint, items, call);
        }
    }

    private boolean recordAttempts(final long endpoint, final List<CallItem> items) {
        boolean recorded = true;
        for (final CallItem item : items) {
            final AcceptedMessage accepted = item.message().accepted;
            recorded &= accepted.hasAttemptInFlight()
                    || journal.beginAttempt(accepted, clock.persistentUs(), discovery.zone(endpoint));
        }
        return recorded;
    }

    private boolean mayCall(final long endpoint) {
        final Courier.Endpoint entry = discovery.endpoint(endpoint);
        return entry != null
                && entry.condition() == Courier.Condition.LISTED
                && !Objects.equals(overrides.get(discovery.nameOf(endpoint)), OperatorOverrides.DISABLED);
    }

    private boolean isOfDestination(final long destination, final long endpoint) {
        final Courier.Endpoint entry = discovery.endpoint(endpoint);
        return entry == null || entry.destination() == destination;
    }

    private boolean reportNotSentIfEnded(final CallItem item) {
        if (item.message().ended) {
            control.onOutcome(
                    clock.nowUs(),
                    new Courier.Outcome(item.message().accepted.id, Courier.Result.NOT_SENT, true, 0, 0, 0, null));
            schedulePass();
        }
        return item.message().ended;
    }

    // ---------------------------------------------------------------- actions of the decisions

    @Override
    public void send(final String messageId, final long endpoint, final long timeoutUs) {
        final OpenMessage message = messages.get(messageId);
        if (message != null) {
            outbox.computeIfAbsent(endpoint, unused -> new ArrayList<>())
                    .add(new CallItem(message, timeoutUs, writeDeadlineUs(message)));
        }
    }

    /**
     * Until when a message may be written. A keyed message is sent again only while the destination remembers its
     * key. That held at the decision, but the connection may take longer to be established. The margin before the end
     * of the deduplication window is for the time on the network.
     */
    private long writeDeadlineUs(final OpenMessage message) {
        final long firstPersistentUs = message.accepted.firstEffectPersistentUs();
        if (message.messageClass.effect() != Courier.Effect.KEYED || firstPersistentUs == AcceptedMessage.NEVER) {
            return AcceptedMessage.NEVER;
        }
        return clock.fromPersistentUs(firstPersistentUs)
                + (long) ((1 - DEDUP_WINDOW_MARGIN) * message.messageClass.dedupWindowUs());
    }

    @Override
    public void refuse(final String messageId, final long retryAfterUs) {
        final OpenMessage message = messages.get(messageId);
        if (message == null) {
            return;
        }
        if (!DeliveryRules.mayRefuse(message.messageClass, message.accepted.mayHaveTakenEffect())) {
            recordViolation(Violation.REFUSAL_AFTER_RUN, messageId);
            fail(messageId);
            return;
        }
        if (message.reply == null) {
            endWithNotice(message, new AcceptedMessage.Notice(false, retryAfterUs / US_PER_MS));
        } else {
            final Reply reply = message.reply;
            final boolean recorded = complete(message);
            recordUndelivered(message, new AcceptedMessage.Notice(false, retryAfterUs / US_PER_MS));
            if (recorded) {
                reply.refused(ClientServer.TOO_MANY_REQUESTS, retryAfterUs);
            } else {
                // After a restart the message would continue.
                reply.failed();
            }
        }
    }

    @Override
    public void fail(final String messageId) {
        final OpenMessage message = messages.get(messageId);
        if (message == null) {
            return;
        }
        if (message.reply == null) {
            endWithNotice(message, new AcceptedMessage.Notice(true, 0));
        } else {
            final Reply reply = message.reply;
            complete(message);
            recordUndelivered(message, new AcceptedMessage.Notice(true, 0));
            reply.failed();
        }
    }

    /** Ends an accepted message with a notice, which the journal keeps until it is confirmed. */
    private void endWithNotice(final OpenMessage message, final AcceptedMessage.Notice notice) {
        message.ended = true;
        messages.remove(message.accepted.id);
        if (journal.recordNotice(message.accepted, notice)) {
            notices.add(message.accepted);
        } else {
            unrecordedNotices.add(message);
        }
        blockKey(message.accepted);
        recordUndelivered(message, notice);
    }

    /** Sends a notice; the next message with the same ordering key waits until it is confirmed. */
    private void addNotice(final AcceptedMessage accepted) {
        notices.add(accepted);
        blockKey(accepted);
    }

    private void blockKey(final AcceptedMessage accepted) {
        if (accepted.orderKey != null) {
            control.onNoticePending(clock.nowUs(), accepted.id, accepted.orderKey);
        }
    }

    /**
     * Retries failed journal writes. An unrecorded notice is sent only after its message's deadline: until then the
     * next process would continue with the message after a kill.
     */
    private void flushJournal() {
        final boolean recorded = journal.flush();
        unrecordedCalls.retry();
        if (unrecordedNotices.isEmpty()) {
            return;
        }
        final List<OpenMessage> due = unrecordedNotices.stream()
                .filter(message -> recorded || clock.nowUs() >= message.latestEndUs())
                .toList();
        unrecordedNotices.removeAll(due);
        due.forEach(message -> notices.add(message.accepted));
        notices.flush();
    }

    /** Counts and logs a message that was not delivered, with the state of its destination. */
    private void recordUndelivered(final OpenMessage message, final AcceptedMessage.Notice notice) {
        final long nowUs = clock.nowUs();
        final AcceptedMessage accepted = message.accepted;
        counters.messageEndedUndelivered();
        if (notice.failed()) {
            metrics.aborted(accepted.className);
        } else {
            metrics.declined(accepted.className);
        }
        final String ending = notice.failed() ? "failed" : "refused, again in " + notice.retryAfterMs() + " ms";
        Log.info("message " + accepted.id + " " + accepted.className + " to " + accepted.destination + " " + ending
                + ": after "
                + (nowUs - message.arrivedUs) / US_PER_MS + " ms, " + (message.validUntilUs - nowUs) / US_PER_MS
                + " ms left, "
                + accepted.attempts() + " attempts"
                + (message.firstSentUs == 0
                        ? ""
                        : ", first after " + (message.firstSentUs - message.arrivedUs) / US_PER_MS + " ms, last "
                                + message.lastResult)
                + "; "
                + control.describe(accepted.destination));
    }

    /** Logs the counters, every few seconds. */
    private void logReport() {
        Log.info(counters.summarizeAndReset() + "; open " + messages.size() + ", " + endpointClient.describe()
                + ", violations prevented " + rules.total());
    }

    private void updateGauges() {
        // Open messages are counted by the process that owns the journal: not by this one after a handover.
        metrics.setOutstanding(handover == null ? messages.size() : 0);
        metrics.setEndpoints(discovery.endpointCount(), control.avoidedEndpoints(clock.nowUs()));
    }

    /** The metrics, which any thread may read. */
    Metrics metrics() {
        return metrics;
    }

    /** Completes an undelivered message that needs no notice; false if the journal could not record it. */
    private boolean complete(final OpenMessage message) {
        return complete(message, false);
    }

    private boolean complete(final OpenMessage message, final boolean delivered) {
        message.ended = true;
        message.reply = null;
        messages.remove(message.accepted.id);
        return completeInJournal(message.accepted, delivered);
    }

    /** Completes a message; the id of one that may have been carried out is remembered, unless a repeat is harmless. */
    private boolean completeInJournal(final AcceptedMessage accepted, final boolean delivered) {
        final Courier.MessageClass messageClass = messageClass(accepted.className);
        final boolean isRepeatable = messageClass != null && messageClass.effect() == Courier.Effect.SAFE;
        if (isRepeatable || !delivered && !accepted.mayHaveTakenEffect()) {
            return journal.complete(accepted);
        }
        final long nowUs = clock.persistentUs();
        final long untilUs = Math.max(accepted.validUntilPersistentUs, nowUs + ENDED_MEMORY_US);
        return journal.complete(accepted, new EndedMessages.End(delivered, untilUs), nowUs);
    }

    @Override
    public void cancel(final String messageId, final int attempt) {
        final OpenMessage message = messages.get(messageId);
        if (message != null && message.call != null) {
            final EndpointClient.Call call = message.call;
            loop.execute(() -> endpointClient.abandonCall(call, Courier.Result.CANCELLED));
        }
    }

    @Override
    public void closeIdleConnections(final long endpoint) {
        endpointClient.closeIdleConnections(endpoint);
    }

    @Override
    public void subscribeToList() {
        discovery.ensureWatching();
    }

    @Override
    public void wakeAfter(final long delayUs) {
        loop.schedule(this::schedulePass, delayUs, TimeUnit.MICROSECONDS);
    }

    // ---------------------------------------------------------------- reload and shutdown

    /** Applies a new address of discovery. All other settings stay as they were at the start. */
    void reload(final Config fresh) {
        Log.info("reload: discovery is at " + fresh.discovery());
        discovery.moveTo(fresh.discovery());
        notices.moveTo(fresh.discovery());
    }

    /** Announces the end of this process: no call is started that cannot end by {@code stopUs}. */
    void stopping(final long stopUs) {
        control.onStopping(clock.nowUs(), stopUs);
        schedulePass();
    }

    /** True when the end of the process would interrupt nothing. */
    boolean isIdle() {
        return handover == null
                ? messages.isEmpty() && unrecordedNotices.isEmpty() && notices.isEmpty()
                : endpointClient.hasNoCalls();
    }
}
