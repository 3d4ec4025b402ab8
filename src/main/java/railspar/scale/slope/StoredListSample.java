package railspar.scale.slope;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import railspar.list.ListStore;
import railspar.list.TableUpdate;

/** A list with its copy in a folder, which goes when it is closed. */
final class StoredListSample implements AutoCloseable {
    private static final long FINGERPRINT = 1;
    private static final long ROOM_BYTES = 1L << 30;

    private final Path folder;
    private final ListStore store;
    private final ListTable list;

    /** With a copy of the list of so many destinations. */
    StoredListSample(final int destinations) {
        try {
            folder = Files.createTempDirectory("stored-list");
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
        store = newStore();
        list = new ListTable(new KeptChanges());
        store.takeOwnership(list.table());
        change(ListSample.wholeListBytes(destinations));
    }

    private ListStore newStore() {
        return new ListStore(folder, FINGERPRINT, ROOM_BYTES, message -> {});
    }

    /** Writes the whole copy anew, as the first process in a folder does. */
    void writeAll() {
        final ListStore fresh = newStore();
        fresh.takeOwnership(list.table());
        fresh.commit(list.table());
        while (fresh.isWriting()) {
            fresh.writeSlice(list.table());
        }
        fresh.releaseOwnership();
    }

    /** Takes a list from the watch's bytes and appends what it changes to the copy, or writes the copy anew. */
    void change(final byte[] line) {
        list.feed(line);
        store.commit(list.table());
        writeBase();
    }

    private void writeBase() {
        while (store.isWriting()) {
            store.writeSlice(list.table());
        }
    }

    /** Reads the copy as a start does; the result counts its endpoints. */
    int load() {
        return newStore().load(0).size();
    }

    /** Bytes of the copy. */
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

    /** Gives the store what a list changes, as {@code Discovery} does. */
    private final class KeptChanges extends ListTable.IgnoredChanges {
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
