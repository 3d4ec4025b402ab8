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
 * The one that calls {@link Control}: it tells it what the sockets brought in a pass of the event loop, lets it
 * decide once, and carries out what it asked for. It holds the open messages, and keeps the journal ahead of every
 * byte that promises something. All of it runs on the event loop's thread.
 */
final class MessageService implements Courier.Actions {
    private static final long US_PER_MS = 1000;
    private static final long REPORT_S = 5;
    /** How often the figures that are no counts are read anew: they may be half a second old. */
    private static final long FIGURES_MS = 100;
    /** How often a process that leaves is listened to, and how long its end is left to close its connections. */
    private static final long HEAR_MS = 10;
    /**
     * How often the marks of endpoints taken out are looked at, as a drain binds after 250 ms, and what could not be
     * recorded is tried again, as a notice is due 300 ms after its message's time is up.
     */
    private static final long FOLDER_MS = 50;

    private static final long DEAD_US = 20_000;
    /**
     * A message's time runs from when its client sent it. It may have lain unread while the process had no core, up
     * to 0.4 s, after which the client would be gone; and one that a dead courier did not take comes with the time
     * that it had before. Seen: 0.8 s. An end is late 0.3 s after the time is up.
     */
    private static final long UNREAD_US = 700_000;
    /** At most that share of what is left of its time: one that is given up before seven tenths of it is priced. */
    private static final double UNREAD_SHARE = 0.25;
    /** Share of a key's window that is kept free at its end, as the decisions do. */
    private static final double KEY_MARGIN = 0.05;
    /** Requests and answers in doubt that are told in the log by their ids, in each time between two reports. */
    private static final int MOST_DOUBTS_LOGGED = 50;
    /** When the store is full: a message's time in it is some seconds, so that one place is free soon. */
    private static final long FULL_RETRY_US = 1_000_000;

    /** Where the answer to a client goes. */
    interface Reply {
        /** Taken on. */
        void accepted();

        /** Refused, and harmless to hand in again, after a while if above 0. */
        void refused(int status, long retryAfterUs);

        /** Ended with nothing promised. */
        void failed();
    }

    /** A message that is owed its end. */
    static final class OpenMessage {
        final AcceptedMessage accepted;
        final Courier.MessageClass messageClass;
        final long validUntilUs;
        /** It may be so much older than we can tell. */
        final long ageUncertaintyUs;
        /** Where its first answer goes; null once that is given. */
        private Reply reply;

        private boolean over;
        private EndpointClient.Call call;
        /** Where the call goes that is out at the process before this one. */
        private long endpoint;
        /** For the log: when it came to this process, when it was first sent, and how it fared last. */
        private final long sinceUs;

        private long firstSentUs;
        private Courier.Result lastResult;

        OpenMessage(
                final AcceptedMessage held,
                final Courier.MessageClass kind,
                final long validUntilUs,
                final Reply reply,
                final long sinceUs) {
            this.accepted = held;
            this.messageClass = kind;
            this.validUntilUs = validUntilUs;
            this.ageUncertaintyUs = Math.max(0, Math.min(UNREAD_US, (long) (UNREAD_SHARE * (validUntilUs - sinceUs))));
            this.reply = reply;
            this.sinceUs = sinceUs;
        }

        /** True while that call is its attempt. */
        boolean isCurrentCall(final EndpointClient.Call other) {
            return !over && call == other;
        }

        /** That call is its attempt from now on. */
        void assignCall(final EndpointClient.Call other) {
            call = other;
        }

        /** When it is ended at the latest. */
        long latestEndUs() {
            return validUntilUs - ageUncertaintyUs;
        }
    }

    /** One message's part in a call, which may be written until {@code writeDeadlineUs} and not after. */
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
    private final List<OpenMessage> unanswered = new ArrayList<>();
    /** Messages that have ended by a notice which the journal has not recorded yet. */
    private final List<OpenMessage> unrecorded = new ArrayList<>();
    /** Messages that were handed on to the process that takes over. */
    private final Set<String> handedOn = new HashSet<>();
    /** Messages that have ended and are still in a call, and those of them whose notice is answered. */
    private final Set<String> out = new HashSet<>();

    private final Map<String, AcceptedMessage> answered = new HashMap<>();
    private final IntervalCounters counters = new IntervalCounters();
    private final DeliveryRules rules = new DeliveryRules();
    /** True while this process holds the lock of its state folder. */
    private BooleanSupplier holdsLock = () -> true;

    private final UnrecordedCalls unrecordedCalls;
    private final StallDetector stalls;
    private final Metrics metrics;
    /** Those that this process takes over from, while it still has something to hear from them. */
    private final List<HandoverReader> predecessors = new ArrayList<>();

    private Journal journal;
    /** What this process tells the one that takes over from it; null until it leaves. */
    private HandoverWriter leaving;
    /** What operators have taken out or put back of late, by the endpoints' names; the folder holds it. */
    private Map<String, Long> marks = Map.of();
    /** The last look at the folder failed. */
    private boolean marksUnreadable;

    private final OperatorOverrides folder;
    private Runnable relief = () -> {};
    private boolean passDue;

    MessageService(final Config config, final EventLoop loop, final Clock clock) {
        this.config = config;
        this.metrics = new Metrics(config.settings().classes().stream()
                .map(Courier.MessageClass::name)
                .toList());
        this.loop = loop;
        this.clock = clock;
        this.folder = new OperatorOverrides(
                config.state(), config.settings().ruleParameters().warmupUs());
        this.stalls = StallDetector.start(loop, clock);
        this.endpointClient = new EndpointClient(config, loop, clock, stalls, this);
        this.unrecordedCalls = new UnrecordedCalls(clock, endpointClient, this::recordAttempts, this::mayCall);
        this.discovery = new Discovery(config, loop, this);
        final int mostResting =
                MemoryBudget.maxIdleDestinations(Runtime.getRuntime().maxMemory());
        this.control = new Control(config.settings(), config.seed(), this, discovery, mostResting);
        this.notices = new NoticeSender(config.discovery(), loop, this);
        config.settings().classes().forEach(kind -> classes.put(kind.name(), classes.size()));
    }

    /** Begins to follow the list, which a process that waits for its turn does too. Runs on the event loop. */
    void startListWatch() {
        discovery.restore(config.known());
        if (config.settings().listOnRequest()) {
            discovery.ensureWatching();
        } else {
            discovery.watchContinuously();
        }
        loop.scheduleWithFixedDelay(this::count, 0, FIGURES_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(this::tendFolder, 0, FOLDER_MS, TimeUnit.MILLISECONDS);
    }

    // ---------------------------------------------------------------- what operators take out

    /** Takes an endpoint out, or puts it back; null once that holds, or why it does not. */
    String overrideEndpoint(final String host, final boolean out) {
        if (discovery.idOf(host) == null && !marks.containsKey(host)) {
            return "nobody has the id " + host;
        }
        try {
            if (out) {
                folder.disable(host);
            } else {
                folder.enable(host, clock.persistentUs());
            }
        } catch (final IOException e) {
            Log.info("cannot mark " + host + ": " + e.getMessage());
            return "cannot write it down: " + e.getMessage();
        }
        look();
        return null;
    }

    private void tendFolder() {
        look();
        if (journal != null && leaving == null) {
            flushJournal();
        }
    }

    /** The other process of this courier may have been called as well: what is on disk holds for both. */
    private void look() {
        final Map<String, Long> found;
        try {
            found = folder.read(clock.persistentUs());
        } catch (final IOException e) {
            if (!marksUnreadable) {
                Log.info("cannot read which endpoints are out, what was read before holds: " + e.getMessage());
            }
            marksUnreadable = true;
            return;
        }
        marksUnreadable = false;
        if (!found.equals(marks)) {
            final Set<String> changed = new HashSet<>(found.keySet());
            changed.removeIf(host -> found.get(host).equals(marks.get(host)));
            marks = found;
            Log.info("by hand: "
                    + found.values().stream()
                            .filter(at -> at == OperatorOverrides.DISABLED)
                            .count() + " endpoints out; changed "
                    + changed);
            changed.forEach(this::mark);
            count();
            touch();
        }
    }

    /** Tells the decisions how an endpoint stands by hand. */
    private void mark(final String host) {
        final Long endpoint = discovery.idOf(host);
        if (endpoint != null) {
            final long at = marks.get(host);
            control.onOverride(
                    clock.nowUs(),
                    endpoint,
                    at == OperatorOverrides.DISABLED,
                    at == OperatorOverrides.DISABLED ? 0 : clock.fromPersistentUs(at));
            if (at == OperatorOverrides.DISABLED) {
                endpointClient.cancelUnsentCalls(endpoint);
            }
        }
    }

    /** Decisions are made only while that holds: another process may own the state folder otherwise. */
    void decideOnlyWhile(final BooleanSupplier lockIsHeld) {
        holdsLock = lockIsHeld;
    }

    /** Runs what depends on the list once it is known what counts as told, or cannot be had. */
    void whenListReady(final Runnable begin) {
        discovery.whenListReady(begin);
    }

    /**
     * Takes up what an earlier process held, and decides from now on. Runs on the event loop.
     *
     * @throws IOException if the folder cannot be read now; nothing has been taken up then
     */
    void start(final Journal owned) throws IOException {
        predecessors.addAll(HandoverReader.openAll(config.state(), clock, owned));
        journal = owned;
        discovery.startPersisting();
        look();
        int resumed = 0;
        for (final AcceptedMessage held : journal.openMessages()) {
            resumed += takeUp(held) ? 1 : 0;
        }
        if (resumed > 0) {
            Log.info("resumed " + resumed + " messages");
        }
        hear();
        Log.info(config.describe());
        loop.scheduleWithFixedDelay(this::report, REPORT_S, REPORT_S, TimeUnit.SECONDS);
        followPredecessors();
        touch();
    }

    /** Goes on with what an earlier process held; true for a message, false for a notice that is all that is owed. */
    private boolean takeUp(final AcceptedMessage held) {
        final Integer index = classes.get(held.className);
        if (held.notice() != null) {
            owe(held);
        } else if (index == null) {
            end(new OpenMessage(held, null, 0, null, clock.nowUs()), new AcceptedMessage.Notice(true, 0));
        } else {
            resume(held, index);
            return true;
        }
        return false;
    }

    private void resume(final AcceptedMessage held, final int index) {
        final OpenMessage open = new OpenMessage(
                held,
                config.settings().classes().get(index),
                clock.fromPersistentUs(held.validUntilPersistentUs),
                null,
                clock.nowUs());
        final String host = held.hasAttemptInFlight() ? outTo(held.id) : null;
        final Courier.AttemptHistory past;
        if (host == null) {
            past = held.historyAfterInterruption(clock);
            if (held.hasAttemptInFlight()) {
                journal.endAttempt(held, false);
            }
        } else {
            open.endpoint = discovery.idOf(host, held.attemptZone(), held.destination);
            past = held.historyWithInheritedCall(clock, open.endpoint);
        }
        messages.put(held.id, open);
        control.onMessageResumed(clock.nowUs(), message(open, index), past);
    }

    // ---------------------------------------------------------------- taking over, and leaving

    /** The endpoint to which a process that leaves has this message's call out, or null. */
    private String outTo(final String id) {
        return predecessors.stream()
                .map(one -> one.endpointOfCall(id))
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(null);
    }

    /** Takes up what processes that leave have told since; ahead of each decision, and of each message taken. */
    private void hear() {
        for (final HandoverReader one : predecessors) {
            try {
                if (one.read(new Heard())) {
                    journal.recordReadPosition(one.fileName(), one.position());
                    touch();
                }
            } catch (final IOException e) {
                Log.info("cannot read " + one.fileName() + ": " + e.getMessage());
            }
        }
    }

    /** While one of them lives, looks often; what is out there without an outcome when it is dead may have run. */
    private void followPredecessors() {
        hear();
        for (final HandoverReader one : List.copyOf(predecessors)) {
            try {
                if (!one.hasBeenDeadFor(DEAD_US)) {
                    continue;
                }
                hear();
                predecessors.remove(one);
                one.callsInFlight().forEach(this::cutOff);
                one.closeAndDelete();
                journal.recordReadPosition(one.fileName(), Journal.FILE_REMOVED);
                Log.info("the process before this one has ended, "
                        + one.callsInFlight().size() + " of its calls cut off");
            } catch (final IOException e) {
                Log.info("cannot end with " + one.fileName() + ": " + e.getMessage());
            }
        }
        if (!predecessors.isEmpty()) {
            loop.schedule(this::followPredecessors, HEAR_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void cutOff(final String id) {
        final OpenMessage open = messages.get(id);
        if (open != null && open.accepted.hasAttemptInFlight()) {
            journal.endAttempt(open.accepted, false);
            control.onAttemptInterrupted(clock.nowUs(), id);
            touch();
        }
    }

    /** What a process that leaves tells. */
    private final class Heard implements HandoverReader.Events {
        @Override
        public void onSnapshot(final String host, final Courier.EndpointSnapshot standing) {
            final Long endpoint = discovery.idOf(host);
            if (endpoint != null) {
                control.onEndpointSnapshot(clock.nowUs(), endpoint, standing);
            }
        }

        @Override
        public void onOutcome(final String id, final EndpointClient.AttemptOutcome answer, final long durationUs) {
            final OpenMessage open = messages.get(id);
            if (open != null && open.accepted.hasAttemptInFlight()) {
                settle(open, open.endpoint, answer, durationUs);
            }
        }

        @Override
        public void onAccepted(final AcceptedMessage held) {
            if (journal.contains(held.id)) {
                return;
            }
            counters.messageAccepted();
            if (journal.acceptInherited(held)) {
                takeUp(held);
            } else {
                held.setNotice(new AcceptedMessage.Notice(false, FULL_RETRY_US / US_PER_MS));
                owe(held);
            }
        }

        @Override
        public void onWithdrawn(final String id) {
            withdraw(id);
        }
    }

    /**
     * Another process takes over: from here on nothing is decided or begun here. What is out goes on, and is told,
     * like what clients still hand in, through the file.
     */
    void handOver(final HandoverWriter file) throws IOException {
        unrecordedCalls.cancelUnsent(endpoint -> true);
        journal.flush();
        for (final Courier.Endpoint entry : discovery.entries()) {
            final Courier.EndpointSnapshot standing = control.snapshot(clock.nowUs(), entry.id());
            if (!standing.values().isEmpty()) {
                file.writeSnapshot(discovery.nameOf(entry.id()), standing);
            }
        }
        for (final OpenMessage open : messages.values()) {
            if (open.accepted.hasAttemptInFlight()) {
                final String there =
                        open.call == null ? outTo(open.accepted.id) : discovery.nameOf(open.call.endpoint());
                file.writeCallInFlight(open.accepted.id, there == null ? "" : there);
            }
        }
        // From here on nothing can fail any more: a process that cannot hand over goes on as before.
        answer();
        notices.discard();
        discovery.stopPersisting();
        leaving = file;
        endpointClient.stopNewCalls();
        try {
            journal.close();
        } catch (final IOException e) {
            Log.info("the journal cannot be closed: " + e.getMessage());
        }
        Log.info("leaves: another process goes on with " + messages.size() + " messages, " + endpointClient.describe());
    }

    /** While it leaves, a message is only handed on; its client is answered once the file has it. */
    private void handOn(final AcceptedMessage held, final Reply reply) {
        final Journal.Admission admission = leaving.accept(held);
        if (admission == Journal.Admission.ACCEPTED) {
            counters.messageAccepted();
            handedOn.add(held.id);
            reply.accepted();
        } else {
            notTaken(held, admission, reply);
        }
    }

    /** Nothing is promised of a message that the next process may find although it could not be taken on. */
    private void notTaken(final AcceptedMessage held, final Journal.Admission admission, final Reply reply) {
        countRejected(held.className);
        if (admission == Journal.Admission.UNCERTAIN) {
            Log.info("message " + held.id + " is answered as failed: its record may have been written");
            reply.failed();
        } else {
            reply.refused(ClientServer.SERVICE_UNAVAILABLE, FULL_RETRY_US);
        }
    }

    /** Tells the process that takes over; if that fails, it holds for true what it would after a kill. */
    private void tell(final Told told) {
        try {
            told.to(leaving);
        } catch (final IOException e) {
            Log.info("leaving: cannot write: " + e.getMessage());
        }
    }

    private interface Told {
        void to(HandoverWriter file) throws IOException;
    }

    private static Courier.Message message(final OpenMessage open, final int index) {
        return new Courier.Message(
                open.accepted.id,
                index,
                -1,
                open.accepted.orderKey,
                open.validUntilUs,
                open.accepted.destination,
                open.ageUncertaintyUs);
    }

    // ---------------------------------------------------------------- what the sockets bring

    /** The class of that name, or null. */
    Courier.MessageClass messageClass(final String className) {
        final Integer index = classes.get(className);
        return index == null ? null : config.settings().classes().get(index);
    }

    /** False for a destination that cannot be one. */
    boolean isPossibleDestination(final long destination) {
        return discovery.isPossibleDestination(destination);
    }

    /** True while a message of that id is owed its end. */
    boolean hasMessage(final String id) {
        return messages.containsKey(id) || handedOn.contains(id) || journal != null && journal.contains(id);
    }

    /** Takes a message, if there is room; its reply comes at the end of the pass. */
    void submit(final AcceptedMessage held, final long validUntilUs, final Reply reply) {
        if (leaving != null) {
            handOn(held, reply);
            return;
        }
        // One of the same key may have been handed in at the process that leaves just before.
        hear();
        final boolean full = messages.size() >= config.settings().limits().maxOpenMessages();
        final Journal.Admission admission = full ? Journal.Admission.REJECTED : journal.accept(held);
        if (admission != Journal.Admission.ACCEPTED) {
            notTaken(held, admission, reply);
            return;
        }
        final int index = classes.get(held.className);
        final OpenMessage open =
                new OpenMessage(held, config.settings().classes().get(index), validUntilUs, reply, clock.nowUs());
        counters.messageAccepted();
        messages.put(held.id, open);
        unanswered.add(open);
        control.onMessage(clock.nowUs(), message(open, index));
        touch();
    }

    /** What gives descriptors back, if any can. */
    void onDescriptorShortage(final Runnable relief) {
        this.relief = relief;
    }

    /** No connection could be opened to discovery, to the platform or to an endpoint, as no descriptor is left. */
    void relieveDescriptorShortage() {
        endpointClient.closeOldestIdleConnection();
        relief.run();
    }

    /** A client's connection was closed to make room. */
    void connectionShed() {
        counters.connectionShed();
    }

    /** A message of that class is refused at the door. */
    void countRejected(final String className) {
        counters.messageRejected();
        metrics.declined(className);
    }

    /**
     * The answer that takes a message on has failed. Only if its client surely did not hear it is the message
     * dropped: otherwise it is owed its end.
     */
    void acceptanceFailed(final String id, final Transmission answer) {
        if (DeliveryRules.mayWithdraw(answer)) {
            withdraw(id);
        } else if (counters.answerInDoubt() <= MOST_DOUBTS_LOGGED) {
            Log.info("message " + id + " goes on: its client may have read that it is taken on");
        }
    }

    /** The client went before it was answered: nobody knows of this message, and nobody wants it. */
    void withdraw(final String id) {
        if (leaving != null) {
            tell(file -> file.writeWithdrawn(id));
            return;
        }
        final OpenMessage open = messages.get(id);
        if (open != null) {
            forget(open);
            control.onExpired(clock.nowUs(), id);
            touch();
        }
    }

    /** The list has changed, or could not be had; the {@link Discovery} says so already. */
    void listUpdated(final Courier.ListUpdate update, final List<Courier.Endpoint> changed) {
        control.onListUpdate(clock.nowUs(), update, changed);
        marks.keySet().forEach(this::mark);
        touch();
    }

    /** Where and how an endpoint is called; null for one that the list does not name. */
    EndpointClient.Target target(final long endpoint) {
        return discovery.target(endpoint);
    }

    EndpointClient endpointClient() {
        return endpointClient;
    }

    /** The outcome of one message's part in a call. */
    void attemptEnded(
            final CallItem parcel, final EndpointClient.Call call, final EndpointClient.AttemptOutcome answer) {
        final OpenMessage open = parcel.message();
        open.call = null;
        counters.attemptEnded(answer.result());
        if (answer.result() == Courier.Result.DELIVERED && !open.over) {
            metrics.succeeded(open.accepted.className);
        }
        final long durationUs = clock.nowUs() - call.sentUs();
        if (leaving != null) {
            tell(file -> file.writeOutcome(open.accepted.id, answer, durationUs));
        } else {
            settle(open, call.endpoint(), answer, durationUs);
        }
    }

    /** A write of a call's request has failed and may have taken effect: its messages may have run. */
    void requestInDoubt(final List<String> ids, final InetSocketAddress to) {
        if (counters.requestInDoubt() <= MOST_DOUBTS_LOGGED) {
            Log.info("call of " + ids + " to " + to + ": a write failed, and the request may have left");
        }
    }

    /** Whether a message's part in a call may be written now, the last time that this is asked. */
    boolean mayWrite(final CallItem parcel, final EndpointClient.Call call) {
        final OpenMessage open = parcel.message();
        if (open.over) {
            // It has ended while its connection came up.
            return false;
        }
        final Optional<Violation> violation = DeliveryRules.violationOf(
                new DeliveryRules.Attempt(
                        open.messageClass,
                        open.accepted.hasAttemptInFlight(),
                        open.isCurrentCall(call),
                        mayCall(call.endpoint()),
                        open.accepted.historyBeforeCurrentAttempt(clock),
                        discovery.zone(call.endpoint())),
                clock.nowUs());
        violation.ifPresent(rule -> violated(rule, open.accepted.id));
        return violation.isEmpty();
    }

    private void violated(final Violation rule, final String what) {
        rules.count(rule);
        Log.info("violation prevented: " + rule + ", " + what + "; " + rules.counts());
    }

    /** An answer told to wait: that binds whether or not a message still hangs on it. */
    void onRetryAfter(final long endpoint, final long waitUs) {
        if (leaving == null) {
            final Courier.Endpoint told = discovery.endpoint(endpoint);
            if (told != null) {
                unrecordedCalls.cancelUnsent(other -> isOf(told.destination(), other));
            }
            control.onRetryAfter(clock.nowUs(), endpoint, waitUs);
            touch();
        }
    }

    /** A message is out no more, here or at the process before this one. */
    private void settle(
            final OpenMessage open,
            final long endpoint,
            final EndpointClient.AttemptOutcome answer,
            final long durationUs) {
        open.lastResult = answer.result();
        final boolean delivered = answer.result() == Courier.Result.DELIVERED;
        if (!open.over) {
            if (delivered) {
                forget(open);
            } else if (answer.isFinal()) {
                // If that is true the notice does no harm; if an endpoint errs, the message would have no end.
                journal.endAttempt(open.accepted, true);
                end(open, new AcceptedMessage.Notice(true, 0));
            } else {
                journal.endAttempt(open.accepted, answer.result().hadNoEffect());
            }
        }
        control.onOutcome(
                clock.nowUs(),
                new Courier.Outcome(
                        open.accepted.id,
                        answer.result(),
                        open.over,
                        endpoint,
                        durationUs,
                        answer.retryAfterUs(),
                        answer.reportedLimit()));
        touch();
    }

    /** The platform has confirmed these notices. */
    void noticesConfirmed(final List<AcceptedMessage> confirmed) {
        if (leaving != null) {
            return;
        }
        for (final AcceptedMessage held : confirmed) {
            journal.complete(held);
            if (out.contains(held.id)) {
                answered.put(held.id, held);
            } else {
                freeKey(held);
            }
        }
        touch();
    }

    private void freeKey(final AcceptedMessage held) {
        if (held.orderKey != null) {
            control.onNoticeAnswered(clock.nowUs(), held.id, held.orderKey);
        }
    }

    /** A message ends while the call that it shares goes on: until that is over too, its key is not free. */
    void remainsInCall(final CallItem parcel) {
        out.add(parcel.message().accepted.id);
    }

    /** That call is over. */
    void callEnded(final CallItem parcel) {
        final String id = parcel.message().accepted.id;
        out.remove(id);
        final AcceptedMessage held = answered.remove(id);
        if (held != null) {
            freeKey(held);
            touch();
        }
    }

    // ---------------------------------------------------------------- the pass

    /** Runs a task at once, or after a pause of the process once the sockets have been read. */
    void afterSocketReads(final Runnable task) {
        stalls.afterSocketReads(task);
    }

    /** Lets the decisions be made once all that this pass of the loop brought has been told. */
    private void touch() {
        if (!passDue) {
            passDue = true;
            loop.execute(() -> stalls.afterSocketReads(this::pass));
        }
    }

    private void pass() {
        passDue = false;
        if (journal == null || leaving != null) {
            return;
        }
        if (!holdsLock.getAsBoolean()) {
            violated(Violation.DECISION_WITHOUT_LOCK, config.name());
            return;
        }
        hear();
        try {
            control.decide(clock.nowUs());
        } catch (final RuntimeException e) {
            Log.failure("decisions failed", e);
        }
        answer();
        sendDecided();
        notices.flush();
    }

    /** What was taken and not ended in the same pass is taken on. */
    private void answer() {
        final List<OpenMessage> due = List.copyOf(unanswered);
        unanswered.clear();
        for (final OpenMessage open : due) {
            if (open.reply != null && !open.over) {
                final Reply reply = open.reply;
                open.reply = null;
                acceptOrLog(open.accepted.id, reply);
            }
        }
    }

    /** An answer that cannot be written must not keep the others from theirs. */
    private static void acceptOrLog(final String id, final Reply reply) {
        try {
            reply.accepted();
        } catch (final RuntimeException e) {
            Log.failure("message " + id + " is taken on, its client cannot be answered", e);
        }
    }

    /** Each decision is carried out once, whatever becomes of the others. */
    private void sendDecided() {
        final Map<Long, List<CallItem>> decided = new LinkedHashMap<>(outbox);
        outbox.clear();
        decided.forEach(this::sendAll);
    }

    private void sendAll(final long endpoint, final List<CallItem> decided) {
        final List<CallItem> parcels = new ArrayList<>(decided);
        // Its client went while it was being answered: nobody wants it, and the same client may hand it in elsewhere.
        parcels.removeIf(this::isWithdrawn);
        final int most = Math.max(1, discovery.messagesPerCall(endpoint));
        for (int from = 0; from < parcels.size(); from += most) {
            send(endpoint, List.copyOf(parcels.subList(from, Math.min(parcels.size(), from + most))));
        }
    }

    /** One call. Until it is started nothing of it can have left, so a failure before that is told as not sent. */
    private void send(final long endpoint, final List<CallItem> parcels) {
        final EndpointClient.Call call = endpointClient.prepareCall(endpoint, parcels);
        final boolean recorded;
        try {
            for (final CallItem parcel : parcels) {
                parcel.message().assignCall(call);
                parcel.message().firstSentUs =
                        parcel.message().firstSentUs == 0 ? clock.nowUs() : parcel.message().firstSentUs;
            }
            recorded = recordAttempts(endpoint, parcels);
        } catch (final RuntimeException e) {
            Log.failure("a call cannot be recorded", e);
            endpointClient.abandonCall(call, Courier.Result.NOT_SENT);
            return;
        }
        if (recorded) {
            endpointClient.startCall(call);
        } else {
            // An attempt that the journal does not know of would be forgotten by a restart.
            unrecordedCalls.add(endpoint, parcels, call);
        }
    }

    private boolean recordAttempts(final long endpoint, final List<CallItem> parcels) {
        boolean recorded = true;
        for (final CallItem parcel : parcels) {
            final AcceptedMessage held = parcel.message().accepted;
            recorded &= held.hasAttemptInFlight()
                    || journal.beginAttempt(held, clock.persistentUs(), discovery.zone(endpoint));
        }
        return recorded;
    }

    private boolean mayCall(final long endpoint) {
        final Courier.Endpoint entry = discovery.endpoint(endpoint);
        return entry != null
                && entry.condition() == Courier.Condition.LISTED
                && !Objects.equals(marks.get(discovery.nameOf(endpoint)), OperatorOverrides.DISABLED);
    }

    private boolean isOf(final long destination, final long endpoint) {
        final Courier.Endpoint entry = discovery.endpoint(endpoint);
        return entry == null || entry.destination() == destination;
    }

    private boolean isWithdrawn(final CallItem parcel) {
        if (parcel.message().over) {
            control.onOutcome(
                    clock.nowUs(),
                    new Courier.Outcome(parcel.message().accepted.id, Courier.Result.NOT_SENT, true, 0, 0, 0, null));
            touch();
        }
        return parcel.message().over;
    }

    // ---------------------------------------------------------------- what the decisions ask for

    @Override
    public void send(final String messageId, final long endpoint, final long timeoutUs) {
        final OpenMessage open = messages.get(messageId);
        if (open != null) {
            outbox.computeIfAbsent(endpoint, unused -> new ArrayList<>())
                    .add(new CallItem(open, timeoutUs, writeByUs(open)));
        }
    }

    /**
     * A repeat of a keyed message is sent while its key is remembered: it was decided so, but its connection may
     * come up later than that. So long before the end of the window nothing is written any more: it is still on its
     * way then.
     */
    private long writeByUs(final OpenMessage open) {
        final long firstPersistentUs = open.accepted.firstEffectPersistentUs();
        if (open.messageClass.effect() != Courier.Effect.KEYED || firstPersistentUs == AcceptedMessage.NEVER) {
            return AcceptedMessage.NEVER;
        }
        return clock.fromPersistentUs(firstPersistentUs)
                + (long) ((1 - KEY_MARGIN) * open.messageClass.dedupWindowUs());
    }

    @Override
    public void refuse(final String messageId, final long retryAfterUs) {
        final OpenMessage open = messages.get(messageId);
        if (open == null) {
            return;
        }
        if (!DeliveryRules.mayRefuse(open.messageClass, open.accepted.mayHaveTakenEffect())) {
            violated(Violation.REFUSAL_AFTER_RUN, messageId);
            fail(messageId);
            return;
        }
        if (open.reply == null) {
            end(open, new AcceptedMessage.Notice(false, retryAfterUs / US_PER_MS));
        } else {
            final Reply reply = open.reply;
            final boolean recorded = forget(open);
            ended(open, new AcceptedMessage.Notice(false, retryAfterUs / US_PER_MS));
            if (recorded) {
                reply.refused(ClientServer.TOO_MANY_REQUESTS, retryAfterUs);
            } else {
                // The next process would go on with it.
                reply.failed();
            }
        }
    }

    @Override
    public void fail(final String messageId) {
        final OpenMessage open = messages.get(messageId);
        if (open == null) {
            return;
        }
        if (open.reply == null) {
            end(open, new AcceptedMessage.Notice(true, 0));
        } else {
            final Reply reply = open.reply;
            forget(open);
            ended(open, new AcceptedMessage.Notice(true, 0));
            reply.failed();
        }
    }

    /** Ends a message that was taken on by a notice; the journal holds the notice until it is confirmed. */
    private void end(final OpenMessage open, final AcceptedMessage.Notice notice) {
        open.over = true;
        messages.remove(open.accepted.id);
        if (journal.recordNotice(open.accepted, notice)) {
            notices.add(open.accepted);
        } else {
            unrecorded.add(open);
        }
        blockKey(open.accepted);
        ended(open, notice);
    }

    /** A notice is due; a key's next message waits until it is answered. */
    private void owe(final AcceptedMessage held) {
        notices.add(held);
        blockKey(held);
    }

    private void blockKey(final AcceptedMessage held) {
        if (held.orderKey != null) {
            control.onNoticePending(clock.nowUs(), held.id, held.orderKey);
        }
    }

    /**
     * Records what waited for the folder. An end that is not recorded is told once the message's time is up: until
     * then a kill would make the next process go on with the message.
     */
    private void flushJournal() {
        final boolean recorded = journal.flush();
        unrecordedCalls.retry();
        if (unrecorded.isEmpty()) {
            return;
        }
        final List<OpenMessage> due = unrecorded.stream()
                .filter(open -> recorded || clock.nowUs() >= open.latestEndUs())
                .toList();
        unrecorded.removeAll(due);
        due.forEach(open -> notices.add(open.accepted));
        notices.flush();
    }

    /** A message that was not delivered is worth a line: what became of it, and how its destination stood. */
    private void ended(final OpenMessage open, final AcceptedMessage.Notice notice) {
        final long nowUs = clock.nowUs();
        final AcceptedMessage held = open.accepted;
        counters.messageEndedUndelivered();
        if (notice.failed()) {
            metrics.aborted(held.className);
        } else {
            metrics.declined(held.className);
        }
        final String how = notice.failed() ? "failed" : "refused, again in " + notice.retryAfterMs() + " ms";
        Log.info("message " + held.id + " " + held.className + " to " + held.destination + " " + how + ": after "
                + (nowUs - open.sinceUs) / US_PER_MS + " ms, " + (open.validUntilUs - nowUs) / US_PER_MS + " ms left, "
                + held.attempts() + " attempts"
                + (open.firstSentUs == 0
                        ? ""
                        : ", first after " + (open.firstSentUs - open.sinceUs) / US_PER_MS + " ms, last "
                                + open.lastResult)
                + "; "
                + control.describe(held.destination));
    }

    /** Every few seconds, what came and went. */
    private void report() {
        Log.info(counters.summarizeAndReset() + "; open " + messages.size() + ", " + endpointClient.describe()
                + ", violations prevented " + rules.total());
    }

    private void count() {
        // Whoever owns the journal counts what is held: this process no more once it leaves.
        metrics.setOutstanding(leaving == null ? messages.size() : 0);
        metrics.setEndpoints(discovery.endpointCount(), control.avoidedEndpoints(clock.nowUs()));
    }

    /** The numbers, which any thread may read. */
    Metrics metrics() {
        return metrics;
    }

    /** Nothing is owed for a message any more; false while the journal could not record that. */
    private boolean forget(final OpenMessage open) {
        open.over = true;
        open.reply = null;
        messages.remove(open.accepted.id);
        return journal.complete(open.accepted);
    }

    @Override
    public void cancel(final String messageId, final int attempt) {
        final OpenMessage open = messages.get(messageId);
        if (open != null && open.call != null) {
            final EndpointClient.Call call = open.call;
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
        loop.schedule(this::touch, delayUs, TimeUnit.MICROSECONDS);
    }

    // ---------------------------------------------------------------- reload and the end of the process

    /** The configuration has been read again: discovery may have moved. The settings hold from start to end. */
    void reload(final Config fresh) {
        Log.info("reload: discovery is at " + fresh.discovery());
        discovery.moveTo(fresh.discovery());
        notices.moveTo(fresh.discovery());
    }

    /** This process ends at that moment: nothing is begun that cannot end by then. */
    void stopping(final long stopUs) {
        control.onStopping(clock.nowUs(), stopUs);
        touch();
    }

    /** True when nothing is under way that the end of the process would cut off. */
    boolean isIdle() {
        return leaving == null
                ? messages.isEmpty() && unrecorded.isEmpty() && notices.isEmpty()
                : endpointClient.hasNoCalls();
    }
}
