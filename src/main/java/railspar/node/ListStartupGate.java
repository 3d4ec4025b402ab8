package railspar.node;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * Delays what depends on the list until that is up to date. The courier is expected to know every change that the agent
 * has, also those from while no process ran, and the list that it starts with lacks them. With a list, it waits only
 * briefly for a silent agent, unless a list is being received. Without a list, it waits longer, as it could not deliver
 * anything. The wait begins with the first watch, whether or not anything depends on the list by then.
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
    /** The tasks that wait for the list. */
    private final List<Runnable> pending = new ArrayList<>();

    private boolean firstResponseOverdue;
    /** There is nothing left to wait for. */
    private boolean open;

    /** {@code endpointCount}: number of listed endpoints. {@code receiving}: true while a list is being received. */
    ListStartupGate(final IntSupplier endpointCount, final BooleanSupplier receiving) {
        this.endpointCount = endpointCount;
        this.receiving = receiving;
    }

    /** Starts to wait for the list, together with the first watch. */
    void startWaiting(final EventLoop loop) {
        loop.schedule(
                () -> {
                    firstResponseOverdue = true;
                    openIfListed();
                },
                FIRST_RESPONSE_MS,
                TimeUnit.MILLISECONDS);
        loop.schedule(() -> stopWaiting(MAX_WAIT_MS), MAX_WAIT_MS, TimeUnit.MILLISECONDS);
    }

    /** Runs a task once, as soon as there is no reason to wait. */
    void runWhenReady(final Runnable task) {
        if (open) {
            task.run();
        } else {
            pending.add(task);
        }
    }

    /** A list from the agent has been applied, or the agent has reported that nothing has changed. */
    void listReceived() {
        open();
    }

    /** Gives up waiting after that time, whatever is known. */
    void stopWaiting(final int waitedMs) {
        if (!open) {
            Log.info("starts with " + endpointCount.getAsInt() + " endpoints: no list was received in " + waitedMs
                    + " ms, "
                    + (receiving.getAsBoolean() ? "one is still being received" : "discovery has not sent one"));
            open();
        }
    }

    /** A watch has ended; {@code invalid}: its list cannot be used. */
    void watchEnded(final boolean invalid) {
        if (firstResponseOverdue || invalid) {
            openIfListed();
        }
    }

    private void openIfListed() {
        if (endpointCount.getAsInt() > 0 && !receiving.getAsBoolean()) {
            open();
        }
    }

    private void open() {
        open = true;
        final List<Runnable> ready = List.copyOf(pending);
        pending.clear();
        ready.forEach(Runnable::run);
    }
}
