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

/**
 * Records what happens in a soak run, in milliseconds of one monotonic clock, and checks it against the rules of the
 * protocol.
 */
final class SoakRecord {
    /** Calls to a draining endpoint are violations from this time after the courier was informed of the drain. */
    private static final long DRAIN_GRACE_MS = 250;
    /** How long a courier may be delayed between reading its clock and writing. */
    private static final long MAX_STALL_MS = 150;
    /** After this time at the latest, a change in discovery counts as known to the courier. */
    private static final long MAX_LIST_DELAY_MS = 6000;
    /** How long after its deadline a message may end: 300 ms, plus 50 ms for the sockets. */
    private static final long END_GRACE_MS = 350;
    /** No message is overdue until this long after a restarted courier is ready. */
    private static final long READY_GRACE_MS = 1500;
    /** Events on two connections may be observed in the wrong order within this time. */
    private static final long REORDERING_MS = 100;

    private static final Pattern NOTICE_ID = Pattern.compile("\"id\":\"([^\"]*)\"");
    /** The format of the message ids that {@link SoakClients} creates. */
    private static final Pattern MESSAGE_ID = Pattern.compile("(safe|once|turn|keyed|brief)-\\d+-\\d+");

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int ACCEPTED = 202;

    /** A call as seen by the endpoint; {@code status} is 0 if it was never answered. */
    record Call(String id, String endpoint, long atMs, int status) {}

    /** A message as seen by its client. */
    static final class Message {
        final String id;
        final String messageClass;
        final String key;
        final long sentMs;
        final long validUntilMs;
        /** The status of the response; 0 without a response. */
        volatile int status;

        volatile long answeredMs;

        Message(final String id, final String messageClass, final String key, final long sentMs, final long timeoutMs) {
            this.id = id;
            this.messageClass = messageClass;
            this.key = key;
            this.sentMs = sentMs;
            this.validUntilMs = sentMs + timeoutMs;
        }
    }

    private record Notice(String id, long atMs) {}

    /** A period in which the courier cannot be expected to end messages. */
    private record Outage(long fromMs, long toMs) {}

    private record Drain(String endpoint, long startMs) {}

    private record ListSent(long atMs) {}

    private final long startNs = System.nanoTime();
    private final Map<String, Message> messages = new ConcurrentHashMap<>();
    private final List<Call> calls = new CopyOnWriteArrayList<>();
    private final List<Notice> notices = new CopyOnWriteArrayList<>();
    private final List<Outage> outages = new CopyOnWriteArrayList<>();
    private final List<Long> launches = new CopyOnWriteArrayList<>();
    private final List<Drain> drains = new CopyOnWriteArrayList<>();
    private final List<ListSent> listsSent = new CopyOnWriteArrayList<>();
    private final List<String> directViolations = new CopyOnWriteArrayList<>();

    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }

    private long ms(final long ns) {
        return TimeUnit.NANOSECONDS.toMillis(ns - startNs);
    }

    void submitted(final Message message) {
        messages.put(message.id, message);
    }

    void called(final FakeServer.Request request, final String endpoint, final int status) {
        request.ids().forEach(id -> calls.add(new Call(id, endpoint, ms(request.atNs()), status)));
    }

    /** The ids of soak messages in a line of text. */
    static List<String> idsIn(final String line) {
        return MESSAGE_ID.matcher(line).results().map(MatchResult::group).toList();
    }

    /** Records the notices of a complete request to the platform. */
    void noticed(final String text) {
        final Matcher ids = NOTICE_ID.matcher(text);
        while (ids.find()) {
            notices.add(new Notice(ids.group(1), nowMs()));
        }
    }

    /** Records that no process was ready from the given time until now. */
    void restarted(final long fromMs) {
        outages.add(new Outage(fromMs, nowMs() + READY_GRACE_MS));
    }

    /** Records that the process was suspended until now: for messages due meanwhile the grace time starts now. */
    void suspended(final long fromMs) {
        if (nowMs() - fromMs > 2 * MAX_STALL_MS) {
            outages.add(new Outage(fromMs, nowMs() + END_GRACE_MS));
        }
    }

    /** Records that until now each request to the platform failed before it was complete. */
    void platformUnreachable(final long fromMs) {
        outages.add(new Outage(fromMs, nowMs() + END_GRACE_MS));
    }

    void launched() {
        launches.add(nowMs());
    }

    /** Records that the agent lists the endpoint as draining from now on. */
    void drainStarted(final String endpoint) {
        drains.add(new Drain(endpoint, nowMs()));
    }

    /** Records that the agent has sent its current list to the courier. */
    void listSent() {
        listsSent.add(new ListSent(nowMs()));
    }

    /** Records a violation that the run itself has seen. */
    void addViolation(final String what) {
        directViolations.add(nowMs() + " ms: " + what);
    }

    /** Number of accepted messages that are neither delivered nor ended, and are not overdue. */
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

    /** When a message must have ended. */
    private long dueMs(final Message message) {
        long dueMs = message.validUntilMs + END_GRACE_MS;
        for (final Outage outage : outages) {
            if (outage.fromMs() <= dueMs && dueMs < outage.toMs()) {
                dueMs = outage.toMs();
            }
        }
        return dueMs;
    }

    /** A line for each violation. */
    List<String> violations() {
        final List<String> violations = new ArrayList<>(directViolations);
        messages.values().forEach(message -> check(message, violations));
        checkKeys(violations);
        drains.forEach(drain -> check(drain, violations));
        return violations;
    }

    private List<Call> callsOf(final Message message) {
        return calls.stream().filter(call -> call.id().equals(message.id)).toList();
    }

    private void check(final Message message, final List<String> violations) {
        final List<Call> callsOfMessage = callsOf(message);
        if (message.status == ACCEPTED) {
            checkEnd(message, callsOfMessage, violations);
        } else if (message.status == UNAVAILABLE || message.status == 429) {
            callsOfMessage.stream()
                    .filter(call -> call.atMs() > message.answeredMs + REORDERING_MS)
                    .forEach(call -> violations.add(
                            "rejected with " + message.status + " but sent at " + call.atMs() + " ms: " + message.id));
        }
        final List<Call> effectiveCalls = callsOfMessage.stream()
                .filter(call -> call.status() != UNAVAILABLE)
                .toList();
        if (message.messageClass.equals("once") || message.messageClass.equals("turn")) {
            if (effectiveCalls.size() > 1) {
                violations.add("not idempotent but may have taken effect " + effectiveCalls.size() + " times: "
                        + message.id + " " + callsOfMessage);
            }
        } else if (message.messageClass.equals("brief") && !effectiveCalls.isEmpty()) {
            final long untilMs = effectiveCalls.get(0).atMs() + CourierProcessFixture.BRIEF_WINDOW_MS + MAX_STALL_MS;
            callsOfMessage.stream()
                    .filter(call -> call.atMs() > untilMs)
                    .forEach(call -> violations.add(
                            "sent after the deduplication window of its key: " + message.id + " " + callsOfMessage));
        }
    }

    private void checkEnd(final Message message, final List<Call> callsOfMessage, final List<String> violations) {
        final long dueMs = dueMs(message);
        final boolean delivered = callsOfMessage.stream().anyMatch(call -> call.status() == OK);
        final List<Notice> endNotices = notices.stream()
                .filter(notice -> notice.id().equals(message.id))
                .toList();
        if (!delivered && endNotices.isEmpty() && nowMs() > dueMs) {
            violations.add("lost: " + message.id + " submitted at " + message.sentMs + " ms, due at " + dueMs + " ms");
        } else if (!delivered && !endNotices.isEmpty() && endNotices.get(0).atMs() > dueMs) {
            violations.add("late: " + message.id + " due at " + dueMs + " ms, notice at "
                    + endNotices.get(0).atMs() + " ms");
        }
        if (!endNotices.isEmpty()) {
            callsOfMessage.stream()
                    .filter(call -> call.atMs() > endNotices.get(0).atMs() + REORDERING_MS)
                    .forEach(call -> violations.add("ended at "
                            + endNotices.get(0).atMs() + " ms but sent at " + call.atMs() + " ms: " + message.id));
        }
    }

    /** Checks that messages with the same key are sent in the order of their submission. */
    private void checkKeys(final List<String> violations) {
        final Map<String, Long> lastSubmissionMs = new HashMap<>();
        final Map<String, String> lastId = new HashMap<>();
        calls.stream()
                .sorted((one, other) -> Long.compare(one.atMs(), other.atMs()))
                .forEach(call -> {
                    final Message message = messages.get(call.id());
                    if (message == null) {
                        violations.add("sent a message that no client submitted: " + call);
                    } else if (message.key != null && message.status == ACCEPTED) {
                        if (lastSubmissionMs.getOrDefault(message.key, -1L) > message.sentMs) {
                            violations.add("out of order: " + message.id + " after " + lastId.get(message.key));
                        }
                        lastSubmissionMs.merge(message.key, message.sentMs, Math::max);
                        lastId.put(message.key, message.id);
                    }
                });
    }

    private void check(final Drain drain, final List<String> violations) {
        final long boundMs = DRAIN_GRACE_MS + MAX_STALL_MS;
        for (final Call call : calls) {
            if (!call.endpoint().equals(drain.endpoint()) || call.atMs() <= drain.startMs()) {
                continue;
            }
            final long launchMs = launches.stream()
                    .mapToLong(Long::longValue)
                    .filter(at -> at <= call.atMs())
                    .max()
                    .orElse(0);
            final long listSentMs = listsSent.stream()
                    .mapToLong(ListSent::atMs)
                    .filter(at -> at >= Math.max(launchMs, drain.startMs()))
                    .min()
                    .orElse(Long.MAX_VALUE);
            final long knownMs =
                    launchMs > drain.startMs() ? launchMs : Math.min(listSentMs, drain.startMs() + MAX_LIST_DELAY_MS);
            if (call.atMs() > knownMs + boundMs) {
                violations.add("sent to " + drain.endpoint() + " at " + call.atMs()
                        + " ms, although its drain was known since " + knownMs + " ms: " + call.id());
            }
        }
    }

    /** Counts of messages by response status, calls, notices and processes. */
    String summary() {
        final Map<Integer, Integer> answers = new java.util.TreeMap<>();
        messages.values().forEach(message -> answers.merge(message.status, 1, Integer::sum));
        return "messages by answer " + answers + ", calls " + calls.size() + ", notices " + notices.size()
                + ", processes " + launches.size();
    }
}
