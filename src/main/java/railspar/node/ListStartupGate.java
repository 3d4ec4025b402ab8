package railspar.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * What a start waits for. Whatever the agent has counts as told, also where it came while no process ran, and the
 * copy that this courier begins with does not have it. With a list in force a silent agent is not waited for long,
 * unless it is in the middle of telling; with none it is, as there is nobody to serve.
 */
final class ListStartupGate {
    /**
     * How long the agent's first word is waited for where a list is in force. A slow agent has news that count as
     * told already; one that is silent for longer is down, and has none.
     */
    static final int FIRST_RESPONSE_MS = 4500;
    /** A courier that is ready serves somebody, but a restarted one must be ready within 10 s. */
    private static final int MOST_MS = 8000;

    private final IntSupplier listed;
    private final BooleanSupplier receiving;
    /** What waits for the agent's first word; null once that has come, or nothing waits. */
    private Runnable waiting;

    private boolean firstWordLate;
    /** The agent has told its list, perhaps before anybody waited for that. */
    private boolean listReceived;

    /** {@code listed}: endpoints in the list in force. {@code receiving}: a list has begun and not ended. */
    ListStartupGate(final IntSupplier listed, final BooleanSupplier receiving) {
        this.listed = listed;
        this.receiving = receiving;
    }

    /** Runs it once, as soon as there is nothing to wait for. */
    void runWhenReady(final Runnable begin, final EventLoop loop) {
        if (listReceived) {
            begin.run();
            return;
        }
        waiting = begin;
        loop.schedule(
                () -> {
                    firstWordLate = true;
                    beginIfListed();
                },
                FIRST_RESPONSE_MS,
                TimeUnit.MILLISECONDS);
        loop.schedule(this::beginAnyway, MOST_MS, TimeUnit.MILLISECONDS);
    }

    /** The agent has told a list that is in force, or that nothing has changed. */
    void listReceived() {
        listReceived = true;
        begin();
    }

    private void begin() {
        final Runnable begin = waiting;
        waiting = null;
        if (begin != null) {
            begin.run();
        }
    }

    /** A watch has ended; {@code spoilt}: what it told cannot be used. */
    void watchEnded(final boolean spoilt) {
        if (firstWordLate || spoilt) {
            beginIfListed();
        }
    }

    private void beginIfListed() {
        if (listed.getAsInt() > 0 && !receiving.getAsBoolean()) {
            begin();
        }
    }

    private void beginAnyway() {
        if (waiting != null) {
            Log.info("starts with " + listed.getAsInt() + " endpoints: no list has come in " + MOST_MS + " ms, "
                    + (receiving.getAsBoolean() ? "one is still coming" : "discovery tells none"));
            begin();
        }
    }
}
