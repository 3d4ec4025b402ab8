package railspar.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs a real courier as a separate process, between a fake platform and fake endpoints. */
final class CourierProcessFixture implements AutoCloseable {
    static final long TIMEOUT_S = 20;
    /** The deduplication window of the class "brief". */
    static final long BRIEF_WINDOW_MS = 300;
    /** A status line; it may be truncated after the status code. */
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3})");

    private static final String CLASSES = """
            [{"name":"safe","effect":"pure","target":5000000,"deadline":20000000,"points":1.0},
             {"name":"keyed","effect":"token","group":"all","dedup_window":10000000,
               "target":5000000,"deadline":20000000},
             {"name":"brief","effect":"token","group":"all","dedup_window":300000,"target":5000000,"deadline":20000000},
             {"name":"once","effect":"side_effect","target":5000000,"deadline":20000000},
             {"name":"turn","effect":"side_effect","in_turn":true,"target":5000000,"deadline":20000000}]""";

    /** The response to a client. */
    record Answer(int status, String head) {}

    /** The notices that the platform received, a line each. */
    final List<String> notices = new CopyOnWriteArrayList<>();

    final List<FakeServer.Connection> watches = new CopyOnWriteArrayList<>();
    final FakeServer platform;
    final FakeServer first = new FakeServer((request, connection) -> connection.accept(request));
    final FakeServer second = new FakeServer((request, connection) -> connection.accept(request));
    final List<String> log = new CopyOnWriteArrayList<>();
    volatile int noticeStatus = 204;
    int maxOpen = 50;
    int diskMb = 3;
    int sockets = 1024;
    /** The JVM option for the size of the heap. */
    String heap = "-Xmx64m";
    /** The JVM option for the size of direct buffers. */
    String directMemory = "-XX:MaxDirectMemorySize=16m";

    String discovery = "on_request";
    String fleetSetting = "\"balancers\":1";
    /** Whether each watch begins with an unreadable line. */
    boolean startWatchesWithInvalidLine;
    /** The first line of each watch: list changes since the last one, or empty for a discovery that sends nothing. */
    volatile String firstWatchLine = "\n";
    /** A shell command to run before the program. */
    String shellPrefix = "";
    /** Whether the courier listens on an operators' address. */
    boolean hasOperatorAddress;

    /** The fault page of its processes, or null. */
    FaultPage faults;

    long connectTimeoutUs = 1_000_000;
    String extraSetting = "\"unheard_of\":[{\"x\":1}]";
    /** The list entries in the configuration. */
    String hosts;

    private final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private Process process;
    private int port;
    private int mgmtPort;

    CourierProcessFixture(final Path folder) throws IOException {
        this.folder = folder;
        this.platform = new FakeServer(this::answerPlatformRequest);
        this.hosts = hostEntry("e1", first, "Ready");
    }

    void answerPlatformRequest(final FakeServer.Request request, final FakeServer.Connection connection) {
        if (request.line().startsWith("POST")) {
            notices.addAll(request.text().lines().toList());
            connection.answer(noticeStatus, "");
        } else {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            final String firstLine = startWatchesWithInvalidLine ? "{\"seq\":42,\"hosts\":[{\"ho\n" : firstWatchLine;
            if (!firstLine.isEmpty()) {
                connection.chunk(firstLine);
            }
            watches.add(connection);
        }
    }

    static String hostEntry(final String name, final FakeServer at, final String health) {
        return hostEntry(name, at.address(), health);
    }

    static String hostEntry(final String name, final String address, final String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + address + "\",\"site\":\"a\",\"class\":\"std\",\"block\":7,"
                + "\"health\":\"" + health + "\",\"share\":100.0,\"born_ms\":0}";
    }

    /** Sends a change of the list over the newest watch. */
    void sendListChange(final long seq, final String host) {
        watches.get(watches.size() - 1).chunk(listLine(seq, host));
    }

    static String listLine(final long seq, final String host) {
        return "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + host + "]}\n";
    }

    /** Starts the courier and waits until it is ready. */
    CourierProcessFixture start() throws IOException {
        final int logStart = log.size();
        launch();
        awaitReady(logStart);
        awaitMgmt(logStart);
        return this;
    }

    private void awaitMgmt(final int logStart) {
        if (hasOperatorAddress) {
            await("the operators' address", () -> portIn("operators call at", logStart) > 0);
            mgmtPort = portIn("operators call at", logStart);
        }
    }

    private void awaitReady(final int logStart) {
        await("ready", () -> portIn("is ready at", logStart) > 0);
        port = portIn("is ready at", logStart);
    }

    /** Starts a successor process on the same folder; returns the old process. */
    Process startSuccessor() throws IOException {
        final Process old = process;
        final int logStart = log.size();
        launch();
        await(
                "the successor to wait for its handover",
                () -> log.stream().skip(logStart).anyMatch(line -> line.contains("stands by")));
        awaitMgmt(logStart);
        return old;
    }

    /** Ends the old process with SIGTERM or SIGKILL and waits until its successor serves. */
    void endOldProcess(final Process old, final boolean kill) {
        final int logStart = log.size();
        if (kill) {
            old.destroyForcibly();
        } else {
            old.destroy();
        }
        awaitReady(logStart);
    }

    /** The port at the end of the first log line that contains the words, or 0. */
    private int portIn(final String words, final int from) {
        return log.stream()
                .skip(from)
                .filter(line -> line.contains(words))
                .findFirst()
                .map(line -> Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)))
                .orElse(0);
    }

    /** Sends an operator's command; returns everything that is answered until the connection ends. */
    String operatorCommand(final String line) throws IOException {
        return operatorCommand(mgmtPort, line);
    }

    /** The port of the newest process for operators. */
    int operatorPort() {
        return mgmtPort;
    }

    /** Sends an operator's command to that port. */
    String operatorCommand(final int operatorPort, final String line) throws IOException {
        try (Socket socket = connectToOperatorServer(operatorPort)) {
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Opens a connection to the operators' address. */
    Socket connectToOperatorServer() throws IOException {
        return connectToOperatorServer(mgmtPort);
    }

    private static Socket connectToOperatorServer(final int operatorPort) throws IOException {
        final Socket socket = new Socket("127.0.0.1", operatorPort);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
        return socket;
    }

    /** The value of a metric, or -1. */
    long metric(final String name) throws IOException {
        return operatorCommand("DUMP")
                .lines()
                .filter(line -> line.startsWith("edge_proxy." + name + "="))
                .findFirst()
                .map(line -> Long.parseLong(line.substring(line.indexOf('=') + 1)))
                .orElse(-1L);
    }

    /** Writes the configuration file, with the address of that platform. */
    Path writeConfig(final FakeServer at) throws IOException {
        final Path config = folder.resolve("config.json");
        Files.writeString(config, """
                {"name":"n0","listen":"127.0.0.1:0",%s"discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":%d,"disk_mb":%d},
                 "known":{"seq":41,"whole":true,"hosts":[%s]},
                 "settings":{%s,"my_zone":"a","discovery":"%s","weights":"nominal",
                  "classes":%s,"flavors":["std"],"extra":{"calls_out":12,"per_call":[5],"routes_apart":[false]},
                  "guarantees":{"must_ask_in":10000000,"cold_from":0.5,"cold":1000000,"tip_multiple":2.0},
                  "limits":{"max_open":%d,"most_tries":8,"cancel":true,"idle_close":10000000,"retry_after":true,
                   "connect_timeout":%d,"max_retry_after":2000000},%s}}""".formatted(
                        hasOperatorAddress ? "\"mgmt\":\"127.0.0.1:0\"," : "",
                        at.address(),
                        sockets,
                        diskMb,
                        hosts,
                        fleetSetting,
                        discovery,
                        CLASSES,
                        maxOpen,
                        connectTimeoutUs,
                        extraSetting));
        return config;
    }

    /** The configuration as a process of this fixture reads it. */
    Config config() throws IOException, Config.BadConfigException {
        return Config.read(java.util.Map.of(
                "PROXY_CONFIG",
                writeConfig(platform).toString(),
                "PROXY_STATE",
                folder.resolve("state").toString()));
    }

    /** Replaces the configuration and sends SIGHUP. */
    void reload(final FakeServer at) throws IOException, InterruptedException {
        writeConfig(at);
        sendSighup();
    }

    /** Replaces the configuration by an unreadable file and sends SIGHUP. */
    void reloadTruncatedConfig() throws IOException, InterruptedException {
        Files.writeString(folder.resolve("config.json"), "{\"name\":");
        sendSighup();
    }

    private void sendSighup() throws IOException, InterruptedException {
        signal("HUP");
    }

    /** Sends a signal to the process; STOP and CONT pause and resume it. */
    void signal(final String name) throws IOException, InterruptedException {
        assertTrue(new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor(TIMEOUT_S, TimeUnit.SECONDS));
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The most recently started process. */
    Process process() {
        return process;
    }

    /** Starts the courier without waiting for anything. */
    Process launch() throws IOException {
        final Path config = writeConfig(platform);
        final List<String> command = new ArrayList<>(List.of(
                System.getProperty("java.home") + "/bin/java",
                heap,
                directMemory,
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "railspar.node.Main"));
        if (!shellPrefix.isEmpty()) {
            command.addAll(0, List.of("/bin/sh", "-c", shellPrefix + "; exec \"$0\" \"$@\""));
        }
        final ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("PROXY_DISCOVERY", platform.address());
        builder.environment().put("PROXY_STATE", folder.resolve("state").toString());
        if (faults != null) {
            builder.environment().putAll(faults.environment());
        }
        process = builder.redirectErrorStream(true).start();
        processes.add(process);
        final BufferedReader out =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        final Thread reader = new Thread(
                () -> out.lines().map(CourierProcessFixture::withoutTimestamps).forEach(log::add));
        reader.setDaemon(true);
        reader.start();
        return process;
    }

    /** A log line without its timestamps. */
    private static String withoutTimestamps(final String line) {
        return line.replaceFirst("^\\d{4}-\\S+Z \\[\\d+\\.\\d{3}] ", "");
    }

    /** Kills the process and starts the next one on the same folder. */
    void killAndRestart() throws IOException, InterruptedException {
        kill();
        start();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly();
        assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS));
    }

    /** Sends SIGTERM; returns the process to wait for. */
    Process terminate() {
        process.destroy();
        return process;
    }

    static String message(final String id, final String className) {
        return message(id, className, "hello");
    }

    static String message(final String id, final String className, final String body) {
        return "POST /" + className + " HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: "
                + className + "\r\nX-Timeout-Ms: 20000\r\nIdempotency-Key: key-" + id + "\r\nX-Consignee: dest=7\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** A message of the ordered class, with its ordering key. */
    static String orderedMessage(final String id, final String key) {
        return message(id, "turn").replace("POST /turn ", "POST /turn/" + key + " ");
    }

    Answer submit(final String id, final String className) throws IOException {
        return send(message(id, className));
    }

    Socket connect() throws IOException {
        final Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
        return socket;
    }

    /** Sends a request on a new connection and reads the response. */
    Answer send(final String raw) throws IOException {
        try (Socket socket = connect()) {
            return send(socket, raw);
        }
    }

    static Answer send(final Socket socket, final String raw) throws IOException {
        socket.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
        return read(socket.getInputStream());
    }

    static Answer read(final InputStream in) throws IOException {
        final List<String> lines = new ArrayList<>();
        for (String line = FakeServer.readLine(in); !line.isEmpty(); line = FakeServer.readLine(in)) {
            lines.add(line);
        }
        final Matcher first = STATUS.matcher(lines.isEmpty() ? "" : lines.get(0));
        final int status = first.lookingAt() ? Integer.parseInt(first.group(1)) : 0;
        return new Answer(status, String.join("\n", lines).toLowerCase(java.util.Locale.ROOT));
    }

    /** Waits for a condition that must come true; the timeout is reached only in a failure. */
    void await(final String what, final BooleanSupplier condition) {
        final long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNs, "timed out waiting for: " + what + "; log: " + log);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }

    /** Waits until a metric has that value. */
    void awaitMetric(final String name, final long value) {
        await(name + " " + value, () -> {
            try {
                return metric(name) == value;
            } catch (final IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    boolean hasNotice(final String id, final String status) {
        return notices.stream().anyMatch(line -> line.contains('"' + id + '"') && line.contains(status));
    }

    @Override
    public void close() throws IOException {
        processes.forEach(Process::destroyForcibly);
        platform.close();
        first.close();
        second.close();
    }
}
