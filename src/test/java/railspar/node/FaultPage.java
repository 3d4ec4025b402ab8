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

/** Injects faults into a process that has {@code src/test/native/faults.c} preloaded; they take effect at once. */
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

    /** How many bytes a failing write takes: none, all or, on sockets only, half of them. */
    static final long NO_BYTES = 0;

    static final long ALL_BYTES = -1;
    static final long HALF_OF_THE_BYTES = -2;

    /** The sockets on which receiving, sending, shutting down and closing may fail. */
    static final long ALL_SOCKETS = 0;

    static final long ACCEPTED_SOCKETS = 1;
    static final long CONNECTED_SOCKETS = 2;

    private static final Path SOURCE = Path.of("src/test/native/faults.c");
    private static final long COMPILE_S = 60;

    /** The values of the page, in the order of the enum in the C file. */
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
    private final Path stateFolder;
    private final LongBuffer values;

    /** Creates a page without faults in {@code folder}, for processes whose state folder is {@code stateFolder}. */
    FaultPage(final Path folder, final Path stateFolder) throws IOException, InterruptedException {
        this.stateFolder = stateFolder;
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
            values = channel.map(FileChannel.MapMode.READ_WRITE, 0, channel.size())
                    .order(ByteOrder.nativeOrder())
                    .asLongBuffer();
        }
    }

    /** The environment variables for a process. */
    Map<String, String> environment() {
        return Map.of(
                "LD_PRELOAD", library.toString(),
                "FAULTS_PAGE", file.toString(),
                "FAULTS_FOLDER", stateFolder.toString());
    }

    /** Sets a value of the page. */
    FaultPage set(final Fault fault, final long value) {
        values.put(fault.ordinal(), value);
        return this;
    }

    /** Removes all faults except a step of the clock. */
    void clear() {
        for (final Fault fault : Fault.values()) {
            if (fault != Fault.CLOCK_STEP_S) {
                set(fault, 0);
            }
        }
    }
}
