package railspar.scale.fleet;

/**
 * A call that a courier made for one attempt of a message.
 *
 * @param atUs when the courier sent it
 * @param courier index of the courier that sent it
 * @param order sequence number among the courier's calls
 * @param message the message that it delivers
 * @param attempt number of the attempt among those of the message, from 1
 * @param destination the destination called
 * @param endpoint the endpoint called
 * @param endpointZone the zone of that endpoint
 * @param timeoutUs how long the courier waits for an answer
 */
record AttemptCall(
        long sentUs,
        int courier,
        long sequence,
        OpenMessage message,
        int attempt,
        long destination,
        long endpoint,
        String endpointZone,
        long timeoutUs) {}
