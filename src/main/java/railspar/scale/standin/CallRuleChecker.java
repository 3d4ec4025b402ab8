package railspar.scale.standin;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Checks the calls of couriers against the delivery rules and counts violations. Messages may be registered from any
 * thread; everything else runs on the thread that serves the calls.
 */
final class CallRuleChecker {
    /** How long after the start of a drain calls to the endpoint are still allowed. */
    static final Duration DRAIN_GRACE = Duration.ofMillis(250);

    /** Stands in place of a start time for endpoints that are not draining. */
    private static final Long NOT_DRAINING = Long.MAX_VALUE;

    /** All endpoints of one destination at one address. */
    private record EndpointGroup(long destination, InetSocketAddress address) {}

    private final Map<String, RegisteredMessage> registeredMessages = new ConcurrentHashMap<>();
    /** When each group of endpoints started to drain, or {@link #NOT_DRAINING}. */
    private final Map<EndpointGroup, Long> drainStartNs = new ConcurrentHashMap<>();

    /** Number of calls in progress for each message. */
    private final Map<String, Integer> callsInProgress = new HashMap<>();
    /** Non-idempotent messages that may have been executed. */
    private final Set<String> possiblyExecuted = new HashSet<>();

    private final Map<String, Long> latestSequenceOfKey = new HashMap<>();
    private long unknownMessages;
    private long wrongAddress;
    private long afterDrain;
    private long concurrentCopies;
    private long repeatedExecutions;
    private long outOfOrder;
    private long malformed;

    void register(final RegisteredMessage message) {
        registeredMessages.put(message.id(), message);
    }

    void forget(final String id) {
        registeredMessages.remove(id);
    }

    /** Records that the destination has an endpoint at the address. */
    void addEndpoint(final long destination, final InetSocketAddress address) {
        drainStartNs.put(new EndpointGroup(destination, address), NOT_DRAINING);
    }

    /** Marks all endpoints of the destination at the address as draining from now on. */
    void startDrain(final long destination, final InetSocketAddress address, final long nowNs) {
        drainStartNs.put(new EndpointGroup(destination, address), nowNs);
    }

    /** The registered message with the id; if there is none, counts a violation and returns null. */
    RegisteredMessage findMessage(final String id) {
        final RegisteredMessage message = id == null ? null : registeredMessages.get(id);
        if (message == null) {
            unknownMessages++;
        }
        return message;
    }

    void countMalformed() {
        malformed++;
    }

    /** Checks that the destination may be called at the address. */
    void checkAddress(final long destination, final InetSocketAddress address, final long nowNs) {
        final Long startNs = drainStartNs.get(new EndpointGroup(destination, address));
        if (startNs == null) {
            wrongAddress++;
        } else if (!startNs.equals(NOT_DRAINING) && nowNs - startNs > DRAIN_GRACE.toNanos()) {
            afterDrain++;
        }
    }

    /** Records that a call with the message has started, and checks its copies and its order. */
    void startCall(final RegisteredMessage message) {
        if (callsInProgress.merge(message.id(), 1, Integer::sum) > 1) {
            concurrentCopies++;
        }
        if (message.key() != null) {
            final Long latest = latestSequenceOfKey.get(message.key());
            if (latest != null && latest > message.sequence()) {
                outOfOrder++;
            } else {
                latestSequenceOfKey.put(message.key(), message.sequence());
            }
        }
    }

    /** Records that a message of a call in progress starts to execute. */
    void startExecution(final RegisteredMessage message) {
        if (!message.idempotent() && !possiblyExecuted.add(message.id())) {
            repeatedExecutions++;
        }
    }

    /** Records that a call with the message has ended: it was answered or abandoned. */
    void endCall(final RegisteredMessage message) {
        callsInProgress.computeIfPresent(message.id(), (id, calls) -> calls == 1 ? null : calls - 1);
    }

    CallViolations violations() {
        return new CallViolations(
                unknownMessages, wrongAddress, afterDrain, concurrentCopies, repeatedExecutions, outOfOrder, malformed);
    }
}
