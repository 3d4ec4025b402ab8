package railspar.node;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The faults of a process that has {@code src/test/native/faults.c} preloaded: set here, they hold there at once. */
final class FaultPage {
    static final int EINTR = 4;
    static final int EIO = 5;
    static final int ENOMEM = 12;
    static final int EMFILE = 24;
    static final int ENOSPC = 28;
    static final int EPIPE = 32;
    static final int EADDRINUSE = 98;
    static final int ECONNRESET = 104;
    static final int ENOBUFS = 105;
    static final int ENOTCONN = 107;
    static final int ETIMEDOUT = 110;
    static final int EHOSTUNREACH = 113;

    /** Writes take no byte, all of them or half of them (sockets only), before they fail. */
    static final long NO_BYTES = 0;

    static final long ALL_BYTES = -1;
    static final long HALF_OF_THE_BYTES = -2;

    /** Sockets on which receiving, sending, shutting down and closing may fail. */
    static final long ALL_SOCKETS = 0;

    static final long ACCEPTED_SOCKETS = 1;
    static final long CONNECTED_SOCKETS = 2;

    private static final Path SOURCE = Path.of("src/test/native/faults.c");
    private static final long COMPILE_S = 60;

    /** The numbers of the page, in the order of the enum in the C file. */
    enum Fault {
        CLOCK_STEP_S,
        OPEN_ERRNO,
        READ_ERRNO,
        WRITE_ERRNO,
        WRITE_EFFECT,
        WRITE_SHORT,
        RENAME_ERRNO,
        RENAME_EFFECT,
        TRUNCATE_ERRNO,
        UNLINK_ERRNO,
        ACCEPT_ERRNO,
        CONNECT_ERRNO,
        CONNECT_EFFECT,
        SOCKET_ERRNO,
        BIND_ERRNO,
        RECEIVE_ERRNO,
        SEND_ERRNO,
        SEND_EFFECT,
        SEND_SHORT,
        SHUTDOWN_ERRNO,
        CLOSE_ERRNO,
        POLL_ERRNO,
        SOCKET_SCOPE,
        ONE_IN
    }

    private final Path library;
    private final Path file;
    private final Path state;
    private final LongBuffer numbers;

    /** A page without faults, in that folder, for processes whose state folder is {@code state}. */
    FaultPage(final Path folder, final Path state) throws IOException, InterruptedException {
        this.state = state;
        library = folder.resolve("faults.so");
        file = folder.resolve("faults.page");
        final Process compiler = new ProcessBuilder(
                        "gcc", "-shared", "-fPIC", "-O1", "-o", library.toString(), SOURCE.toString(), "-ldl")
                .inheritIO()
                .start();
        if (!compiler.waitFor(COMPILE_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            throw new IOException("cannot compile " + SOURCE);
        }
        Files.write(file, new byte[Fault.values().length * Long.BYTES]);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            numbers = channel.map(FileChannel.MapMode.READ_WRITE, 0, channel.size())
                    .order(ByteOrder.nativeOrder())
                    .asLongBuffer();
        }
    }

    /** What a process needs in its environment. */
    Map<String, String> environment() {
        return Map.of(
                "LD_PRELOAD", library.toString(),
                "FAULTS_PAGE", file.toString(),
                "FAULTS_FOLDER", state.toString());
    }

    /** Sets a number. */
    FaultPage set(final Fault fault, final long value) {
        numbers.put(fault.ordinal(), value);
        return this;
    }

    /** No call fails any more; a step of the clock stays. */
    void clear() {
        for (final Fault fault : Fault.values()) {
            if (fault != Fault.CLOCK_STEP_S) {
                set(fault, 0);
            }
        }
    }
}
