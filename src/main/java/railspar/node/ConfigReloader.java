package railspar.node;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Reads the configuration file again on request. Requests may come from several threads at once; the file is read by
 * one of them at a time, and once more if a request came during a read. So the configuration that is applied last was
 * read after the last request.
 */
final class ConfigReloader {
    /** Reads are retried for 3.5 s, because a new configuration counts as received 4 s after its signal. */
    private static final int MAX_TRIES = 35;

    private static final long RETRY_DELAY_MS = 100;

    /** Reads the configuration from its file. */
    interface Source {
        /** Returns the configuration that the file holds now. */
        Config read() throws Config.BadConfigException;
    }

    private final Source source;
    private final Consumer<Config> target;
    private long requests;
    private int triesLeft;
    private boolean reading;

    /** {@code target} receives each configuration that was read, in the order of the reads. */
    ConfigReloader(final Source source, final Consumer<Config> target) {
        this.source = source;
        this.target = target;
    }

    /**
     * Reads the file and passes the configuration on. Returns at once if another thread is reading: that one reads
     * again. A file that cannot be read changes nothing; it is read again for a while, because it may be being written
     * or its folder may be failing.
     */
    void reload() {
        if (!request()) {
            return;
        }
        boolean again = true;
        while (again) {
            again = readOnce();
        }
    }

    /** Notes a request; false if another thread serves it. */
    private synchronized boolean request() {
        requests++;
        triesLeft = MAX_TRIES;
        if (reading) {
            return false;
        }
        reading = true;
        return true;
    }

    /** Returns true if the file has to be read once more. */
    private boolean readOnce() {
        final long requestsBefore = requestCount();
        try {
            target.accept(source.read());
        } catch (final Config.BadConfigException e) {
            return retry(e);
        } catch (final RuntimeException e) {
            Log.failure("reload: the configuration could not be applied", e);
        }
        return !isLast(requestsBefore);
    }

    private boolean retry(final Config.BadConfigException cause) {
        if (isFirstTry()) {
            Log.info("reload: kept what was known before: " + cause.getMessage());
        }
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MS));
        return useTry();
    }

    private synchronized long requestCount() {
        return requests;
    }

    private synchronized boolean isFirstTry() {
        return triesLeft == MAX_TRIES;
    }

    private synchronized boolean useTry() {
        triesLeft--;
        reading = triesLeft > 0;
        return reading;
    }

    /** Ends the reading if no request has come since; false otherwise. */
    private synchronized boolean isLast(final long requestsBefore) {
        reading = requests != requestsBefore;
        return !reading;
    }
}
