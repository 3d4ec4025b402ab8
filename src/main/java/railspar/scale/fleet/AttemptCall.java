package railspar.scale.fleet;

/**
 * A call that a courier made.
 *
 * @param atUs when it left
 * @param courier who made it
 * @param order its number among the courier's calls
 * @param message what it carries
 * @param attempt its number among the message's attempts
 * @param destination the destination called
 * @param endpoint the endpoint called
 * @param endpointZone the zone that it lies in
 * @param timeoutUs how long the courier waits
 */
record AttemptCall(
        long atUs,
        int courier,
        long order,
        OpenMessage message,
        int attempt,
        long destination,
        long endpoint,
        String endpointZone,
        long timeoutUs) {}
