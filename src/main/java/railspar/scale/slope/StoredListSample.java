package railspar.scale.slope;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import railspar.list.ListStore;
import railspar.list.TableUpdate;

/** An endpoint list with its stored copy in a temporary folder, which {@link #close} deletes. */
final class StoredListSample implements AutoCloseable {
    private static final long FINGERPRINT = 1;
    private static final long MAX_BYTES = 1L << 30;

    private final Path folder;
    private final ListStore store;
    private final ListTable list;

    /** Stores a copy of the sample list of this many destinations. */
    StoredListSample(final int destinations) {
        try {
            folder = Files.createTempDirectory("stored-list");
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
        store = newStore();
        list = new ListTable(new StoredChanges());
        store.takeOwnership(list.table());
        change(ListSample.wholeListBytes(destinations));
    }

    private ListStore newStore() {
        return new ListStore(folder, FINGERPRINT, MAX_BYTES, message -> {});
    }

    /** Rewrites the whole copy, as the first process in a folder does. */
    void writeAll() {
        final ListStore fresh = newStore();
        fresh.takeOwnership(list.table());
        fresh.commit(list.table());
        while (fresh.isWriting()) {
            fresh.writeSlice(list.table());
        }
        fresh.releaseOwnership();
    }

    /** Reads a list from bytes of the watch, and appends its changes to the copy or rewrites the copy. */
    void change(final byte[] line) {
        list.feed(line);
        store.commit(list.table());
        writeAllSlices();
    }

    private void writeAllSlices() {
        while (store.isWriting()) {
            store.writeSlice(list.table());
        }
    }

    /** Loads the copy as a start does; returns the number of its endpoints. */
    int load() {
        return newStore().load(0).size();
    }

    /** Size of the copy in bytes. */
    long bytes() {
        long bytes = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (final Path file : files) {
                bytes += Files.size(file);
            }
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes;
    }

    @Override
    public void close() {
        store.releaseOwnership();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (final Path file : files) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Passes the changes of a list to the store, as {@code Discovery} does. */
    private final class StoredChanges extends ListTable.IgnoredChanges {
        @Override
        public void onEntry(final long endpoint, final TableUpdate.Change change) {
            if (change != TableUpdate.Change.SAME && change != TableUpdate.Change.GONE) {
                store.put(list.table(), endpoint);
            }
        }

        @Override
        public void onRemoved(final long endpoint) {
            store.remove(list.table(), endpoint);
        }
    }
}
