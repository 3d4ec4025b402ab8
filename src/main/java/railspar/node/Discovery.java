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
 * Maintains the list of endpoints: it starts with the stored list or that of the configuration, and then watches
 * discovery for changes. When no watch is left because each has ended, fallen silent or sent invalid data, the courier
 * is notified that the list is unavailable and decides when to request it again. If the settings say that the list is
 * pushed, the courier never requests it, and this class keeps a watch open by itself.
 */
final class Discovery implements Courier.Directory, ListSubscription.Listener {
    static final int SILENCE_TIMEOUT_MS = Watch.SILENCE_TIMEOUT_MS;
    static final int FIRST_RESPONSE_MS = Watch.FIRST_RESPONSE_MS;
    /** Limit for the number of different faults of the list that are logged. */
    private static final int MAX_REPORTED_FAULTS = 50;
    /** Share of the heap for a list that is being received, beside the current one. */
    private static final double STAGING_HEAP_SHARE = 0.25;

    /**
     * Share of the disk budget for the stored list. The other shares are the journal with its replacement (0.8) and
     * handover files (0.15); the operator overrides and the lock files are small and share the last hundredth.
     */
    private static final double DISK_SHARE = 0.04;

    /** Interval of the attempts to resume writing the stored list after a failure. */
    private static final long STORE_RETRY_MS = 500;

    private final Config config;
    private final EventLoop loop;
    private final MessageService service;
    private final ListSubscription subscription;
    private final Map<String, Integer> kindIndexes = new HashMap<>();
    private final long stagingBytes =
            (long) (STAGING_HEAP_SHARE * Runtime.getRuntime().maxMemory());
    private final ListStore store;
    private EndpointTable table = new EndpointTable();
    /** Endpoints that the list no longer names, but to which an earlier process has open calls. */
    private final Map<Long, Courier.Endpoint> unlisted = new HashMap<>();

    private boolean sliceScheduled;
    private final ListStartupGate startupGate;
    private final Set<String> reportedFaults = new HashSet<>();

    Discovery(final Config config, final EventLoop loop, final MessageService service) {
        this.config = config;
        this.loop = loop;
        this.service = service;
        this.subscription = new ListSubscription(
                config.discovery(),
                loop,
                new AgentConnector(loop, service::relieveDescriptorShortage),
                new RetryDelay(config.seed()),
                stagingBytes,
                this);
        this.startupGate = new ListStartupGate(this::endpointCount, subscription::isReceiving);
        config.settings().destinationKinds().forEach(kind -> kindIndexes.put(kind.name(), kindIndexes.size()));
        this.store = new ListStore(
                config.state(), config.fingerprint(), (long) (DISK_SHARE * config.diskBytes()), Log::info);
    }

    // ---------------------------------------------------------------- queries

    @Override
    public long version() {
        return table.version();
    }

    /** How many messages one call to an endpoint may carry. */
    int messagesPerCall(final long endpoint) {
        final int kind = table.isListed(endpoint) ? kindIndex(endpoint) : -1;
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

    /** Where and how an endpoint is called; null if the list does not contain it. */
    EndpointClient.Target target(final long endpoint) {
        if (!table.isListed(endpoint)) {
            return null;
        }
        final int kind = kindIndex(endpoint);
        final boolean separateRoutes =
                kind >= 0 && config.settings().destinationKinds().get(kind).separateRoutes();
        return new EndpointClient.Target(table.destinationOf(endpoint), separateRoutes, table.addressOf(endpoint));
    }

    /** The id of the endpoint with the given name, or null if it is unknown. */
    Long idOf(final String name) {
        return table.idOf(name);
    }

    /** The id of the endpoint with the given name; an unknown one is added as an unlisted, draining endpoint. */
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

    /** Number of endpoints in the list. */
    int endpointCount() {
        return table.size();
    }

    String zone(final long endpoint) {
        return table.isListed(endpoint) ? table.zoneOf(endpoint) : "";
    }

    /** False if no list has ever named the destination; true for every destination before the first list. */
    boolean isPossibleDestination(final long destination) {
        return table.destinationCount() == 0 || table.knowsDestination(destination);
    }

    /** Index of an endpoint's destination kind in the settings, or -1. */
    private int kindIndex(final long endpoint) {
        return kindIndexes.getOrDefault(table.kindOf(endpoint), -1);
    }

    private Courier.Endpoint endpoint(final long endpoint, final Courier.Condition condition) {
        return new Courier.Endpoint(
                endpoint,
                condition,
                table.zoneOf(endpoint),
                table.weightOf(endpoint),
                kindIndex(endpoint),
                table.destinationOf(endpoint));
    }

    // ---------------------------------------------------------------- startup

    /**
     * Loads the list that this courier had last: the stored list, or the one in the configuration if that is newer or
     * no stored list can be used.
     */
    void restore(final ConfiguredList configured) {
        final EndpointTable stored = store.load(version(configured));
        if (stored == null) {
            applyConfigured(configured);
        } else {
            table = stored;
            service.listUpdated(Courier.ListUpdate.CACHED, List.of());
        }
    }

    private long version(final ConfiguredList configured) {
        try {
            return configured.version();
        } catch (final IOException e) {
            // The fault is reported when the whole list is read.
            return StagedList.NO_VERSION;
        }
    }

    private void applyConfigured(final ConfiguredList configured) {
        try {
            final StagedList list = configured.read(stagingBytes, this::onUnusableEntry);
            if (list != null && list.hasEntries()) {
                apply(list, Courier.ListUpdate.CACHED);
            }
        } catch (final IOException e) {
            reportFault("the list in the configuration cannot be used: " + e.getMessage());
        }
    }

    /** Opens the first watch. Where the list is pushed, the courier never requests it, and a watch is kept open. */
    void startWatching() {
        if (!config.settings().listOnRequest()) {
            subscription.enableRetries();
        }
        subscription.ensureWatching();
        startupGate.startWaiting(loop);
    }

    /**
     * Runs a task that depends on the list once the list is up to date, or the start can wait no longer; see
     * {@link ListStartupGate}.
     */
    void whenListReady(final Runnable task) {
        startupGate.runWhenReady(task);
        subscription.ensureWatching();
    }

    /** Waits for the list no longer than until now; {@code waitedMs}: since the first watch. */
    void stopWaitingForList(final int waitedMs) {
        startupGate.stopWaiting(waitedMs);
    }

    // ---------------------------------------------------------------- watch

    /** Changes the address of discovery. */
    void moveTo(final InetSocketAddress newAddress) {
        subscription.moveTo(newAddress);
    }

    /** Opens a watch for changes, unless one is open or a retry delay is in progress. */
    void ensureWatching() {
        subscription.ensureWatching();
    }

    @Override
    public void onList(final StagedList list) throws ListFormatException {
        apply(list, list.isFull() ? Courier.ListUpdate.FULL : Courier.ListUpdate.INCREMENTAL);
        startupGate.listReceived();
    }

    /** Notifies the courier once per watch that its list is up to date; further heartbeats bring nothing new. */
    @Override
    public void onUnchanged(final boolean first) {
        if (first) {
            service.listUpdated(Courier.ListUpdate.INCREMENTAL, List.of());
        }
        startupGate.listReceived();
    }

    @Override
    public void onWatchLost(final boolean invalid, final boolean retries) {
        if (!retries) {
            service.listUpdated(Courier.ListUpdate.UNAVAILABLE, List.of());
        }
        startupGate.watchEnded(invalid);
    }

    /** The delay before the next watch if no bytes have been wasted. */
    static long retryDelayMs(final int failuresBefore, final double draw) {
        return RetryDelay.delayMs(failuresBefore, 0, draw);
    }

    // ---------------------------------------------------------------- updates

    private void apply(final StagedList list, final Courier.ListUpdate update) throws ListFormatException {
        final UpdateListener changes = new UpdateListener(update);
        TableUpdate.apply(table, list, changes);
        if (update != Courier.ListUpdate.CACHED) {
            Log.info("the list at " + version() + ": " + update + ", " + changes.entryCount + " entries, "
                    + changes.removed.size() + " gone");
            store.commit(table);
            scheduleSlice();
        }
        service.listUpdated(update, changes.changed);
        changes.removed.forEach(service.endpointClient()::endpointRemoved);
    }

    /** Starts writing the stored list: this process now owns the state folder. */
    void startPersisting() {
        store.takeOwnership(table);
        scheduleSlice();
        loop.scheduleWithFixedDelay(this::resumeStore, STORE_RETRY_MS, STORE_RETRY_MS, TimeUnit.MILLISECONDS);
    }

    private void resumeStore() {
        store.resumeWriting(table);
        scheduleSlice();
    }

    /** Stops writing the stored list: another process takes over. */
    void stopPersisting() {
        store.releaseOwnership();
    }

    /** Schedules the next slice of a snapshot: other tasks of the event loop can run between slices. */
    private void scheduleSlice() {
        if (store.isWriting() && !sliceScheduled) {
            sliceScheduled = true;
            loop.execute(this::writeSlice);
        }
    }

    private void writeSlice() {
        sliceScheduled = false;
        store.writeSlice(table);
        scheduleSlice();
    }

    /** Collects what an update changes, for the message service and the courier. */
    private final class UpdateListener implements TableUpdate.Listener {
        private final Courier.ListUpdate update;
        /** Endpoints that an incremental list changes; empty otherwise, as the courier looks up what it needs. */
        private final List<Courier.Endpoint> changed = new ArrayList<>();

        private final List<Long> removed = new ArrayList<>();
        private int entryCount;

        UpdateListener(final Courier.ListUpdate update) {
            this.update = update;
        }

        @Override
        public void onEntry(final long endpoint, final TableUpdate.Change change) {
            entryCount++;
            if (change == TableUpdate.Change.SAME || change == TableUpdate.Change.GONE) {
                return;
            }
            final Courier.Endpoint entry = endpoint(endpoint, table.conditionOf(endpoint));
            unlisted.remove(endpoint);
            recordChange(entry);
            service.endpointClient().endpointChanged(entry);
            persist(endpoint);
        }

        private void recordChange(final Courier.Endpoint entry) {
            if (update == Courier.ListUpdate.INCREMENTAL) {
                changed.add(entry);
            }
        }

        /** Only newer lists are stored: the list in the configuration is available at every start. */
        private void persist(final long endpoint) {
            if (update != Courier.ListUpdate.CACHED) {
                store.put(table, endpoint);
            }
        }

        @Override
        public void onRemoved(final long endpoint) {
            removed.add(endpoint);
            final Courier.Endpoint before = endpoint(endpoint);
            unlisted.remove(endpoint);
            if (table.isListed(endpoint) && update != Courier.ListUpdate.CACHED) {
                store.remove(table, endpoint);
            }
            if (before != null) {
                recordChange(new Courier.Endpoint(
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
        reportFault("an entry of the list cannot be used: " + problem);
    }

    @Override
    public void onInvalidList(final ListFormatException fault) {
        logOnce(fault.fault().name(), "the list cannot be read: " + fault.getMessage());
    }

    private void reportFault(final String message) {
        logOnce(message, message);
    }

    /** Logs a fault of the list only once per key, as the same fault may recur all day. */
    private void logOnce(final String key, final String message) {
        if (reportedFaults.size() < MAX_REPORTED_FAULTS && reportedFaults.add(key)) {
            Log.info(message);
        }
    }
}
