package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tasks wait for a read of the sockets after the event loop has stalled. */
final class StallDetectorTest {
    private long nowUs = 1_000_000;
    private final Deque<Runnable> scheduled = new ArrayDeque<>();
    private final StallDetector detector = new StallDetector(() -> nowUs, (task, delayMs) -> scheduled.add(task));
    private final List<String> sent = new ArrayList<>();

    private void readSockets() {
        for (int remaining = scheduled.size(); remaining > 0; remaining--) {
            scheduled.remove().run();
        }
    }

    @Test
    void nothingIsSentBetweenAStallAndTheNextReadOfTheSockets() {
        nowUs += StallDetector.STALL_US + 1;
        detector.afterSocketReads(() -> sent.add("call"));
        assertEquals(List.of(), sent);
        assertTrue(detector.isStalled());
        readSockets();
        assertEquals(List.of("call"), sent);
        assertFalse(detector.isStalled());
    }

    @Test
    void aShortPauseDelaysNothing() {
        nowUs += StallDetector.STALL_US;
        detector.afterSocketReads(() -> sent.add("call"));
        assertEquals(List.of("call"), sent);
        assertTrue(scheduled.isEmpty());
    }
}
