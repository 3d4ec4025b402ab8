package railspar.node;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import picocli.CommandLine;
import railspar.scale.slope.HeapUse;
import railspar.scale.slope.ProcessorTime;
import railspar.scale.slope.Series;
import railspar.scale.slope.SlopeCommand;

/**
 * The {@code journal} slope: file size, processor time and heap of the journal against the number of open messages.
 * It is in the test sources because the journal is package-private, and because a production courier must not contain
 * it.
 */
final class JournalSlope {
    private static final List<Integer> SIZES = List.of(1000, 10_000, 50_000, 100_000);
    /** The target backlog of 2.2 billion messages, divided by 660 couriers. */
    private static final int TARGET_MESSAGES = 3_333_333;

    private static final String SIZE_UNIT = "messages held";
    private static final int BODY_BYTES = 212;
    private static final int DESTINATIONS = 500;
    private static final long NO_DEADLINE_US = Long.MAX_VALUE / 2;
    /** Large enough that neither a rejection nor a compaction occurs. */
    private static final long DISK_BYTES = 1L << 40;

    private JournalSlope() {}

    /** Runs the slope command with only this slope. */
    public static void main(final String[] args) {
        System.exit(new CommandLine(new SlopeCommand(Map.of("journal", series()))).execute(args));
    }

    private static List<Series> series() {
        return List.of(
                series(
                        "journal-bytes",
                        "bytes of the file",
                        size -> inTemporaryFolder(folder -> fileBytes(folder, size))),
                series(
                        "journal-take",
                        "us of processor for taking all",
                        size -> inTemporaryFolder(folder -> writeMicros(folder, size))),
                series(
                        "journal-open",
                        "us of processor for opening",
                        size -> inTemporaryFolder(folder -> openMicros(folder, size))),
                series(
                        "journal-heap",
                        "bytes of heap that the opened journal holds",
                        size -> inTemporaryFolder(folder -> openHeap(folder, size))));
    }

    private static Series series(final String name, final String unit, final Series.Measurement measurement) {
        return new Series(name, SIZE_UNIT, unit, SIZES, TARGET_MESSAGES, measurement);
    }

    private static double fileBytes(final Path folder, final int messages) {
        writeMessages(folder, messages);
        try {
            return Files.size(folder.resolve("journal"));
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static double writeMicros(final Path folder, final int messages) {
        return ProcessorTime.microsOnce(() -> writeMessages(folder, messages));
    }

    private static double openMicros(final Path folder, final int messages) {
        writeMessages(folder, messages);
        return ProcessorTime.microsOnce(() -> loadJournal(folder));
    }

    private static double openHeap(final Path folder, final int messages) {
        writeMessages(folder, messages);
        return HeapUse.bytesHeldBy(() -> loadJournal(folder));
    }

    private static void writeMessages(final Path folder, final int messages) {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            for (int index = 0; index < messages; index++) {
                final String id = String.format("%016x", index);
                final byte[] body = new byte[BODY_BYTES];
                if (!JournalTest.accepts(
                        journal,
                        new AcceptedMessage(id, "notice", null, null, index % DESTINATIONS, NO_DEADLINE_US, body))) {
                    throw new IllegalStateException("message " + index + " was rejected");
                }
            }
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Opens the journal; the loaded messages stay in memory after the file is closed. */
    private static Journal loadJournal(final Path folder) {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            return journal;
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static double inTemporaryFolder(final ToDoubleFunction<Path> measurement) {
        try {
            final Path folder = Files.createTempDirectory("journal-slope");
            try {
                return measurement.applyAsDouble(folder);
            } finally {
                deleteFolder(folder);
            }
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void deleteFolder(final Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (final Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
