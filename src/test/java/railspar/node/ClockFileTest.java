package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards that persistent time continues across processes and wall-clock steps, and is set anew after a reboot. */
final class ClockFileTest {
    private static final long HOUR_MS = 3_600_000;
    private static final long US_PER_MS = 1000;
    private static final long NS_PER_MS = 1_000_000;
    private static final long WALL_MS = 1_796_000_000_000L;

    @TempDir
    private Path folder;

    private long monotonicMs = 5_000;
    private long wallMs = WALL_MS;

    private Clock startProcess(final String bootId) throws IOException {
        final Clock clock = new Clock(() -> monotonicMs * NS_PER_MS, () -> wallMs);
        new ClockFile(folder, bootId).apply(clock);
        return clock;
    }

    private void advance(final long ms) {
        monotonicMs += ms;
        wallMs += ms;
    }

    @ParameterizedTest
    @ValueSource(longs = {0, HOUR_MS, -HOUR_MS, 3000, -3000, 24 * HOUR_MS, -24 * HOUR_MS})
    void deadlinesAreUnaffectedByAWallClockStepWhileNoProcessRuns(final long stepMs) throws IOException {
        final long deadlineUs = startProcess("boot").persistentUs() + 25_000 * US_PER_MS;
        advance(600);
        wallMs += stepMs;
        final Clock next = startProcess("boot");
        assertEquals(24_400 * US_PER_MS, next.fromPersistentUs(deadlineUs) - next.nowUs());
    }

    @Test
    void aWallClockStepWhileTheProcessRunsHasNoEffect() throws IOException {
        final Clock clock = startProcess("boot");
        final long nowUs = clock.nowUs();
        final long persistentUs = clock.persistentUs();
        wallMs -= HOUR_MS;
        advance(1);
        assertEquals(nowUs + US_PER_MS, clock.nowUs());
        assertEquals(persistentUs + US_PER_MS, clock.persistentUs());
        assertEquals(nowUs, clock.fromPersistentUs(persistentUs));
        assertEquals(persistentUs, clock.toPersistentUs(nowUs));
    }

    @Test
    void afterARebootPersistentTimeIsSetToTheWallClock() throws IOException {
        startProcess("boot");
        advance(HOUR_MS);
        monotonicMs = 10;
        assertEquals(wallMs * US_PER_MS, startProcess("other").persistentUs());
        advance(1000);
        wallMs += HOUR_MS;
        assertEquals(
                (wallMs - HOUR_MS) * US_PER_MS, startProcess("other").persistentUs(), "the new boot's offset is kept");
    }

    @Test
    void aResetMonotonicClockInvalidatesTheFile() throws IOException {
        startProcess("boot");
        advance(HOUR_MS);
        monotonicMs = 10;
        assertEquals(wallMs * US_PER_MS, startProcess("boot").persistentUs());
    }

    @Test
    void anIncompleteFileIsIgnored() throws IOException {
        startProcess("boot");
        final Path file = folder.resolve("clock");
        final byte[] content = Files.readAllBytes(file);
        for (int length = 0; length < content.length; length++) {
            Files.write(file, java.util.Arrays.copyOf(content, length));
            assertEquals(wallMs * US_PER_MS, startProcess("boot").persistentUs());
        }
    }
}
