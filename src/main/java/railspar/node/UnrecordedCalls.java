package railspar.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongPredicate;
import railspar.Courier;

/**
 * Calls that were decided while the journal could not record their attempts. They are begun as soon as it can: each
 * attempt that is told as not sent counts as one of the few that a message has. A call is told as not sent once its
 * time-out or a message's time is up, or its endpoint may not be called any more.
 */
final class UnrecordedCalls {
    private final Clock clock;
    private final EndpointClient endpoints;
    private final Recorder recorder;
    private final LongPredicate mayCall;
    private final List<Waiting> waiting = new ArrayList<>();

    /** Records the attempts of a call. */
    interface Recorder {
        /** False while the journal cannot; those that it could stay recorded. */
        boolean record(long endpoint, List<MessageService.CallItem> parcels);
    }

    private record Waiting(long endpoint, List<MessageService.CallItem> parcels, EndpointClient.Call call) {
        /** Its messages that still wait for this call. */
        List<MessageService.CallItem> open() {
            return parcels.stream()
                    .filter(parcel -> parcel.message().isCurrentCall(call))
                    .toList();
        }

        boolean isDue(final long nowUs) {
            final long longestUs = parcels.stream()
                    .mapToLong(MessageService.CallItem::timeoutUs)
                    .max()
                    .orElse(0);
            return nowUs - call.sentUs() >= longestUs
                    || open().stream()
                            .anyMatch(parcel -> nowUs >= parcel.message().latestEndUs());
        }
    }

    /** {@code mayCall}: true for an endpoint that may get new calls. */
    UnrecordedCalls(
            final Clock clock, final EndpointClient endpoints, final Recorder recorder, final LongPredicate mayCall) {
        this.clock = clock;
        this.endpoints = endpoints;
        this.recorder = recorder;
        this.mayCall = mayCall;
    }

    /** A call that is decided, and not recorded as a whole. */
    void add(final long endpoint, final List<MessageService.CallItem> parcels, final EndpointClient.Call call) {
        waiting.add(new Waiting(endpoint, List.copyOf(parcels), call));
    }

    /** Begins what can be recorded now, and ends what has waited for too long. */
    void retry() {
        for (final Waiting one : List.copyOf(waiting)) {
            final List<MessageService.CallItem> open = one.open();
            if (open.isEmpty()) {
                waiting.remove(one);
            } else if (one.isDue(clock.nowUs()) || !mayCall.test(one.endpoint())) {
                notSent(one);
            } else if (recorder.record(one.endpoint(), open)) {
                waiting.remove(one);
                begin(one, open);
            }
        }
    }

    /** The call goes on as a new one, with what is left of its time. */
    private void begin(final Waiting one, final List<MessageService.CallItem> open) {
        final long waitedUs = clock.nowUs() - one.call().sentUs();
        final List<MessageService.CallItem> rest = open.stream()
                .map(parcel -> new MessageService.CallItem(
                        parcel.message(), parcel.timeoutUs() - waitedUs, parcel.writeDeadlineUs()))
                .toList();
        final EndpointClient.Call call = endpoints.prepareCall(one.endpoint(), rest);
        rest.forEach(parcel -> parcel.message().assignCall(call));
        endpoints.startCall(call);
    }

    /** These endpoints may not be called now: what waits for one of them is told as not sent. */
    void cancelUnsent(final LongPredicate bound) {
        List.copyOf(waiting).stream().filter(one -> bound.test(one.endpoint())).forEach(this::notSent);
    }

    private void notSent(final Waiting one) {
        waiting.remove(one);
        endpoints.abandonCall(one.call(), Courier.Result.NOT_SENT);
    }
}
