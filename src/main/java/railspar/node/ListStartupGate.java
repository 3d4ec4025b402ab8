package railspar.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * Delays the start until the list is up to date. The courier is expected to know every change that the agent has, also
 * those from while no process ran, and the list that it starts with lacks them. With a list, it waits only briefly for
 * a silent agent, unless a list is being received. Without a list, it waits longer, as it could not deliver anything.
 */
final class ListStartupGate {
    /**
     * How long to wait for the agent's first response if there is a list. A slow agent may have changes that the
     * courier is already expected to know; one that is silent for longer is down and has none.
     */
    static final int FIRST_RESPONSE_MS = 4500;
    /** A courier without endpoints should not become ready, but after a restart it must be ready within 10 s. */
    private static final int MAX_WAIT_MS = 8000;

    private final IntSupplier endpointCount;
    private final BooleanSupplier receiving;
    /** The task that waits for the list; null once it has been run, or if there is none. */
    private Runnable pendingStart;

    private boolean firstResponseOverdue;
    /** The agent has sent a list or reported that it is unchanged, perhaps before the start waits for it. */
    private boolean listReceived;

    /** {@code endpointCount}: number of listed endpoints. {@code receiving}: true while a list is being received. */
    ListStartupGate(final IntSupplier endpointCount, final BooleanSupplier receiving) {
        this.endpointCount = endpointCount;
        this.receiving = receiving;
    }

    /** Runs a task once, as soon as there is no reason to wait. */
    void runWhenReady(final Runnable task, final EventLoop loop) {
        if (listReceived) {
            task.run();
            return;
        }
        pendingStart = task;
        loop.schedule(
                () -> {
                    firstResponseOverdue = true;
                    startIfListed();
                },
                FIRST_RESPONSE_MS,
                TimeUnit.MILLISECONDS);
        loop.schedule(this::startAtLatest, MAX_WAIT_MS, TimeUnit.MILLISECONDS);
    }

    /** A list from the agent has been applied, or the agent has reported that nothing has changed. */
    void listReceived() {
        listReceived = true;
        start();
    }

    private void start() {
        final Runnable task = pendingStart;
        pendingStart = null;
        if (task != null) {
            task.run();
        }
    }

    /** A watch has ended; {@code invalid}: its list cannot be used. */
    void watchEnded(final boolean invalid) {
        if (firstResponseOverdue || invalid) {
            startIfListed();
        }
    }

    private void startIfListed() {
        if (endpointCount.getAsInt() > 0 && !receiving.getAsBoolean()) {
            start();
        }
    }

    private void startAtLatest() {
        if (pendingStart != null) {
            Log.info("starts with " + endpointCount.getAsInt() + " endpoints: no list was received in " + MAX_WAIT_MS
                    + " ms, "
                    + (receiving.getAsBoolean() ? "one is still being received" : "discovery has not sent one"));
            start();
        }
    }
}
