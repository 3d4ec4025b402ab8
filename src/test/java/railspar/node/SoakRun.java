package railspar.node;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import railspar.node.FaultPage.Fault;

/**
 * One seeded run against a real courier. It has clients that use their open connections until the kill, endpoints, an
 * agent and a platform with varying response times, series of signals, and faults of the state folder, the sockets
 * and the clocks. The same seed and fault range draw the same schedule.
 */
final class SoakRun implements AutoCloseable {
    private static final int CLIENTS = 8;
    private static final int MIN_PAUSE_MS = 20;
    private static final int MAX_PAUSE_MS = 140;
    private static final int IDLE_CONNECTIONS = 150;
    /** Minimum time between SIGTERM and SIGKILL. */
    private static final long KILL_DELAY_MS = 3700;

    private static final long DOWNTIME_MS = 600;
    private static final long HEARTBEAT_INTERVAL_MS = 2000;
    private static final long MAX_STARTUP_MS = 10_000;
    private static final long MAX_END_WAIT_MS = 12_000;
    private static final int HOUR_S = 3600;
    private static final String CHUNKED_RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final Pattern AFTER_VERSION = Pattern.compile("after=(-?\\d+)");
    private static final List<Fault> FOLDER_FAULTS =
            List.of(Fault.OPEN_ERRNO, Fault.READ_ERRNO, Fault.WRITE_ERRNO, Fault.RENAME_ERRNO, Fault.TRUNCATE_ERRNO);
    private static final List<Fault> SOCKET_FAULTS =
            List.of(Fault.ACCEPT_ERRNO, Fault.CONNECT_ERRNO, Fault.SOCKET_ERRNO, Fault.RECEIVE_ERRNO);

    private static final List<Integer> SEND_ERRORS = List.of(
            FaultPage.EIO,
            FaultPage.ENOBUFS,
            FaultPage.ENOMEM,
            FaultPage.EPIPE,
            FaultPage.ECONNRESET,
            FaultPage.ETIMEDOUT,
            FaultPage.EHOSTUNREACH);
    private static final List<Long> SEND_EFFECTS =
            List.of(FaultPage.ALL_BYTES, FaultPage.HALF_OF_THE_BYTES, FaultPage.NO_BYTES);
    private static final int SHORT_SEND_BYTES = 40;

    /** The range of faults that a run draws from. */
    enum Range {
        /** Folder faults, clock steps, signals, and socket calls that fail before they take effect. */
        BASIC,
        /** Also socket calls (send, shutdown, close, connect) that fail after taking effect, pairs, handovers. */
        WIDE
    }

    /** What happened in the run, as seen by clients, endpoints and platform. */
    final SoakRecord record = new SoakRecord();

    private final Range range;
    private final Random random;
    private final CourierProcessFixture fixture;
    private final FakeServer otherPlatform;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final List<FakeServer.Connection> watches = new CopyOnWriteArrayList<>();
    private final List<Socket> idleConnections = new ArrayList<>();
    private final SoakClients clients;
    private final List<String> schedule = new ArrayList<>();
    private volatile boolean draining;
    /** Injected faults may break connections, and with them watches. */
    private volatile boolean connectionsFail;

    private volatile boolean sendsFail;
    private volatile long unreachableSinceMs = -1;
    private volatile long watchDelayMs;
    private volatile long noticeDelayMs;
    private volatile long endpointSeed;

    SoakRun(final long seed, final Range range, final Path folder) throws IOException, InterruptedException {
        this.range = range;
        random = new Random(seed);
        fixture = new CourierProcessFixture(folder);
        otherPlatform = new FakeServer(this::answerPlatformRequest);
        fixture.platform.script(this::answerPlatformRequest);
        fixture.discovery = "pushed";
        fixture.sockets = 384;
        fixture.maxOpen = 200;
        fixture.faults = new FaultPage(folder, folder.resolve("state"));
        fixture.hosts = hosts();
        endpointSeed = random.nextLong();
        clients = new SoakClients(fixture, record, endpointSeed, this::drawMessageClass, MIN_PAUSE_MS, MAX_PAUSE_MS);
        fixture.first.script((request, connection) -> answerCall("e1", request, connection));
        fixture.second.script((request, connection) -> answerCall("e2", request, connection));
    }

    private String drawMessageClass(final Random clientRandom) {
        final int draw = clientRandom.nextInt(10);
        if (range == Range.BASIC) {
            return draw < 5 ? "safe" : draw < 7 ? "once" : "turn";
        }
        return draw < 2 ? "safe" : draw < 6 ? "once" : draw < 8 ? "turn" : draw < 9 ? "keyed" : "brief";
    }

    private String hosts() {
        return CourierProcessFixture.hostEntry("e1", fixture.first, draining ? "Terminating" : "Ready") + ","
                + CourierProcessFixture.hostEntry("e2", fixture.second, "Ready");
    }

    // ---------------------------------------------------------------- platform, discovery and endpoints

    private void answerPlatformRequest(final FakeServer.Request request, final FakeServer.Connection connection) {
        if (request.line().startsWith("POST")) {
            record.noticed(request.text());
            timer.schedule(() -> connection.answer(204, ""), noticeDelayMs, TimeUnit.MILLISECONDS);
            return;
        }
        final Matcher after = AFTER_VERSION.matcher(request.line());
        final long version = after.find() ? Long.parseLong(after.group(1)) : -1;
        timer.schedule(() -> answerWatch(connection, version), watchDelayMs, TimeUnit.MILLISECONDS);
    }

    private void answerWatch(final FakeServer.Connection connection, final long version) {
        connection.write(CHUNKED_RESPONSE_HEAD);
        if (version < listVersion()) {
            sendList(connection);
        } else {
            connection.chunk("\n");
        }
        watches.add(connection);
        timer.schedule(() -> heartbeat(connection), HEARTBEAT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void heartbeat(final FakeServer.Connection connection) {
        if (!connection.ended) {
            connection.chunk("\n");
            timer.schedule(() -> heartbeat(connection), HEARTBEAT_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private long listVersion() {
        return draining ? 42 : 41;
    }

    private void sendList(final FakeServer.Connection connection) {
        if (!connection.ended) {
            connection.chunk(CourierProcessFixture.listLine(listVersion(), hosts()));
            // If the connection fails, the next watch sends the list again, at the latest 6 s later.
            if (!connectionsFail) {
                record.listSent();
            }
        }
    }

    private void answerCall(
            final String name, final FakeServer.Request request, final FakeServer.Connection connection) {
        final long draw = new Random(endpointSeed + request.ids().hashCode() * 31L + name.hashCode()).nextInt(100);
        if (draw < 80) {
            record.called(request, name, 200);
            connection.accept(request);
        } else if (draw < 88) {
            record.called(request, name, 503);
            connection.answer(503, "");
        } else if (draw < 93) {
            record.called(request, name, 500);
            connection.answer(500, "");
        } else if (draw < 97) {
            record.called(request, name, 0);
        } else {
            record.called(request, name, 0);
            connection.reset();
        }
    }

    // ---------------------------------------------------------------- the schedule

    /** Runs the schedule and returns the violations of the rules. */
    List<String> run() throws IOException, InterruptedException {
        record.launched();
        fixture.start();
        clients.start(CLIENTS);
        if (random.nextInt(3) == 0) {
            openIdleConnections();
        }
        pause(500, 1000);
        final int drainAt = random.nextInt(5);
        for (int step = 0; step < 5; step++) {
            if (step == drainAt) {
                beginDrain();
            }
            if (range == Range.BASIC) {
                step(random.nextInt(7));
            } else {
                wideStep(random.nextInt(10));
            }
            pause(200, 800);
        }
        restart();
        pause(500, 1500);
        clients.stop();
        clearFaults();
        final long untilMs = record.nowMs() + MAX_END_WAIT_MS;
        while (record.pending() > 0 && record.nowMs() < untilMs) {
            Thread.sleep(20);
        }
        if (!fixture.isAlive()) {
            record.addViolation("the process exited unexpectedly");
        }
        fixture.log.stream()
                .filter(line -> line.startsWith("violation prevented"))
                .forEach(record::addViolation);
        return record.violations();
    }

    private void pause(final int minMs, final int maxMs) throws InterruptedException {
        Thread.sleep(minMs + random.nextInt(maxMs - minMs));
    }

    private void openIdleConnections() throws IOException {
        addToSchedule(IDLE_CONNECTIONS + " idle connections opened");
        for (int count = 0; count < IDLE_CONNECTIONS; count++) {
            idleConnections.add(fixture.connect());
        }
    }

    private void beginDrain() {
        watchDelayMs = random.nextInt(3) == 0 ? 0 : random.nextInt(4000);
        addToSchedule("drain of e1, watches answered after " + watchDelayMs + " ms");
        draining = true;
        record.drainStarted("e1");
        if (random.nextBoolean()) {
            watches.forEach(this::sendList);
        } else {
            addToSchedule("watches reset");
            watches.forEach(FakeServer.Connection::reset);
            watches.clear();
        }
    }

    private void wideStep(final int choice) throws IOException, InterruptedException {
        switch (choice) {
            case 7 -> {
                failSends();
                pause(300, 1500);
                clearFaultsUsually();
            }
            case 8 -> {
                failSends();
                step(1 + random.nextInt(2));
                clearFaults();
            }
            case 9 -> handOver();
            default -> step(choice);
        }
    }

    private void step(final int choice) throws IOException, InterruptedException {
        switch (choice) {
            case 0 -> sendHangups();
            case 1 -> injectFault(FOLDER_FAULTS.get(random.nextInt(FOLDER_FAULTS.size())), FaultPage.EIO, 300, 2500);
            case 2 ->
                injectFault(SOCKET_FAULTS.get(random.nextInt(SOCKET_FAULTS.size())), FaultPage.ETIMEDOUT, 200, 1000);
            case 3 -> suspend();
            case 4 -> stepClock();
            case 5 -> {
                noticeDelayMs = random.nextInt(2500);
                addToSchedule("notices answered after " + noticeDelayMs + " ms");
            }
            default -> restart();
        }
    }

    private void sendHangups() throws IOException, InterruptedException {
        final int count = 1 + random.nextInt(10);
        addToSchedule(count + " SIGHUPs");
        for (int left = count; left > 0; left--) {
            if (random.nextInt(3) == 0) {
                fixture.reloadTruncatedConfig();
            } else {
                fixture.reload(random.nextBoolean() ? fixture.platform : otherPlatform);
            }
            pause(20, 120);
        }
        // The last configuration is complete.
        fixture.reload(fixture.platform);
    }

    private void injectFault(final Fault fault, final int error, final int minMs, final int maxMs)
            throws InterruptedException {
        final int oneIn = 1 + random.nextInt(3);
        final boolean takesEffect = random.nextBoolean();
        addToSchedule(fault + " " + error + ", one in " + oneIn + (takesEffect ? ", after its effect" : ""));
        // While sends are failing, they keep the failure rate drawn for them.
        if (!sendsFail) {
            fixture.faults.set(Fault.ONE_IN, oneIn);
        }
        fixture.faults
                .set(Fault.WRITE_EFFECT, takesEffect ? FaultPage.ALL_BYTES : random.nextInt(40))
                .set(Fault.RENAME_EFFECT, takesEffect ? 1 : 0)
                .set(fault, error);
        connectionsFail |= fault == Fault.RECEIVE_ERRNO;
        pause(minMs, maxMs);
        clearFaultsUsually();
    }

    /** Clears all faults in three of four cases. */
    private void clearFaultsUsually() {
        if (random.nextInt(4) > 0) {
            clearFaults();
        }
    }

    /** Makes sends fail from now on, in some runs together with another socket call. */
    private void failSends() {
        final int error = SEND_ERRORS.get(random.nextInt(SEND_ERRORS.size()));
        final long effect = SEND_EFFECTS.get(random.nextInt(SEND_EFFECTS.size()));
        final long scope = random.nextInt(3);
        final int oneIn = 1 + random.nextInt(3);
        final Fault other = setOtherFault();
        addToSchedule("sends fail with " + error + ", effect " + effect + ", scope " + scope + ", one in " + oneIn
                + ", together with " + other);
        connectionsFail = true;
        sendsFail = true;
        if (oneIn == 1 && effect != FaultPage.ALL_BYTES && scope != FaultPage.ACCEPTED_SOCKETS) {
            unreachableSinceMs = record.nowMs();
        }
        fixture.faults
                .set(Fault.ONE_IN, oneIn)
                .set(Fault.SOCKET_SCOPE, scope)
                .set(Fault.SEND_EFFECT, effect)
                .set(Fault.SEND_ERRNO, error);
    }

    /** Sets another socket fault, or none. */
    private Fault setOtherFault() {
        return switch (random.nextInt(6)) {
            case 0 -> setFault(Fault.SHUTDOWN_ERRNO, FaultPage.ENOTCONN);
            case 1 -> setFault(Fault.CLOSE_ERRNO, FaultPage.EIO);
            case 2 -> {
                fixture.faults.set(Fault.CONNECT_EFFECT, 1);
                yield setFault(Fault.CONNECT_ERRNO, FaultPage.EHOSTUNREACH);
            }
            case 3 -> setFault(Fault.SEND_SHORT, SHORT_SEND_BYTES);
            case 4 -> setFault(Fault.RECEIVE_ERRNO, FaultPage.ETIMEDOUT);
            default -> null;
        };
    }

    private Fault setFault(final Fault fault, final long value) {
        fixture.faults.set(fault, value);
        return fault;
    }

    private void clearFaults() {
        fixture.faults.clear();
        connectionsFail = false;
        sendsFail = false;
        if (unreachableSinceMs >= 0) {
            record.platformUnreachable(unreachableSinceMs);
            unreachableSinceMs = -1;
        }
    }

    private void suspend() throws IOException, InterruptedException {
        final int ms = random.nextBoolean() ? 150 : 1000 + random.nextInt(2000);
        addToSchedule("SIGSTOP for " + ms + " ms");
        final long fromMs = record.nowMs();
        fixture.signal("STOP");
        Thread.sleep(ms);
        fixture.signal("CONT");
        record.suspended(fromMs);
    }

    private void stepClock() {
        final int seconds = random.nextBoolean() ? HOUR_S : -HOUR_S;
        final int steps = random.nextInt(3) - 1;
        addToSchedule("wall clock offset " + steps * seconds + " s");
        fixture.faults.set(Fault.CLOCK_STEP_S, (long) steps * seconds);
    }

    private void restart() throws IOException, InterruptedException {
        final long fromMs = record.nowMs();
        if (random.nextInt(3) > 0) {
            addToSchedule("SIGTERM");
            fixture.signal("TERM");
            final Process terminating = fixture.process();
            if (!terminating.waitFor(KILL_DELAY_MS, TimeUnit.MILLISECONDS)) {
                record.addViolation("the process had not exited before the kill");
            }
        }
        fixture.kill();
        addToSchedule("killed");
        idleConnections.forEach(SoakRun::closeQuietly);
        idleConnections.clear();
        Thread.sleep(DOWNTIME_MS);
        if (random.nextBoolean()) {
            stepClock();
        }
        final long startMs = record.nowMs();
        clearFaultsSoon();
        record.launched();
        fixture.start();
        addToSchedule("ready after " + (record.nowMs() - startMs) + " ms");
        if (record.nowMs() - startMs > MAX_STARTUP_MS) {
            record.addViolation("ready after " + (record.nowMs() - startMs) + " ms");
        }
        record.restarted(fromMs);
    }

    /** Clears all faults 1 s later, so that a fault that is still set ends soon after a start. */
    private void clearFaultsSoon() {
        timer.schedule(this::clearFaults, 1000, TimeUnit.MILLISECONDS);
    }

    private void handOver() throws IOException, InterruptedException {
        clearFaultsSoon();
        final Process old = fixture.startSuccessor();
        addToSchedule("the successor process stands by");
        if (random.nextBoolean()) {
            failSends();
        }
        clearFaultsSoon();
        final long fromMs = record.nowMs();
        record.launched();
        fixture.endOldProcess(old, false);
        addToSchedule("handed over");
        record.restarted(fromMs);
        if (!old.waitFor(KILL_DELAY_MS, TimeUnit.MILLISECONDS)) {
            record.addViolation("the predecessor process had not exited before the kill");
            old.destroyForcibly();
        }
    }

    private static void closeQuietly(final Socket socket) {
        try {
            socket.close();
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void addToSchedule(final String what) {
        schedule.add(record.nowMs() + " " + what);
    }

    /** The steps of the run, each with its time in milliseconds. */
    List<String> schedule() {
        return schedule;
    }

    /** The courier's log. */
    List<String> log() {
        return fixture.log;
    }

    @Override
    public void close() throws IOException {
        clients.end();
        timer.shutdownNow();
        idleConnections.forEach(SoakRun::closeQuietly);
        fixture.close();
        otherPlatform.close();
    }
}
