package railspar.scale.standin;

/**
 * A courier's response to a submitted message.
 *
 * @param result what the response means for the message
 * @param status the HTTP status, or 0 without a response
 * @param retryAfterSeconds delay after which the client may retry, or 0 if none was given
 */
public record SubmissionResponse(Result result, int status, double retryAfterSeconds) {
    /** What a response means for the message. */
    public enum Result {
        /** The courier must deliver the message, or report its end in a notice. */
        ACCEPTED,
        /** The message may be submitted again. */
        REJECTED,
        /** Any other response. */
        FAILED,
        /** No response arrived in time, or the connection closed first. */
        NO_RESPONSE
    }

    static final SubmissionResponse NO_RESPONSE = new SubmissionResponse(Result.NO_RESPONSE, 0, 0);

    private static final int HTTP_OK = 200;
    private static final int HTTP_ACCEPTED = 202;
    private static final int HTTP_TOO_MANY_REQUESTS = 429;
    private static final int HTTP_SERVICE_UNAVAILABLE = 503;

    static SubmissionResponse of(final int status, final double retryAfterSeconds) {
        final Result result =
                switch (status) {
                    case HTTP_OK, HTTP_ACCEPTED -> Result.ACCEPTED;
                    case HTTP_TOO_MANY_REQUESTS, HTTP_SERVICE_UNAVAILABLE -> Result.REJECTED;
                    default -> Result.FAILED;
                };
        return new SubmissionResponse(result, status, retryAfterSeconds);
    }
}
