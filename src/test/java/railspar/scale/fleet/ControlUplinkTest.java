package railspar.scale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Completion times of transfers that share a link; a link sends one byte per microsecond. */
final class ControlUplinkTest {
    private static final double MEGABYTES_PER_SECOND = 1;
    private static final long START_US = 1_000;

    private final Map<Integer, Long> completedAtUs = new TreeMap<>();

    private ControlUplink.Transfer transfer(final long atUs, final int courier, final long bytes) {
        return new ControlUplink.Transfer(atUs, courier, courier, bytes, endUs -> completedAtUs.put(courier, endUs));
    }

    private static ControlUplink uplink(final int machines) {
        return new ControlUplink(machines, MEGABYTES_PER_SECOND, START_US);
    }

    @Test
    void transfersShareALinkEvenlyFromTheirRequestTimes() {
        final ControlUplink uplink = uplink(1);
        // 100 bytes alone, then both at half the rate for 200 bytes each, then the second alone for its last 100 bytes.
        uplink.runUntil(2_000, List.of(transfer(START_US + 100, 1, 300), transfer(START_US, 0, 300)));
        assertEquals(Map.of(0, START_US + 500, 1, START_US + 600), completedAtUs);
        assertEquals(600, uplink.longestBusyUs());
        assertEquals(600, uplink.bytesSent());
    }

    @Test
    void transferContinuesOverSeveralSlices() {
        final ControlUplink uplink = uplink(1);
        uplink.runUntil(START_US + 10, List.of(transfer(START_US, 0, 25)));
        assertEquals(Map.of(), completedAtUs);
        uplink.runUntil(START_US + 20, List.of());
        assertEquals(Map.of(), completedAtUs);
        uplink.runUntil(START_US + 30, List.of());
        assertEquals(Map.of(0, START_US + 25), completedAtUs);
    }

    @Test
    void transfersOfDifferentMachinesDoNotShareALink() {
        final ControlUplink uplink = uplink(2);
        uplink.runUntil(2_000, List.of(transfer(START_US, 0, 300), transfer(START_US, 1, 300)));
        assertEquals(Map.of(0, START_US + 300, 1, START_US + 300), completedAtUs);
    }

    @Test
    void bandwidthOfAnAbandonedTransferGoesToTheOthers() {
        final ControlUplink uplink = uplink(1);
        final ControlUplink.Transfer abandoned = transfer(START_US, 0, 300);
        uplink.runUntil(START_US + 100, List.of(abandoned, transfer(START_US, 1, 300)));
        abandoned.abandon();
        uplink.runUntil(2_000, List.of());
        assertEquals(Map.of(1, START_US + 350), completedAtUs);
    }
}
