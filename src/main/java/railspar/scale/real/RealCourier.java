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
 * One real courier in a separate process, with its folders. It can be killed and started again on the same folders.
 * {@link #close} ends the process.
 */
public final class RealCourier implements AutoCloseable {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final Duration KILL_TIMEOUT = Duration.ofSeconds(20);
    private static final int HTTP_TIMEOUT_MS = 1000;
    private static final int HTTP_OK = 200;

    private final String command;
    private final Path projectRoot;
    private final Path folder;
    private final CourierConfiguration configuration;
    private final ManagementClient management;
    /** Ends the process also when this program is terminated from outside. */
    private final Thread shutdownHook = new Thread(this::destroy, "end courier");

    private volatile Process process;
    private long startedNs;
    /** Size of the log in bytes when the process was started. */
    private long logStartBytes;

    /**
     * Creates a courier that is not started yet.
     *
     * @param command the shell command that starts the courier, from the deploy file
     * @param projectRoot the working directory of the command
     * @param folder a folder for the configuration, the state and the log of this courier alone
     * @param configuration its configuration
     */
    public RealCourier(
            final String command, final Path projectRoot, final Path folder, final CourierConfiguration configuration) {
        this.command = command;
        this.projectRoot = projectRoot;
        this.folder = folder;
        this.configuration = configuration;
        this.management = new ManagementClient(configuration.management());
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /** Starts the process on the state that an earlier process left, if there was one. */
    public void start() throws IOException {
        if (isAlive()) {
            throw new IllegalStateException(configuration.name() + " is already running");
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
        logStartBytes = Files.exists(logFile()) ? Files.size(logFile()) : 0;
        startedNs = System.nanoTime();
        process = builder.start();
    }

    /**
     * Waits until the courier answers {@code GET /up} with 200. Returns how long that took since its start, or empty if
     * it did not in time.
     */
    public Optional<Duration> awaitReady(final Duration timeout) throws IOException {
        return awaitSinceStart(timeout, this::isReady);
    }

    /**
     * Waits until the courier has exactly this number of endpoints in its list. Returns how long that took since its
     * start, or empty if it did not in time.
     */
    public Optional<Duration> awaitDiscovered(final long endpoints, final Duration timeout) throws IOException {
        return awaitSinceStart(timeout, () -> hasDiscovered(endpoints));
    }

    /** Waits until the log reports that this version of the list is applied; returns false if it does not in time. */
    public boolean awaitListVersion(final long version, final Duration timeout) throws IOException {
        final String expectedText = "the list at " + version + ":";
        final long deadlineNs = System.nanoTime() + timeout.toNanos();
        while (logSinceStart().stream().noneMatch(line -> line.contains(expectedText))) {
            if (System.nanoTime() >= deadlineNs || !isAlive()) {
                return false;
            }
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
        return true;
    }

    private interface Condition {
        boolean holds() throws IOException;
    }

    private Optional<Duration> awaitSinceStart(final Duration timeout, final Condition condition) throws IOException {
        final long deadlineNs = startedNs + timeout.toNanos();
        while (System.nanoTime() < deadlineNs && isAlive()) {
            if (condition.holds()) {
                return Optional.of(Duration.ofNanos(System.nanoTime() - startedNs));
            }
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
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
            // It does not listen yet or does not answer.
            return false;
        }
    }

    private boolean hasDiscovered(final long endpoints) {
        try {
            return management.discovered() == endpoints;
        } catch (final IOException e) {
            // It does not listen yet or does not answer.
            return false;
        }
    }

    /** Figures that the kernel reports of the process now. */
    public ProcessSample sample() throws IOException {
        return ProcessSample.of(process.pid());
    }

    /** True while its process runs. */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Ends the process with SIGKILL and waits until it has exited. */
    public void kill() throws IOException {
        if (process == null) {
            return;
        }
        process.destroyForcibly();
        try {
            if (!process.waitFor(KILL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new IOException(configuration.name() + " did not exit in time after SIGKILL");
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for the exit of " + configuration.name(), e);
        }
    }

    /** A client of its management address. */
    public ManagementClient management() {
        return management;
    }

    /** The address for clients. */
    public InetSocketAddress address() {
        return configuration.listen();
    }

    /** The lines that the process has logged since it was last started. */
    public List<String> logSinceStart() throws IOException {
        final byte[] log = Files.readAllBytes(logFile());
        return new String(log, (int) logStartBytes, log.length - (int) logStartBytes, StandardCharsets.UTF_8)
                .lines()
                .toList();
    }

    /** The file that receives its standard output and standard error. */
    public Path logFile() {
        return folder.resolve("log.txt");
    }

    /** The size of all files in its state folder in bytes. */
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
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}
