package railspar.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongPredicate;
import railspar.Courier;

/**
 * Calls that were decided while the journal could not record their attempts. They wait and are started once it can,
 * because each attempt that is reported as not sent uses up one of a message's few attempts. A call is reported as not
 * sent when its timeout or the time of one of its messages has passed, or when its endpoint may no longer be called.
 */
final class UnrecordedCalls {
    private final Clock clock;
    private final EndpointClient endpoints;
    private final Recorder recorder;
    private final LongPredicate mayCall;
    private final List<WaitingCall> waiting = new ArrayList<>();

    /** Records the attempts of a call. */
    interface Recorder {
        /** False if the journal could not record all of them; those that it did record stay recorded. */
        boolean record(long endpoint, List<MessageService.CallItem> items);
    }

    private record WaitingCall(long endpoint, List<MessageService.CallItem> items, EndpointClient.Call call) {
        /** The messages that still wait for this call. */
        List<MessageService.CallItem> openItems() {
            return items.stream()
                    .filter(item -> item.message().isCurrentCall(call))
                    .toList();
        }

        boolean hasExpired(final long nowUs) {
            final long timeoutUs = items.stream()
                    .mapToLong(MessageService.CallItem::timeoutUs)
                    .max()
                    .orElse(0);
            return nowUs - call.sentUs() >= timeoutUs
                    || openItems().stream()
                            .anyMatch(item -> nowUs >= item.message().latestEndUs());
        }
    }

    /** {@code mayCall} is true for an endpoint that may get new calls. */
    UnrecordedCalls(
            final Clock clock, final EndpointClient endpoints, final Recorder recorder, final LongPredicate mayCall) {
        this.clock = clock;
        this.endpoints = endpoints;
        this.recorder = recorder;
        this.mayCall = mayCall;
    }

    /** Adds a call whose attempts could not all be recorded. */
    void add(final long endpoint, final List<MessageService.CallItem> items, final EndpointClient.Call call) {
        waiting.add(new WaitingCall(endpoint, List.copyOf(items), call));
    }

    /** Starts the calls that can be recorded now, and ends those that have waited too long. */
    void retry() {
        for (final WaitingCall waitingCall : List.copyOf(waiting)) {
            final List<MessageService.CallItem> openItems = waitingCall.openItems();
            if (openItems.isEmpty()) {
                waiting.remove(waitingCall);
            } else if (waitingCall.hasExpired(clock.nowUs()) || !mayCall.test(waitingCall.endpoint())) {
                reportNotSent(waitingCall);
            } else if (recorder.record(waitingCall.endpoint(), openItems)) {
                waiting.remove(waitingCall);
                startAsNewCall(waitingCall, openItems);
            }
        }
    }

    /** Starts a new call in place of the waiting one, with the time that is left. */
    private void startAsNewCall(final WaitingCall waitingCall, final List<MessageService.CallItem> openItems) {
        final long waitedUs = clock.nowUs() - waitingCall.call().sentUs();
        final List<MessageService.CallItem> remaining = openItems.stream()
                .map(item -> new MessageService.CallItem(
                        item.message(), item.timeoutUs() - waitedUs, item.writeDeadlineUs()))
                .toList();
        final EndpointClient.Call call = endpoints.prepareCall(waitingCall.endpoint(), remaining);
        remaining.forEach(item -> item.message().assignCall(call));
        endpoints.startCall(call);
    }

    /** Reports the waiting calls to endpoints that may not be called now as not sent. */
    void cancelUnsent(final LongPredicate affected) {
        List.copyOf(waiting).stream()
                .filter(waitingCall -> affected.test(waitingCall.endpoint()))
                .forEach(this::reportNotSent);
    }

    private void reportNotSent(final WaitingCall waitingCall) {
        waiting.remove(waitingCall);
        endpoints.abandonCall(waitingCall.call(), Courier.Result.NOT_SENT);
    }
}
