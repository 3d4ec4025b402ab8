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
 * One seeded play before a real courier: clients that use their open connections until the kill, endpoints, an agent
 * and a platform of their own pace, signals in series, and faults of folder, sockets and clocks. The same seed and
 * range of faults draw the same schedule.
 */
final class SoakRun implements AutoCloseable {
    private static final int CLIENTS = 8;
    private static final int LEAST_PAUSE_MS = 20;
    private static final int MOST_PAUSE_MS = 140;
    private static final int CROWD = 150;
    /** SIGKILL comes no sooner than that after SIGTERM. */
    private static final long KILL_MS = 3700;

    private static final long DOWN_MS = 600;
    private static final long HEARTBEAT_MS = 2000;
    private static final long READY_MS = 10_000;
    private static final long MOST_END_MS = 12_000;
    private static final int HOUR_S = 3600;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final Pattern AFTER = Pattern.compile("after=(-?\\d+)");
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
    private static final int SHORT_BYTES = 40;

    /** Which faults are drawn. */
    enum Range {
        /** Folder, clocks, signals, and calls that fail before their effect on sockets. */
        BASIC,
        /** Also sends, shutdowns, closes and connects that fail after their effect, faults in pairs, hand-overs. */
        WIDE
    }

    /** What has been played and seen. */
    final SoakRecord record = new SoakRecord();

    private final Range range;
    private final Random random;
    private final CourierProcessFixture rig;
    private final FakeServer otherPlatform;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final List<FakeServer.Connection> watches = new CopyOnWriteArrayList<>();
    private final List<Socket> crowd = new ArrayList<>();
    private final SoakClients clients;
    private final List<String> schedule = new ArrayList<>();
    private volatile boolean draining;
    /** Connections may break, and with them watches. */
    private volatile boolean connectionsFail;

    private volatile boolean sendsFail;
    private volatile long unreachableSinceMs = -1;
    private volatile long agentMs;
    private volatile long noticeMs;
    private volatile long endpointSeed;

    SoakRun(final long seed, final Range range, final Path folder) throws IOException, InterruptedException {
        this.range = range;
        random = new Random(seed);
        rig = new CourierProcessFixture(folder);
        otherPlatform = new FakeServer(this::platform);
        rig.platform.script(this::platform);
        rig.discovery = "pushed";
        rig.sockets = 384;
        rig.maxOpen = 200;
        rig.faults = new FaultPage(folder, folder.resolve("state"));
        rig.hosts = hosts();
        endpointSeed = random.nextLong();
        clients = new SoakClients(rig, record, endpointSeed, this::drawKind, LEAST_PAUSE_MS, MOST_PAUSE_MS);
        rig.first.script((request, connection) -> endpoint("e1", request, connection));
        rig.second.script((request, connection) -> endpoint("e2", request, connection));
    }

    private String drawKind(final Random own) {
        final int draw = own.nextInt(10);
        if (range == Range.BASIC) {
            return draw < 5 ? "safe" : draw < 7 ? "once" : "turn";
        }
        return draw < 2 ? "safe" : draw < 6 ? "once" : draw < 8 ? "turn" : draw < 9 ? "keyed" : "brief";
    }

    private String hosts() {
        return CourierProcessFixture.hostEntry("e1", rig.first, draining ? "Terminating" : "Ready") + ","
                + CourierProcessFixture.hostEntry("e2", rig.second, "Ready");
    }

    // ---------------------------------------------------------------- surroundings

    private void platform(final FakeServer.Request request, final FakeServer.Connection connection) {
        if (request.line().startsWith("POST")) {
            record.noticed(request.text());
            timer.schedule(() -> connection.answer(204, ""), noticeMs, TimeUnit.MILLISECONDS);
            return;
        }
        final Matcher after = AFTER.matcher(request.line());
        final long version = after.find() ? Long.parseLong(after.group(1)) : -1;
        timer.schedule(() -> watch(connection, version), agentMs, TimeUnit.MILLISECONDS);
    }

    private void watch(final FakeServer.Connection connection, final long version) {
        connection.write(HEAD);
        if (version < version()) {
            tell(connection);
        } else {
            connection.chunk("\n");
        }
        watches.add(connection);
        timer.schedule(() -> heartbeat(connection), HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    private void heartbeat(final FakeServer.Connection connection) {
        if (!connection.ended) {
            connection.chunk("\n");
            timer.schedule(() -> heartbeat(connection), HEARTBEAT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private long version() {
        return draining ? 42 : 41;
    }

    private void tell(final FakeServer.Connection connection) {
        if (!connection.ended) {
            connection.chunk(CourierProcessFixture.listLine(version(), hosts()));
            // What a connection that fails takes along is told by the next watch, 6 s later at the latest.
            if (!connectionsFail) {
                record.told();
            }
        }
    }

    private void endpoint(final String name, final FakeServer.Request request, final FakeServer.Connection connection) {
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

    /** Plays it; the result is the broken rules. */
    List<String> run() throws IOException, InterruptedException {
        record.launched();
        rig.start();
        clients.start(CLIENTS);
        if (random.nextInt(3) == 0) {
            comeAsCrowd();
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
        final long untilMs = record.nowMs() + MOST_END_MS;
        while (record.pending() > 0 && record.nowMs() < untilMs) {
            Thread.sleep(20);
        }
        if (!rig.isAlive()) {
            record.fault("the process has ended by itself");
        }
        rig.log.stream().filter(line -> line.startsWith("violation prevented")).forEach(record::fault);
        return record.violations();
    }

    private void pause(final int leastMs, final int mostMs) throws InterruptedException {
        Thread.sleep(leastMs + random.nextInt(mostMs - leastMs));
    }

    private void comeAsCrowd() throws IOException {
        note("crowd");
        for (int count = 0; count < CROWD; count++) {
            crowd.add(rig.connect());
        }
    }

    private void beginDrain() {
        agentMs = random.nextInt(3) == 0 ? 0 : random.nextInt(4000);
        note("drain of e1, watches answered after " + agentMs + " ms");
        draining = true;
        record.drains("e1");
        if (random.nextBoolean()) {
            watches.forEach(this::tell);
        } else {
            note("watches cut");
            watches.forEach(FakeServer.Connection::reset);
            watches.clear();
        }
    }

    private void wideStep(final int kind) throws IOException, InterruptedException {
        switch (kind) {
            case 7 -> {
                failSends();
                pause(300, 1500);
                clearOften();
            }
            case 8 -> {
                failSends();
                step(1 + random.nextInt(2));
                clearFaults();
            }
            case 9 -> handOver();
            default -> step(kind);
        }
    }

    private void step(final int kind) throws IOException, InterruptedException {
        switch (kind) {
            case 0 -> hangUps();
            case 1 -> fail(FOLDER_FAULTS.get(random.nextInt(FOLDER_FAULTS.size())), FaultPage.EIO, 300, 2500);
            case 2 -> fail(SOCKET_FAULTS.get(random.nextInt(SOCKET_FAULTS.size())), FaultPage.ETIMEDOUT, 200, 1000);
            case 3 -> standStill();
            case 4 -> stepClock();
            case 5 -> {
                noticeMs = random.nextInt(2500);
                note("notices answered after " + noticeMs + " ms");
            }
            default -> restart();
        }
    }

    private void hangUps() throws IOException, InterruptedException {
        final int count = 1 + random.nextInt(10);
        note(count + " SIGHUPs");
        for (int left = count; left > 0; left--) {
            if (random.nextInt(3) == 0) {
                rig.reloadTruncatedConfig();
            } else {
                rig.reload(random.nextBoolean() ? rig.platform : otherPlatform);
            }
            pause(20, 120);
        }
        // What stands last is whole.
        rig.reload(rig.platform);
    }

    private void fail(final Fault fault, final int error, final int leastMs, final int mostMs)
            throws InterruptedException {
        final int oneIn = 1 + random.nextInt(3);
        final boolean takesEffect = random.nextBoolean();
        note(fault + " " + error + ", one in " + oneIn + (takesEffect ? ", after its effect" : ""));
        // Sends that fail meanwhile do so as often as drawn for them.
        if (!sendsFail) {
            rig.faults.set(Fault.ONE_IN, oneIn);
        }
        rig.faults
                .set(Fault.WRITE_EFFECT, takesEffect ? FaultPage.ALL_BYTES : random.nextInt(40))
                .set(Fault.RENAME_EFFECT, takesEffect ? 1 : 0)
                .set(fault, error);
        connectionsFail |= fault == Fault.RECEIVE_ERRNO;
        pause(leastMs, mostMs);
        clearOften();
    }

    private void clearOften() {
        if (random.nextInt(4) > 0) {
            clearFaults();
        }
    }

    /** Sends fail from now on, some beside another call on sockets. */
    private void failSends() {
        final int error = SEND_ERRORS.get(random.nextInt(SEND_ERRORS.size()));
        final long effect = SEND_EFFECTS.get(random.nextInt(SEND_EFFECTS.size()));
        final long scope = random.nextInt(3);
        final int oneIn = 1 + random.nextInt(3);
        final Fault other = drawOther();
        note("sends fail with " + error + ", effect " + effect + ", scope " + scope + ", one in " + oneIn + ", beside "
                + other);
        connectionsFail = true;
        sendsFail = true;
        if (oneIn == 1 && effect != FaultPage.ALL_BYTES && scope != FaultPage.ACCEPTED_SOCKETS) {
            unreachableSinceMs = record.nowMs();
        }
        rig.faults
                .set(Fault.ONE_IN, oneIn)
                .set(Fault.SOCKET_SCOPE, scope)
                .set(Fault.SEND_EFFECT, effect)
                .set(Fault.SEND_ERRNO, error);
    }

    /** Sets another fault of sockets, or none. */
    private Fault drawOther() {
        return switch (random.nextInt(6)) {
            case 0 -> set(Fault.SHUTDOWN_ERRNO, FaultPage.ENOTCONN);
            case 1 -> set(Fault.CLOSE_ERRNO, FaultPage.EIO);
            case 2 -> {
                rig.faults.set(Fault.CONNECT_EFFECT, 1);
                yield set(Fault.CONNECT_ERRNO, FaultPage.EHOSTUNREACH);
            }
            case 3 -> set(Fault.SEND_SHORT, SHORT_BYTES);
            case 4 -> set(Fault.RECEIVE_ERRNO, FaultPage.ETIMEDOUT);
            default -> null;
        };
    }

    private Fault set(final Fault fault, final long value) {
        rig.faults.set(fault, value);
        return fault;
    }

    private void clearFaults() {
        rig.faults.clear();
        connectionsFail = false;
        sendsFail = false;
        if (unreachableSinceMs >= 0) {
            record.unreachable(unreachableSinceMs);
            unreachableSinceMs = -1;
        }
    }

    private void standStill() throws IOException, InterruptedException {
        final int ms = random.nextBoolean() ? 150 : 1000 + random.nextInt(2000);
        note("stands still for " + ms + " ms");
        final long fromMs = record.nowMs();
        rig.signal("STOP");
        Thread.sleep(ms);
        rig.signal("CONT");
        record.stoodStill(fromMs);
    }

    private void stepClock() {
        final int seconds = random.nextBoolean() ? HOUR_S : -HOUR_S;
        final int steps = random.nextInt(3) - 1;
        note("wall clock at " + steps * seconds + " s");
        rig.faults.set(Fault.CLOCK_STEP_S, (long) steps * seconds);
    }

    private void restart() throws IOException, InterruptedException {
        final long fromMs = record.nowMs();
        if (random.nextInt(3) > 0) {
            note("SIGTERM");
            rig.signal("TERM");
            final Process ending = rig.process();
            if (!ending.waitFor(KILL_MS, TimeUnit.MILLISECONDS)) {
                record.fault("it had not ended at the kill");
            }
        }
        rig.kill();
        note("killed");
        crowd.forEach(SoakRun::closeQuietly);
        crowd.clear();
        Thread.sleep(DOWN_MS);
        if (random.nextBoolean()) {
            stepClock();
        }
        final long startMs = record.nowMs();
        clearSoon();
        record.launched();
        rig.start();
        note("ready after " + (record.nowMs() - startMs) + " ms");
        if (record.nowMs() - startMs > READY_MS) {
            record.fault("ready after " + (record.nowMs() - startMs) + " ms");
        }
        record.restarted(fromMs);
    }

    /** A fault that lasts is over soon after a start. */
    private void clearSoon() {
        timer.schedule(this::clearFaults, 1000, TimeUnit.MILLISECONDS);
    }

    private void handOver() throws IOException, InterruptedException {
        clearSoon();
        final Process old = rig.startSuccessor();
        note("a second process stands by");
        if (random.nextBoolean()) {
            failSends();
        }
        clearSoon();
        final long fromMs = record.nowMs();
        record.launched();
        rig.endOldProcess(old, false);
        note("handed over");
        record.restarted(fromMs);
        if (!old.waitFor(KILL_MS, TimeUnit.MILLISECONDS)) {
            record.fault("the process that handed over had not ended at the kill");
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

    private void note(final String what) {
        schedule.add(record.nowMs() + " " + what);
    }

    /** What was played when. */
    List<String> schedule() {
        return schedule;
    }

    /** The courier's log. */
    List<String> log() {
        return rig.log;
    }

    @Override
    public void close() throws IOException {
        clients.end();
        timer.shutdownNow();
        crowd.forEach(SoakRun::closeQuietly);
        rig.close();
        otherPlatform.close();
    }
}
