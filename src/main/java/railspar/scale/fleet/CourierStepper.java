package railspar.scale.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Steps couriers through a time slice on several threads; couriers do not interact within a slice. */
final class CourierStepper implements AutoCloseable {
    private final List<SimulatedCourier> couriers;
    private final int threads;
    private final ExecutorService executor;

    CourierStepper(final List<SimulatedCourier> couriers, final int threads) {
        this.couriers = couriers;
        this.threads = threads;
        this.executor = Executors.newFixedThreadPool(threads);
    }

    /** Simulates all couriers until this time. */
    void runUntil(final long untilUs) throws InterruptedException {
        final List<Callable<Void>> stripes = new ArrayList<>();
        for (int stripe = 0; stripe < threads; stripe++) {
            final int first = stripe;
            stripes.add(() -> {
                for (int index = first; index < couriers.size(); index += threads) {
                    couriers.get(index).runUntil(untilUs);
                }
                return null;
            });
        }
        for (final Future<Void> stripe : executor.invokeAll(stripes)) {
            await(stripe);
        }
    }

    private static void await(final Future<Void> stripe) throws InterruptedException {
        try {
            stripe.get();
        } catch (final ExecutionException e) {
            throw new IllegalStateException("the simulation of a courier failed: " + e.getCause(), e.getCause());
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
