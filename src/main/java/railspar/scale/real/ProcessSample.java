package railspar.scale.real;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Figures that the kernel reports of a process at one moment.
 *
 * @param atNs time of the sample, on the clock of {@link System#nanoTime}
 * @param residentBytes resident memory
 * @param peakResidentBytes peak resident memory since its start
 * @param processorNs processor time since its start, user and system, in steps of 10 ms
 * @param threadNs processor time of the threads that are alive now, in nanosecond resolution
 * @param readBytes bytes read by system calls, from sockets and files
 * @param writtenBytes bytes written by system calls, to sockets and files
 */
public record ProcessSample(
        long atNs,
        long residentBytes,
        long peakResidentBytes,
        long processorNs,
        long threadNs,
        long readBytes,
        long writtenBytes) {
    private static final long BYTES_PER_KB = 1024;
    /** The kernel reports processor time in hundredths of a second on every architecture. */
    private static final long NS_PER_TICK = TimeUnit.MILLISECONDS.toNanos(10);
    /** Index among the fields of {@code /proc/PID/stat} after the name in parentheses, counted from 0. */
    private static final int USER_TICKS_INDEX = 11;

    private static final int SYSTEM_TICKS_INDEX = 12;

    /** Takes a sample of a process of this user. */
    public static ProcessSample of(final long pid) throws IOException {
        final Path process = Path.of("/proc", Long.toString(pid));
        final List<String> status = Files.readAllLines(process.resolve("status"));
        final List<String> io = Files.readAllLines(process.resolve("io"));
        return new ProcessSample(
                System.nanoTime(),
                field(status, "VmRSS:") * BYTES_PER_KB,
                field(status, "VmHWM:") * BYTES_PER_KB,
                processorNs(process),
                threadNs(process),
                field(io, "rchar:"),
                field(io, "wchar:"));
    }

    /** Share of one core used since an earlier sample. */
    public double processorShareSince(final ProcessSample earlier) {
        return (double) (processorNs - earlier.processorNs) / (atNs - earlier.atNs);
    }

    private static long processorNs(final Path process) throws IOException {
        final String stat = Files.readString(process.resolve("stat"));
        final String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TICKS_INDEX]) + Long.parseLong(fields[SYSTEM_TICKS_INDEX])) * NS_PER_TICK;
    }

    private static long threadNs(final Path process) throws IOException {
        try (Stream<Path> threads = Files.list(process.resolve("task"))) {
            return threads.mapToLong(ProcessSample::scheduledNs).sum();
        }
    }

    private static long scheduledNs(final Path thread) {
        try {
            return Long.parseLong(Files.readString(thread.resolve("schedstat")).split(" ")[0]);
        } catch (final NoSuchFileException e) {
            // The thread has ended since it was listed.
            return 0;
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static long field(final List<String> lines, final String name) {
        return lines.stream()
                .filter(line -> line.startsWith(name))
                .findFirst()
                .map(line -> Long.parseLong(line.substring(name.length()).trim().split(" ")[0]))
                .orElse(0L);
    }
}
