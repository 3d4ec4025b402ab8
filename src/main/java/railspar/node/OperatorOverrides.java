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
 * Stores which endpoints operators have disabled, in the state folder, which outlasts the process. Each endpoint has an
 * empty file, so that two processes of one courier can both write without a lock. The file of an endpoint that was
 * enabled again is kept for as long as the endpoint may be cold; its modification time is the time of the enabling.
 */
final class OperatorOverrides {
    /** Replaces the time of enabling for an endpoint that is disabled. */
    static final long DISABLED = Long.MAX_VALUE;

    private static final String FOLDER = "out";
    private static final String DISABLED_PREFIX = "out-";
    private static final String ENABLED_PREFIX = "back-";

    private final Path folder;
    private final long coldUs;

    OperatorOverrides(final Path state, final long coldUs) {
        this.folder = state.resolve(FOLDER);
        this.coldUs = coldUs;
    }

    /** Disables an endpoint; the file exists when this returns. */
    void disable(final String host) throws IOException {
        Files.createDirectories(folder);
        final Path disabledFile = file(DISABLED_PREFIX, host);
        if (!Files.exists(disabledFile)) {
            Files.write(disabledFile, new byte[0]);
        }
        Files.deleteIfExists(file(ENABLED_PREFIX, host));
    }

    /** Enables an endpoint again; has no effect if the endpoint was not disabled. */
    void enable(final String host, final long persistentUs) throws IOException {
        final Path disabledFile = file(DISABLED_PREFIX, host);
        try {
            Files.setLastModifiedTime(disabledFile, FileTime.from(persistentUs, TimeUnit.MICROSECONDS));
            Files.move(disabledFile, file(ENABLED_PREFIX, host), StandardCopyOption.ATOMIC_MOVE);
        } catch (final NoSuchFileException e) {
            Log.info(host + " was not out by hand");
        }
    }

    private Path file(final String prefix, final String host) {
        return folder.resolve(prefix + URLEncoder.encode(host, StandardCharsets.UTF_8));
    }

    /**
     * The disabled endpoints, and those enabled again that may still be cold, with the persistent time of the enabling.
     */
    Map<String, Long> read(final long persistentUs) throws IOException {
        final Map<String, Long> overrides = new HashMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (final Path file : files) {
                read(file, persistentUs, overrides);
            }
        } catch (final NoSuchFileException e) {
            // No endpoint has been disabled yet.
            return Map.of();
        } catch (final DirectoryIteratorException e) {
            throw e.getCause();
        }
        return overrides;
    }

    private void read(final Path file, final long persistentUs, final Map<String, Long> overrides) throws IOException {
        final String name = file.getFileName().toString();
        if (name.startsWith(DISABLED_PREFIX)) {
            overrides.put(host(name, DISABLED_PREFIX), DISABLED);
        } else if (name.startsWith(ENABLED_PREFIX)) {
            final long enabledUs = enabledUs(file);
            if (persistentUs - enabledUs > coldUs) {
                Files.deleteIfExists(file);
            } else {
                overrides.putIfAbsent(host(name, ENABLED_PREFIX), enabledUs);
            }
        }
    }

    /** When the endpoint was enabled again; 0 if the other process has deleted the file meanwhile. */
    private static long enabledUs(final Path file) throws IOException {
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
