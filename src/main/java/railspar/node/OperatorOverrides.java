package railspar.node;

import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The endpoints that operators have disabled, in the folder that outlasts the process: an empty file for each, so
 * that two processes of one courier can both write without a lock. The file of one that was enabled again is kept
 * for as long as the endpoint may be cold; the file's modification time says since when.
 */
final class OperatorOverrides {
    /** In place of a time: the endpoint is disabled. */
    static final long DISABLED = Long.MAX_VALUE;

    private static final String FOLDER = "out";
    private static final String OUT_PREFIX = "out-";
    private static final String BACK_PREFIX = "back-";

    private final Path folder;
    private final long coldUs;

    OperatorOverrides(final Path state, final long coldUs) {
        this.folder = state.resolve(FOLDER);
        this.coldUs = coldUs;
    }

    /** Disables an endpoint; the file exists when this returns. */
    void disable(final String host) throws IOException {
        Files.createDirectories(folder);
        final Path mark = file(OUT_PREFIX, host);
        if (!Files.exists(mark)) {
            Files.write(mark, new byte[0]);
        }
        Files.deleteIfExists(file(BACK_PREFIX, host));
    }

    /** Enables an endpoint again; nothing happens if it was not disabled. */
    void enable(final String host, final long persistentUs) throws IOException {
        final Path mark = file(OUT_PREFIX, host);
        try {
            Files.setLastModifiedTime(mark, FileTime.from(persistentUs, TimeUnit.MICROSECONDS));
            Files.move(mark, file(BACK_PREFIX, host), StandardCopyOption.ATOMIC_MOVE);
        } catch (final NoSuchFileException e) {
            Log.info(host + " was not out by hand");
        }
    }

    private Path file(final String prefix, final String host) {
        return folder.resolve(prefix + URLEncoder.encode(host, StandardCharsets.UTF_8));
    }

    /**
     * The disabled endpoints, and those enabled again that may still be cold, with the persistent time since when.
     */
    Map<String, Long> read(final long persistentUs) throws IOException {
        final Map<String, Long> marks = new HashMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (final Path file : files) {
                read(file, persistentUs, marks);
            }
        } catch (final NoSuchFileException e) {
            // Nobody has taken anything out yet.
            return Map.of();
        } catch (final DirectoryIteratorException e) {
            throw e.getCause();
        }
        return marks;
    }

    private void read(final Path file, final long persistentUs, final Map<String, Long> into) throws IOException {
        final String name = file.getFileName().toString();
        if (name.startsWith(OUT_PREFIX)) {
            into.put(host(name, OUT_PREFIX), DISABLED);
        } else if (name.startsWith(BACK_PREFIX)) {
            final long backUs = backUs(file);
            if (persistentUs - backUs > coldUs) {
                Files.deleteIfExists(file);
            } else {
                into.putIfAbsent(host(name, BACK_PREFIX), backUs);
            }
        }
    }

    /** When it was put back; long ago if the other process has removed the file meanwhile. */
    private static long backUs(final Path file) throws IOException {
        try {
            return Files.getLastModifiedTime(file).to(TimeUnit.MICROSECONDS);
        } catch (final NoSuchFileException e) {
            return 0;
        }
    }

    private static String host(final String name, final String prefix) {
        return URLDecoder.decode(name.substring(prefix.length()), StandardCharsets.UTF_8);
    }
}
