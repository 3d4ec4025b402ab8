package railspar.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What a soak saw, on one monotonic clock in milliseconds, and which of the protocol's rules that breaks. */
final class SoakRecord {
    /** A drain binds so long after it counts as told. */
    private static final long DRAIN_GRACE_MS = 250;
    /** A courier may be held up so long between reading its clock and writing. */
    private static final long HELD_UP_MS = 150;
    /** When what discovery has to tell counts as told at the latest. */
    private static final long TOLD_MS = 6000;
    /** How late an end may come: 300 ms, and 50 ms on sockets. */
    private static final long END_GRACE_MS = 350;
    /** Nothing is overdue until so long after a courier is ready again. */
    private static final long READY_GRACE_MS = 1500;
    /** What crosses on two connections may be seen here in another order. */
    private static final long CROSSING_MS = 100;

    private static final Pattern NOTICE_ID = Pattern.compile("\"id\":\"([^\"]*)\"");
    /** As {@link SoakClients} names them. */
    private static final Pattern MESSAGE_ID = Pattern.compile("(safe|once|turn|keyed|brief)-\\d+-\\d+");

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int ACCEPTED = 202;

    /** A call as its endpoint saw it; {@code status} 0: it was never answered. */
    record Call(String id, String endpoint, long atMs, int status) {}

    /** A message as its client saw it. */
    static final class Message {
        final String id;
        final String kind;
        final String key;
        final long sentMs;
        final long validUntilMs;
        /** 0 while there is no answer, or where none came. */
        volatile int status;

        volatile long answeredMs;

        Message(final String id, final String kind, final String key, final long sentMs, final long timeoutMs) {
            this.id = id;
            this.kind = kind;
            this.key = key;
            this.sentMs = sentMs;
            this.validUntilMs = sentMs + timeoutMs;
        }
    }

    private record Notice(String id, long atMs) {}

    /** A span in which nothing can be expected of the courier. */
    private record Absence(long fromMs, long toMs) {}

    private record Drain(String endpoint, long availableMs) {}

    private record Told(long atMs) {}

    private final long beginNs = System.nanoTime();
    private final Map<String, Message> messages = new ConcurrentHashMap<>();
    private final List<Call> calls = new CopyOnWriteArrayList<>();
    private final List<Notice> notices = new CopyOnWriteArrayList<>();
    private final List<Absence> absences = new CopyOnWriteArrayList<>();
    private final List<Long> launches = new CopyOnWriteArrayList<>();
    private final List<Drain> drains = new CopyOnWriteArrayList<>();
    private final List<Told> told = new CopyOnWriteArrayList<>();
    private final List<String> faults = new CopyOnWriteArrayList<>();

    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beginNs);
    }

    private long ms(final long ns) {
        return TimeUnit.NANOSECONDS.toMillis(ns - beginNs);
    }

    void handedIn(final Message message) {
        messages.put(message.id, message);
    }

    void called(final FakeServer.Request request, final String endpoint, final int status) {
        request.ids().forEach(id -> calls.add(new Call(id, endpoint, ms(request.atNs()), status)));
    }

    /** The messages of soaks that a line of text names. */
    static List<String> idsIn(final String line) {
        return MESSAGE_ID.matcher(line).results().map(MatchResult::group).toList();
    }

    /** A request with notices has come whole. */
    void noticed(final String text) {
        final Matcher ids = NOTICE_ID.matcher(text);
        while (ids.find()) {
            notices.add(new Notice(ids.group(1), nowMs()));
        }
    }

    /** From then until now no process was ready. */
    void restarted(final long fromMs) {
        absences.add(new Absence(fromMs, nowMs() + READY_GRACE_MS));
    }

    /** From then until now the process stood still: an end that was due meanwhile has its grace from now on. */
    void stoodStill(final long fromMs) {
        if (nowMs() - fromMs > 2 * HELD_UP_MS) {
            absences.add(new Absence(fromMs, nowMs() + END_GRACE_MS));
        }
    }

    /** From then until now every request to the platform failed before it was whole. */
    void unreachable(final long fromMs) {
        absences.add(new Absence(fromMs, nowMs() + END_GRACE_MS));
    }

    void launched() {
        launches.add(nowMs());
    }

    /** From now on the agent has it that an endpoint drains. */
    void drains(final String endpoint) {
        drains.add(new Drain(endpoint, nowMs()));
    }

    /** The agent has written its list as it is now to the courier. */
    void told() {
        told.add(new Told(nowMs()));
    }

    /** Something that no courier may do. */
    void fault(final String what) {
        faults.add(nowMs() + " ms: " + what);
    }

    /** Messages that were taken on and have neither been delivered nor ended, and need not have yet. */
    long pending() {
        final long nowMs = nowMs();
        return messages.values().stream()
                .filter(message -> message.status == ACCEPTED && !isEnded(message) && dueMs(message) > nowMs)
                .count();
    }

    private boolean isEnded(final Message message) {
        return calls.stream().anyMatch(call -> call.id().equals(message.id) && call.status() == OK)
                || notices.stream().anyMatch(notice -> notice.id().equals(message.id));
    }

    /** When a message must have its end. */
    private long dueMs(final Message message) {
        long dueMs = message.validUntilMs + END_GRACE_MS;
        for (final Absence absence : absences) {
            if (absence.fromMs() <= dueMs && dueMs < absence.toMs()) {
                dueMs = absence.toMs();
            }
        }
        return dueMs;
    }

    /** A line for each broken rule. */
    List<String> violations() {
        final List<String> found = new ArrayList<>(faults);
        messages.values().forEach(message -> check(message, found));
        checkKeys(found);
        drains.forEach(drain -> check(drain, found));
        return found;
    }

    private List<Call> callsOf(final Message message) {
        return calls.stream().filter(call -> call.id().equals(message.id)).toList();
    }

    private void check(final Message message, final List<String> found) {
        final List<Call> own = callsOf(message);
        if (message.status == ACCEPTED) {
            checkEnd(message, own, found);
        } else if (message.status == UNAVAILABLE || message.status == 429) {
            own.stream()
                    .filter(call -> call.atMs() > message.answeredMs + CROSSING_MS)
                    .forEach(call -> found.add(
                            "refused with " + message.status + " and sent at " + call.atMs() + " ms: " + message.id));
        }
        final List<Call> mayHaveRun =
                own.stream().filter(call -> call.status() != UNAVAILABLE).toList();
        if (message.kind.equals("once") || message.kind.equals("turn")) {
            if (mayHaveRun.size() > 1) {
                found.add("unsafe and may have run " + mayHaveRun.size() + " times: " + message.id + " " + own);
            }
        } else if (message.kind.equals("brief") && !mayHaveRun.isEmpty()) {
            final long untilMs = mayHaveRun.get(0).atMs() + CourierProcessFixture.BRIEF_WINDOW_MS + HELD_UP_MS;
            own.stream()
                    .filter(call -> call.atMs() > untilMs)
                    .forEach(call -> found.add("sent behind its key's window: " + message.id + " " + own));
        }
    }

    private void checkEnd(final Message message, final List<Call> own, final List<String> found) {
        final long dueMs = dueMs(message);
        final boolean delivered = own.stream().anyMatch(call -> call.status() == OK);
        final List<Notice> ends = notices.stream()
                .filter(notice -> notice.id().equals(message.id))
                .toList();
        if (!delivered && ends.isEmpty() && nowMs() > dueMs) {
            found.add("lost: " + message.id + " handed in at " + message.sentMs + " ms, due at " + dueMs + " ms");
        } else if (!delivered && !ends.isEmpty() && ends.get(0).atMs() > dueMs) {
            found.add("late: " + message.id + " due at " + dueMs + " ms, told at "
                    + ends.get(0).atMs() + " ms");
        }
        if (!ends.isEmpty()) {
            own.stream()
                    .filter(call -> call.atMs() > ends.get(0).atMs() + CROSSING_MS)
                    .forEach(call -> found.add("ended at " + ends.get(0).atMs() + " ms and sent at " + call.atMs()
                            + " ms: " + message.id));
        }
    }

    /** The messages of a key are sent in the order in which they were handed in. */
    private void checkKeys(final List<String> found) {
        final Map<String, Long> last = new HashMap<>();
        final Map<String, String> lastId = new HashMap<>();
        calls.stream()
                .sorted((one, other) -> Long.compare(one.atMs(), other.atMs()))
                .forEach(call -> {
                    final Message message = messages.get(call.id());
                    if (message == null) {
                        found.add("sent what no client handed in: " + call);
                    } else if (message.key != null && message.status == ACCEPTED) {
                        if (last.getOrDefault(message.key, -1L) > message.sentMs) {
                            found.add("out of order: " + message.id + " behind " + lastId.get(message.key));
                        }
                        last.merge(message.key, message.sentMs, Math::max);
                        lastId.put(message.key, message.id);
                    }
                });
    }

    private void check(final Drain drain, final List<String> found) {
        final long boundMs = DRAIN_GRACE_MS + HELD_UP_MS;
        for (final Call call : calls) {
            if (!call.endpoint().equals(drain.endpoint()) || call.atMs() <= drain.availableMs()) {
                continue;
            }
            final long launchMs = launches.stream()
                    .mapToLong(Long::longValue)
                    .filter(at -> at <= call.atMs())
                    .max()
                    .orElse(0);
            final long writtenMs = told.stream()
                    .mapToLong(Told::atMs)
                    .filter(at -> at >= Math.max(launchMs, drain.availableMs()))
                    .min()
                    .orElse(Long.MAX_VALUE);
            final long toldMs =
                    launchMs > drain.availableMs() ? launchMs : Math.min(writtenMs, drain.availableMs() + TOLD_MS);
            if (call.atMs() > toldMs + boundMs) {
                found.add("sent to " + drain.endpoint() + " at " + call.atMs() + " ms, its drain was told at " + toldMs
                        + " ms: " + call.id());
            }
        }
    }

    /** How much was played, in a few words. */
    String summary() {
        final Map<Integer, Integer> answers = new java.util.TreeMap<>();
        messages.values().forEach(message -> answers.merge(message.status, 1, Integer::sum));
        return "messages by answer " + answers + ", calls " + calls.size() + ", notices " + notices.size()
                + ", processes " + launches.size();
    }
}
