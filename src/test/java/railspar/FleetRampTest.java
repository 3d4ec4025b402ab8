package railspar;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A fleet of couriers with one destination that fails and returns cold. The calls of all couriers together must stay
 * under the number N that overloads the destination within the settings' time, with a margin for chance of 2 x the
 * root of N + 2.
 */
final class FleetRampTest {
    private static final long SECOND = ControlFixture.SECOND;
    private static final long TICK_US = 20_000;
    private static final long CALL_US = 100_000;
    private static final long OVERLOAD_SPAN_US = 2 * SECOND;
    private static final long WARMUP_US = 13 * SECOND;
    private static final double COLD_CAPACITY_SHARE = 0.18;
    private static final double OVERLOAD_MULTIPLE = 2.5;
    private static final double CAPACITY = 12;
    /** The listed limit: the capacity over 1.2, the smallest share of the capacity in the settings of the sites. */
    private static final double LIMIT = CAPACITY / 1.2;

    private static final long DOWN_US = 15 * SECOND;
    private static final long END_US = 50 * SECOND;

    /** A call in flight at the destination. */
    private record InFlight(int courier, String id, long untilUs, Courier.Result result) {}

    /** A call that the destination received; {@code sawOutage}: its courier had seen a call fail in the outage. */
    private record Call(long atUs, boolean sawOutage) {}

    private final List<ControlFixture> fleet = new ArrayList<>();
    private final Deque<InFlight> inFlight = new ArrayDeque<>();
    private final Map<Integer, Integer> callsReceived = new HashMap<>();
    private final List<Call> calls = new ArrayList<>();
    /** Couriers that had a call fail during the outage. */
    private final Set<ControlFixture> sawOutage = new HashSet<>();

    private double availableCalls = CAPACITY;

    private static Courier.Settings settings(final int couriers) {
        return new Courier.Settings(
                couriers,
                "a",
                false,
                Courier.WeightMeaning.ROUGH,
                Courier.ValueDecay.LINEAR,
                List.of(
                        new Courier.MessageClass(
                                "safe", Courier.Effect.SAFE, false, false, 1, 0, SECOND, 8 * SECOND, 0),
                        new Courier.MessageClass(
                                "once", Courier.Effect.UNSAFE, false, false, 2, 0.4, 2 * SECOND, 28 * SECOND, 0)),
                List.of(),
                List.of(new Courier.DestinationKind("std", false, 1)),
                new Courier.RuleParameters(10 * SECOND, COLD_CAPACITY_SHARE, WARMUP_US, OVERLOAD_MULTIPLE, 0),
                new Courier.Limits(8, 40, 8, true, 15 * SECOND, 1, 3 * SECOND));
    }

    private ControlFixture start(final int index, final int couriers, final long seed, final double listed) {
        final ControlFixture courier =
                new ControlFixture(settings(couriers), ControlFixture.seed(index + 1000 * (int) seed));
        courier.updateList(
                Courier.ListUpdate.FULL,
                new Courier.Endpoint(1, Courier.Condition.LISTED, "a", listed, 0, ControlFixture.DEST),
                new Courier.Endpoint(2, Courier.Condition.LISTED, "a", listed, 0, ControlFixture.DEST));
        return courier;
    }

    /** Uneven traffic: one courier in five has about four times the mean, the others share the rest. */
    private static double[] shares(final int couriers, final Random random) {
        final double[] shares = new double[couriers];
        double sum = 0;
        for (int index = 0; index < couriers; index++) {
            shares[index] = index % 5 == 0 ? 3 + 2 * random.nextDouble() : 0.1 + 0.3 * random.nextDouble();
            sum += shares[index];
        }
        for (int index = 0; index < couriers; index++) {
            shares[index] /= sum;
        }
        return shares;
    }

    /** The present capacity of the destination, as a share of its capacity when warm; 0 while it is down. */
    private static double capacityShare(final long atUs, final long upUs) {
        if (atUs >= DOWN_US && atUs < upUs) {
            return 0;
        }
        return atUs < DOWN_US
                ? 1
                : Math.min(1, COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * (atUs - upUs) / WARMUP_US);
    }

    private void receiveCalls(
            final int index,
            final ControlFixture courier,
            final long atUs,
            final double capacityShare,
            final boolean hangs) {
        for (int next = callsReceived.getOrDefault(index, 0); next < courier.sent.size(); next++) {
            final ControlFixture.Sent send = courier.sent.get(next);
            calls.add(new Call(atUs, sawOutage.contains(courier)));
            if (capacityShare == 0) {
                inFlight.add(new InFlight(
                        index,
                        send.id(),
                        hangs ? Math.min(atUs + send.timeoutUs(), Long.MAX_VALUE) : atUs + TICK_US,
                        hangs ? Courier.Result.TIMED_OUT : Courier.Result.NO_CONNECTION));
            } else if (availableCalls >= 1) {
                availableCalls--;
                inFlight.add(new InFlight(index, send.id(), atUs + CALL_US, Courier.Result.DELIVERED));
            } else {
                inFlight.add(new InFlight(index, send.id(), atUs + TICK_US, Courier.Result.REFUSED));
            }
        }
        callsReceived.put(index, courier.sent.size());
    }

    private void answer(final long atUs, final long upUs) {
        for (final InFlight call : List.copyOf(inFlight)) {
            if (call.untilUs() <= atUs) {
                inFlight.remove(call);
                final ControlFixture courier = fleet.get(call.courier());
                if (courier.sent.stream().anyMatch(send -> send.id().equals(call.id()))) {
                    courier.endAttempt(call.id(), call.result());
                    if (capacityShare(atUs, upUs) == 0) {
                        sawOutage.add(courier);
                    }
                }
            }
        }
    }

    /** Simulates a run; returns by how much the calls of the worst span exceed the overload number and the margin. */
    private double simulate(
            final int couriers,
            final long seed,
            final long downUs,
            final boolean hangs,
            final double listed,
            final boolean restarts) {
        final Random random = new Random(seed);
        final double[] shares = shares(couriers, random);
        for (int index = 0; index < couriers; index++) {
            fleet.add(start(index, couriers, seed, listed));
        }
        final long upUs = DOWN_US + downUs;
        int taken = 0;
        for (long atUs = 0; atUs < END_US; atUs += TICK_US) {
            final double capacityShare = capacityShare(atUs, upUs);
            availableCalls = Math.min(
                    CAPACITY * capacityShare / 2, availableCalls + CAPACITY * capacityShare * TICK_US / SECOND);
            answer(atUs, upUs);
            for (int index = 0; index < couriers; index++) {
                if (restarts && atUs == upUs - SECOND && index % 10 < 7) {
                    fleet.set(index, restarted(fleet.get(index), index, couriers, seed, listed));
                    callsReceived.put(index, 0);
                    final int gone = index;
                    inFlight.removeIf(call -> call.courier() == gone);
                }
                final ControlFixture courier = fleet.get(index);
                if (random.nextDouble() < 0.8 * LIMIT * shares[index] * TICK_US / SECOND) {
                    final int classIndex = taken % 5 < 3 ? 0 : 1;
                    courier.accept("m" + taken++, classIndex, null, classIndex == 0 ? 8 * SECOND : 28 * SECOND);
                }
                courier.advance(TICK_US);
                receiveCalls(index, courier, atUs, capacityShare, hangs);
            }
        }
        return worstExcess(upUs);
    }

    private ControlFixture restarted(
            final ControlFixture old, final int index, final int couriers, final long seed, final double listed) {
        final ControlFixture fresh = start(index + couriers, couriers, seed, listed);
        fresh.advance(old.nowUs - fresh.nowUs);
        return fresh;
    }

    private double worstExcess(final long upUs) {
        double worst = Double.NEGATIVE_INFINITY;
        // A span with a third of its calls from couriers that had not seen the outage does not count.
        for (long fromUs = upUs; fromUs < upUs + WARMUP_US; fromUs += 100_000) {
            final long from = fromUs;
            final List<Call> span = calls.stream()
                    .filter(call -> call.atUs() >= from && call.atUs() < from + OVERLOAD_SPAN_US)
                    .toList();
            final double budget =
                    OVERLOAD_MULTIPLE * CAPACITY * capacityShare(fromUs, upUs) * OVERLOAD_SPAN_US / SECOND;
            final long ours = span.stream().filter(Call::sawOutage).count();
            if (3 * ours > 2 * span.size()) {
                worst = Math.max(worst, span.size() - budget - 2 * Math.sqrt(budget) - 2);
            }
        }
        return worst;
    }

    @ParameterizedTest
    @CsvSource({
        "20, 3", "20, 5", "20, 12", "30, 3", "30, 5", "30, 12", "120, 3", "120, 5", "120, 12", "660, 3", "660, 5",
        "660, 12"
    })
    void callsOfAllCouriersStayUnderTheOverloadOfAColdDestination(final int couriers, final int downS) {
        for (final boolean hangs : new boolean[] {false, true}) {
            for (final boolean restarts : new boolean[] {false, true}) {
                for (int seed = 1; seed <= 6; seed++) {
                    final double listed = (0.5 + 0.5 * (seed % 3)) * LIMIT;
                    final double excess =
                            new FleetRampTest().simulate(couriers, seed, downS * SECOND, hangs, listed, restarts);
                    assertTrue(
                            excess <= 0,
                            () -> couriers + " couriers, down for " + downS + " s" + (hangs ? ", hung" : "")
                                    + (restarts ? ", seven in ten restarted" : "") + ": over by " + excess);
                }
            }
        }
    }
}
