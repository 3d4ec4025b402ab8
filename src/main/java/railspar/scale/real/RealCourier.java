package railspar.scale.real;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

/**
 * One real courier as a process of its own, with its folders. It can be killed and started again on the same folder.
 * The process ends with {@link #close}.
 */
public final class RealCourier implements AutoCloseable {
    private static final Duration POLL = Duration.ofMillis(20);
    private static final Duration KILL_TIMEOUT = Duration.ofSeconds(20);
    private static final int HTTP_TIMEOUT_MS = 1000;
    private static final int HTTP_OK = 200;

    private final String command;
    private final Path projectRoot;
    private final Path folder;
    private final CourierConfiguration configuration;
    private final ManagementClient management;
    /** Ends the process also where this program is ended from outside. */
    private final Thread endWithProgram = new Thread(this::destroy, "end courier");

    private volatile Process process;
    private long startedNs;
    /** Size of the log when the process was started. */
    private long logStart;

    /**
     * A courier that is not started yet.
     *
     * @param command the shell command that becomes the courier, from the deploy file
     * @param projectRoot where the command is run
     * @param folder an own folder for its configuration, its state and its log
     * @param configuration what it is told
     */
    public RealCourier(
            final String command, final Path projectRoot, final Path folder, final CourierConfiguration configuration) {
        this.command = command;
        this.projectRoot = projectRoot;
        this.folder = folder;
        this.configuration = configuration;
        this.management = new ManagementClient(configuration.management());
        Runtime.getRuntime().addShutdownHook(endWithProgram);
    }

    /** Starts the process; the state of one before it, if there was any, is found again. */
    public void start() throws IOException {
        if (isAlive()) {
            throw new IllegalStateException(configuration.name() + " runs already");
        }
        Files.createDirectories(stateFolder());
        Files.createDirectories(temporaryFolder());
        configuration.writeTo(configurationFile());
        final ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command)
                .directory(projectRoot.toFile())
                .redirectErrorStream(true)
                .redirectInput(new File("/dev/null"))
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
        builder.environment().put("PROXY_NAME", configuration.name());
        builder.environment().put("PROXY_LISTEN", CourierConfiguration.text(configuration.listen()));
        builder.environment().put("PROXY_MGMT", CourierConfiguration.text(configuration.management()));
        builder.environment().put("PROXY_DISCOVERY", CourierConfiguration.text(configuration.discovery()));
        builder.environment().put("PROXY_STATE", stateFolder().toString());
        builder.environment().put("PROXY_CONFIG", configurationFile().toString());
        builder.environment().put("TMPDIR", temporaryFolder().toString());
        logStart = Files.exists(logFile()) ? Files.size(logFile()) : 0;
        startedNs = System.nanoTime();
        process = builder.start();
    }

    /** Waits until the courier answers {@code GET /up} with 200; how long that took since its start, if it did. */
    public Optional<Duration> awaitReady(final Duration most) throws IOException {
        return awaitSinceStart(most, this::isReady);
    }

    /** Waits until so many endpoints are in force; how long that took since its start, if they came. */
    public Optional<Duration> awaitDiscovered(final long endpoints, final Duration most) throws IOException {
        return awaitSinceStart(most, () -> hasDiscovered(endpoints));
    }

    /** Waits until the log says that this version of the list was applied; false if it did not in time. */
    public boolean awaitListVersion(final long version, final Duration most) throws IOException {
        final String words = "the list at " + version + ":";
        final long endNs = System.nanoTime() + most.toNanos();
        while (logSinceStart().stream().noneMatch(line -> line.contains(words))) {
            if (System.nanoTime() >= endNs || !isAlive()) {
                return false;
            }
            LockSupport.parkNanos(POLL.toNanos());
        }
        return true;
    }

    private interface Condition {
        boolean holds() throws IOException;
    }

    private Optional<Duration> awaitSinceStart(final Duration most, final Condition condition) throws IOException {
        final long endNs = startedNs + most.toNanos();
        while (System.nanoTime() < endNs && isAlive()) {
            if (condition.holds()) {
                return Optional.of(Duration.ofNanos(System.nanoTime() - startedNs));
            }
            LockSupport.parkNanos(POLL.toNanos());
        }
        return Optional.empty();
    }

    private boolean isReady() {
        try {
            final URI up = URI.create("http://" + CourierConfiguration.text(configuration.listen()) + "/up");
            final HttpURLConnection connection = (HttpURLConnection) up.toURL().openConnection();
            connection.setConnectTimeout(HTTP_TIMEOUT_MS);
            connection.setReadTimeout(HTTP_TIMEOUT_MS);
            connection.setRequestProperty("Connection", "close");
            return connection.getResponseCode() == HTTP_OK;
        } catch (final IOException e) {
            // Not listening yet, or silent.
            return false;
        }
    }

    private boolean hasDiscovered(final long endpoints) {
        try {
            return management.discovered() == endpoints;
        } catch (final IOException e) {
            // Not listening yet, or silent.
            return false;
        }
    }

    /** What the kernel says of the process now. */
    public ProcessSample sample() throws IOException {
        return ProcessSample.of(process.pid());
    }

    /** True while its process runs. */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Ends the process with SIGKILL, and returns once it is gone. */
    public void kill() throws IOException {
        if (process == null) {
            return;
        }
        process.destroyForcibly();
        try {
            if (!process.waitFor(KILL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new IOException(configuration.name() + " did not end after SIGKILL");
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while " + configuration.name() + " was ended", e);
        }
    }

    /** Its second address. */
    public ManagementClient management() {
        return management;
    }

    /** Where clients connect. */
    public InetSocketAddress address() {
        return configuration.listen();
    }

    /** What the process has logged since it was started. */
    public List<String> logSinceStart() throws IOException {
        final byte[] log = Files.readAllBytes(logFile());
        return new String(log, (int) logStart, log.length - (int) logStart, StandardCharsets.UTF_8)
                .lines()
                .toList();
    }

    /** The file that takes all that it writes to standard output and error. */
    public Path logFile() {
        return folder.resolve("log.txt");
    }

    /** Bytes in the folder that lasts. */
    public long stateBytes() throws IOException {
        try (Stream<Path> files = Files.walk(stateFolder())) {
            return files.filter(Files::isRegularFile)
                    .mapToLong(file -> file.toFile().length())
                    .sum();
        }
    }

    private Path stateFolder() {
        return folder.resolve("state");
    }

    private Path temporaryFolder() {
        return folder.resolve("tmp");
    }

    private Path configurationFile() {
        return folder.resolve("config.json");
    }

    private void destroy() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    @Override
    public void close() throws IOException {
        kill();
        Runtime.getRuntime().removeShutdownHook(endWithProgram);
    }
}
