package railspar.node;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import railspar.Courier;
import railspar.list.EndpointTable;
import railspar.list.ListFormatException;
import railspar.list.ListStore;
import railspar.list.StagedList;
import railspar.list.TableUpdate;

/**
 * The list of endpoints: the copy from the configuration at first, then a watch on its changes. When the watch
 * breaks, falls silent or says what cannot be read, the decisions are told that it is lost, and they say when to ask
 * again; where the settings say that the list is pushed they never ask, and the watch is kept from here.
 */
final class Discovery implements Courier.Directory, ListSubscription.Listener {
    static final int SILENCE_TIMEOUT_MS = Watch.SILENCE_TIMEOUT_MS;
    static final int FIRST_RESPONSE_MS = Watch.FIRST_RESPONSE_MS;
    /** Different faults of the list that are said, at most. */
    private static final int MOST_FAULTS = 50;
    /** Share of the heap for a list that is under way, beside the one in force. */
    private static final double STAGING_SHARE = 0.25;

    /**
     * Share of the disk for the copy of the list. Beside it lie the journal and the one that takes its place (0.8),
     * what a process that leaves tells (0.15), and the marks of endpoints taken out and the files of turns, which are
     * small and share the last hundredth.
     */
    private static final double DISK_SHARE = 0.04;

    /** How often a copy that could not be written is tried again. */
    private static final long STORE_AGAIN_MS = 500;

    private final Config config;
    private final EventLoop loop;
    private final MessageService host;
    private final ListSubscription subscription;
    private final Map<String, Integer> kinds = new HashMap<>();
    private final long stagingBytes =
            (long) (STAGING_SHARE * Runtime.getRuntime().maxMemory());
    private final ListStore store;
    private EndpointTable table = new EndpointTable();
    /** Endpoints that no list names any more, but an earlier process has calls out to. */
    private final Map<Long, Courier.Endpoint> unlisted = new HashMap<>();

    private boolean writingStore;
    private final ListStartupGate start;
    private final Set<String> faults = new HashSet<>();

    Discovery(final Config config, final EventLoop loop, final MessageService host) {
        this.config = config;
        this.loop = loop;
        this.host = host;
        this.subscription = new ListSubscription(
                config.discovery(),
                loop,
                new AgentConnector(loop, host::relieveDescriptorShortage),
                new RetryDelay(config.seed()),
                stagingBytes,
                this);
        this.start = new ListStartupGate(this::endpointCount, subscription::isReceiving);
        config.settings().destinationKinds().forEach(kind -> kinds.put(kind.name(), kinds.size()));
        this.store = new ListStore(
                config.state(), config.fingerprint(), (long) (DISK_SHARE * config.diskBytes()), Log::info);
    }

    // ---------------------------------------------------------------- what the host asks

    @Override
    public long version() {
        return table.version();
    }

    /** Messages that one call to an endpoint may carry. */
    int messagesPerCall(final long endpoint) {
        final int kind = table.isListed(endpoint) ? kind(endpoint) : -1;
        return kind < 0 ? 1 : config.settings().destinationKinds().get(kind).messagesPerCall();
    }

    List<Courier.Endpoint> entries() {
        final List<Courier.Endpoint> entries = new ArrayList<>(table.size());
        table.forEach(endpoint -> entries.add(endpoint(endpoint, table.conditionOf(endpoint))));
        return entries;
    }

    @Override
    public List<Courier.Endpoint> endpointsOf(final long destination) {
        final List<Courier.Endpoint> entries = new ArrayList<>();
        table.forEachOfDestination(
                destination, endpoint -> entries.add(endpoint(endpoint, table.conditionOf(endpoint))));
        return entries;
    }

    @Override
    public Courier.Endpoint endpoint(final long id) {
        return table.isListed(id) ? endpoint(id, table.conditionOf(id)) : unlisted.get(id);
    }

    /** Where and how an endpoint is called; null for one that the list does not name. */
    EndpointClient.Target target(final long endpoint) {
        if (!table.isListed(endpoint)) {
            return null;
        }
        final int kind = kind(endpoint);
        final boolean apart =
                kind >= 0 && config.settings().destinationKinds().get(kind).separateRoutes();
        return new EndpointClient.Target(table.destinationOf(endpoint), apart, table.addressOf(endpoint));
    }

    /** The endpoint of that name, or null where the list has none. */
    Long idOf(final String name) {
        return table.idOf(name);
    }

    /** As above; one that the list has no more is made known as one that wants nothing new. */
    long idOf(final String name, final String zone, final long destination) {
        final Long known = table.idOf(name);
        if (known != null) {
            return known;
        }
        final long id = table.reserve(name);
        unlisted.put(id, new Courier.Endpoint(id, Courier.Condition.DRAINING, zone, 0, -1, destination));
        return id;
    }

    String nameOf(final long endpoint) {
        return table.nameOf(endpoint);
    }

    /** Endpoints in the list. */
    int endpointCount() {
        return table.size();
    }

    String zone(final long endpoint) {
        return table.isListed(endpoint) ? table.zoneOf(endpoint) : "";
    }

    /** False for a destination that no list has ever named; before any list there is nothing to go by. */
    boolean isPossibleDestination(final long destination) {
        return table.destinationCount() == 0 || table.knowsDestination(destination);
    }

    /** Index of an endpoint's kind in the settings, or -1. */
    private int kind(final long endpoint) {
        return kinds.getOrDefault(table.kindOf(endpoint), -1);
    }

    private Courier.Endpoint endpoint(final long endpoint, final Courier.Condition condition) {
        return new Courier.Endpoint(
                endpoint,
                condition,
                table.zoneOf(endpoint),
                table.weightOf(endpoint),
                kind(endpoint),
                table.destinationOf(endpoint));
    }

    // ---------------------------------------------------------------- the start

    /**
     * Begins with the list as this courier last had it: its own copy, or an older one that the configuration holds.
     */
    void restore(final ConfiguredList known) {
        final EndpointTable stored = store.load(version(known));
        if (stored == null) {
            read(known);
        } else {
            table = stored;
            host.listUpdated(Courier.ListUpdate.CACHED, List.of());
        }
    }

    private long version(final ConfiguredList known) {
        try {
            return known.version();
        } catch (final IOException e) {
            // Reading all of it says what is wrong with it.
            return StagedList.NO_VERSION;
        }
    }

    private void read(final ConfiguredList known) {
        try {
            final StagedList list = known.read(stagingBytes, this::onUnusableEntry);
            if (list != null && list.hasEntries()) {
                apply(list, Courier.ListUpdate.CACHED);
            }
        } catch (final IOException e) {
            fault("the list in the configuration cannot be used: " + e.getMessage());
        }
    }

    /** Keeps a watch by itself from now on: the list is pushed, so the decisions never ask for it. */
    void watchContinuously() {
        subscription.enableRetries();
        subscription.ensureWatching();
    }

    /**
     * Begins what depends on the list once that is known as well as a start may wait for; see
     * {@link ListStartupGate}.
     */
    void whenListReady(final Runnable begin) {
        start.runWhenReady(begin, loop);
        subscription.ensureWatching();
    }

    // ---------------------------------------------------------------- the watch

    /** Discovery is elsewhere now. */
    void moveTo(final InetSocketAddress to) {
        subscription.moveTo(to);
    }

    /** Watches for changes, unless that is being done. */
    void ensureWatching() {
        subscription.ensureWatching();
    }

    @Override
    public void onList(final StagedList list) throws ListFormatException {
        apply(list, list.isFull() ? Courier.ListUpdate.FULL : Courier.ListUpdate.INCREMENTAL);
        start.listReceived();
    }

    /** The decisions hear once that they are up to date; after that, nothing said is nothing new. */
    @Override
    public void onUnchanged(final boolean first) {
        if (first) {
            host.listUpdated(Courier.ListUpdate.INCREMENTAL, List.of());
        }
        start.listReceived();
    }

    @Override
    public void onWatchLost(final boolean spoilt, final boolean retries) {
        if (!retries) {
            host.listUpdated(Courier.ListUpdate.UNAVAILABLE, List.of());
        }
        start.watchEnded(spoilt);
    }

    /** The delay before the next watch where nothing was wasted. */
    static long retryDelayMs(final int endedWithoutNews, final double draw) {
        return RetryDelay.delayMs(endedWithoutNews, 0, draw);
    }

    // ---------------------------------------------------------------- updates

    private void apply(final StagedList list, final Courier.ListUpdate update) throws ListFormatException {
        final Difference difference = new Difference(update);
        TableUpdate.apply(table, list, difference);
        if (update != Courier.ListUpdate.CACHED) {
            Log.info("the list at " + version() + ": " + update + ", " + difference.named + " entries, "
                    + difference.gone.size() + " gone");
            store.commit(table);
            writeStore();
        }
        host.listUpdated(update, difference.changed);
        difference.gone.forEach(host.endpointClient()::endpointRemoved);
    }

    /** This process owns what lies in the folder: it keeps the copy of the list from now on. */
    void startPersisting() {
        store.takeOwnership(table);
        writeStore();
        loop.scheduleWithFixedDelay(this::resumeStore, STORE_AGAIN_MS, STORE_AGAIN_MS, TimeUnit.MILLISECONDS);
    }

    private void resumeStore() {
        store.resumeWriting(table);
        writeStore();
    }

    /** Another process does from now on. */
    void stopPersisting() {
        store.releaseOwnership();
    }

    /** A base is written in slices, so that whatever else is due comes in between. */
    private void writeStore() {
        if (store.isWriting() && !writingStore) {
            writingStore = true;
            loop.execute(this::writeSlice);
        }
    }

    private void writeSlice() {
        writingStore = false;
        store.writeSlice(table);
        writeStore();
    }

    /** What an update changes, as the host and the decisions are told. */
    private final class Difference implements TableUpdate.Listener {
        private final Courier.ListUpdate update;
        /** What is not as before, and what went; of a whole list none, as the decisions look up what they need. */
        private final List<Courier.Endpoint> changed = new ArrayList<>();

        private final List<Long> gone = new ArrayList<>();
        private int named;

        Difference(final Courier.ListUpdate update) {
            this.update = update;
        }

        @Override
        public void onEntry(final long endpoint, final TableUpdate.Change change) {
            named++;
            if (change == TableUpdate.Change.SAME || change == TableUpdate.Change.GONE) {
                return;
            }
            final Courier.Endpoint entry = endpoint(endpoint, table.conditionOf(endpoint));
            unlisted.remove(endpoint);
            change(entry);
            host.endpointClient().endpointChanged(entry);
            keep(endpoint);
        }

        private void change(final Courier.Endpoint entry) {
            if (update == Courier.ListUpdate.INCREMENTAL) {
                changed.add(entry);
            }
        }

        /** The configuration's own list comes with every start: only what is newer is kept. */
        private void keep(final long endpoint) {
            if (update != Courier.ListUpdate.CACHED) {
                store.put(table, endpoint);
            }
        }

        @Override
        public void onRemoved(final long endpoint) {
            gone.add(endpoint);
            final Courier.Endpoint before = endpoint(endpoint);
            unlisted.remove(endpoint);
            if (table.isListed(endpoint) && update != Courier.ListUpdate.CACHED) {
                store.remove(table, endpoint);
            }
            if (before != null) {
                change(new Courier.Endpoint(
                        endpoint,
                        Courier.Condition.GONE,
                        before.zone(),
                        before.weight(),
                        before.destinationKind(),
                        before.destination()));
            }
        }

        @Override
        public void onUnusableEntry(final String problem) {
            Discovery.this.onUnusableEntry(problem);
        }
    }

    @Override
    public void onUnusableEntry(final String problem) {
        fault("an entry of the list cannot be used: " + problem);
    }

    @Override
    public void onInvalidList(final ListFormatException fault) {
        sayOnce(fault.fault().name(), "the list cannot be read: " + fault.getMessage());
    }

    private void fault(final String what) {
        sayOnce(what, what);
    }

    /** Says what is wrong with the list, once for each kind of fault: it may say so all day. */
    private void sayOnce(final String kind, final String what) {
        if (faults.size() < MOST_FAULTS && faults.add(kind)) {
            Log.info(what);
        }
    }
}
