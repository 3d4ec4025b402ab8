package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What waits for a pass over the sockets after the loop has stood still. */
final class StallDetectorTest {
    private long nowUs = 1_000_000;
    private final Deque<Runnable> later = new ArrayDeque<>();
    private final StallDetector detector = new StallDetector(() -> nowUs, (task, delayMs) -> later.add(task));
    private final List<String> sent = new ArrayList<>();

    private void readSockets() {
        for (int left = later.size(); left > 0; left--) {
            later.remove().run();
        }
    }

    @Test
    void nothingIsSentBetweenAPauseAndTheNextPassOverTheSockets() {
        nowUs += StallDetector.STALL_US + 1;
        detector.afterSocketReads(() -> sent.add("call"));
        assertEquals(List.of(), sent);
        assertTrue(detector.isStalled());
        readSockets();
        assertEquals(List.of("call"), sent);
        assertFalse(detector.isStalled());
    }

    @Test
    void aShortPauseHoldsNothingUp() {
        nowUs += StallDetector.STALL_US;
        detector.afterSocketReads(() -> sent.add("call"));
        assertEquals(List.of("call"), sent);
        assertTrue(later.isEmpty());
    }
}
