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
 * A fleet of modules over one destination that fails and comes back cold: what all of them send together stays under
 * what tips it, N calls in the settings' time, and what chance may add, 2 x root of N + 2.
 */
final class FleetRampTest {
    private static final long SECOND = ControlFixture.SECOND;
    private static final long TICK_US = 20_000;
    private static final long CALL_US = 100_000;
    private static final long FALL_US = 2 * SECOND;
    private static final long COLD_US = 13 * SECOND;
    private static final double COLD_FROM = 0.18;
    private static final double TIP = 2.5;
    private static final double CAPACITY = 12;
    /** The limit that the list tells is the least share of the capacity that the settings' sites have. */
    private static final double LIMIT = CAPACITY / 1.2;

    private static final long DOWN_US = 15 * SECOND;
    private static final long END_US = 50 * SECOND;

    /** A call that is on its way at the destination. */
    private record Out(int courier, String id, long untilUs, Courier.Result result) {}

    /** A call that the destination saw, from a courier that had been told of the outage or not. */
    private record Call(long atUs, boolean told) {}

    private final List<ControlFixture> fleet = new ArrayList<>();
    private final Deque<Out> out = new ArrayDeque<>();
    private final Map<Integer, Integer> seen = new HashMap<>();
    private final List<Call> calls = new ArrayList<>();
    /** Those that had a call fail there during the outage. */
    private final Set<ControlFixture> told = new HashSet<>();

    private double room = CAPACITY;

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
                new Courier.RuleParameters(10 * SECOND, COLD_FROM, COLD_US, TIP, 0),
                new Courier.Limits(8, 40, 8, true, 15 * SECOND, 1, 3 * SECOND));
    }

    private ControlFixture begin(final int index, final int couriers, final long life, final double listed) {
        final ControlFixture one =
                new ControlFixture(settings(couriers), ControlFixture.seed(index + 1000 * (int) life));
        one.updateList(
                Courier.ListUpdate.FULL,
                new Courier.Endpoint(1, Courier.Condition.LISTED, "a", listed, 0, ControlFixture.DEST),
                new Courier.Endpoint(2, Courier.Condition.LISTED, "a", listed, 0, ControlFixture.DEST));
        return one;
    }

    /** Uneven traffic: one in five has four times the mean or so, the others share the rest. */
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

    /** What the destination can do, as a share of all it can do when warm; nothing while it is down. */
    private static double warmth(final long atUs, final long upUs) {
        if (atUs >= DOWN_US && atUs < upUs) {
            return 0;
        }
        return atUs < DOWN_US ? 1 : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (atUs - upUs) / COLD_US);
    }

    private void arriveAt(
            final int index, final ControlFixture one, final long atUs, final double warmth, final boolean hangs) {
        for (int next = seen.getOrDefault(index, 0); next < one.sent.size(); next++) {
            final ControlFixture.Sent send = one.sent.get(next);
            calls.add(new Call(atUs, told.contains(one)));
            if (warmth == 0) {
                out.add(new Out(
                        index,
                        send.id(),
                        hangs ? Math.min(atUs + send.timeoutUs(), Long.MAX_VALUE) : atUs + TICK_US,
                        hangs ? Courier.Result.TIMED_OUT : Courier.Result.NO_CONNECTION));
            } else if (room >= 1) {
                room--;
                out.add(new Out(index, send.id(), atUs + CALL_US, Courier.Result.DELIVERED));
            } else {
                out.add(new Out(index, send.id(), atUs + TICK_US, Courier.Result.REFUSED));
            }
        }
        seen.put(index, one.sent.size());
    }

    private void answer(final long atUs, final long upUs) {
        for (final Out call : List.copyOf(out)) {
            if (call.untilUs() <= atUs) {
                out.remove(call);
                final ControlFixture one = fleet.get(call.courier());
                if (one.sent.stream().anyMatch(send -> send.id().equals(call.id()))) {
                    one.endAttempt(call.id(), call.result());
                    if (warmth(atUs, upUs) == 0) {
                        told.add(one);
                    }
                }
            }
        }
    }

    /** Plays a day; the result is by how much the calls of the worst span exceed what tips it and chance. */
    private double play(
            final int couriers,
            final long seed,
            final long downUs,
            final boolean hangs,
            final double listed,
            final boolean restarts) {
        final Random random = new Random(seed);
        final double[] shares = shares(couriers, random);
        for (int index = 0; index < couriers; index++) {
            fleet.add(begin(index, couriers, seed, listed));
        }
        final long upUs = DOWN_US + downUs;
        int taken = 0;
        for (long atUs = 0; atUs < END_US; atUs += TICK_US) {
            final double warmth = warmth(atUs, upUs);
            room = Math.min(CAPACITY * warmth / 2, room + CAPACITY * warmth * TICK_US / SECOND);
            answer(atUs, upUs);
            for (int index = 0; index < couriers; index++) {
                if (restarts && atUs == upUs - SECOND && index % 10 < 7) {
                    fleet.set(index, restarted(fleet.get(index), index, couriers, seed, listed));
                    seen.put(index, 0);
                    final int gone = index;
                    out.removeIf(call -> call.courier() == gone);
                }
                final ControlFixture one = fleet.get(index);
                if (random.nextDouble() < 0.8 * LIMIT * shares[index] * TICK_US / SECOND) {
                    final int kind = taken % 5 < 3 ? 0 : 1;
                    one.accept("m" + taken++, kind, null, kind == 0 ? 8 * SECOND : 28 * SECOND);
                }
                one.advance(TICK_US);
                arriveAt(index, one, atUs, warmth, hangs);
            }
        }
        return worst(upUs);
    }

    private ControlFixture restarted(
            final ControlFixture old, final int index, final int couriers, final long seed, final double listed) {
        final ControlFixture fresh = begin(index + couriers, couriers, seed, listed);
        fresh.advance(old.nowUs - fresh.nowUs);
        return fresh;
    }

    private double worst(final long upUs) {
        double worst = Double.NEGATIVE_INFINITY;
        // Where a third came from couriers that had not been told, a fall is not theirs.
        for (long fromUs = upUs; fromUs < upUs + COLD_US; fromUs += 100_000) {
            final long from = fromUs;
            final List<Call> span = calls.stream()
                    .filter(call -> call.atUs() >= from && call.atUs() < from + FALL_US)
                    .toList();
            final double budget = TIP * CAPACITY * warmth(fromUs, upUs) * FALL_US / SECOND;
            final long ours = span.stream().filter(Call::told).count();
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
    void theCallsOfAllCouriersStayUnderWhatTipsAColdDestination(final int couriers, final int downS) {
        for (final boolean hangs : new boolean[] {false, true}) {
            for (final boolean restarts : new boolean[] {false, true}) {
                for (int seed = 1; seed <= 6; seed++) {
                    final double listed = (0.5 + 0.5 * (seed % 3)) * LIMIT;
                    final double over =
                            new FleetRampTest().play(couriers, seed, downS * SECOND, hangs, listed, restarts);
                    assertTrue(
                            over <= 0,
                            () -> couriers + " couriers, down for " + downS + " s" + (hangs ? ", hung" : "")
                                    + (restarts ? ", seven in ten restarted" : "") + ": over by " + over);
                }
            }
        }
    }
}
