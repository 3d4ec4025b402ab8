package railspar.scale.standin;

/**
 * What a courier answered to a message.
 *
 * @param result what that means
 * @param status the status, or 0 without an answer
 * @param retryAfterSeconds after how long the client may come again, or 0
 */
public record HandInAnswer(Result result, int status, double retryAfterSeconds) {
    /** What an answer means for the message. */
    public enum Result {
        /** The courier owes the message its end. */
        TAKEN_ON,
        /** It may be handed in again. */
        REFUSED,
        /** Any other answer. */
        FAILED,
        /** None came in time, or the connection ended first. */
        NO_ANSWER
    }

    static final HandInAnswer NONE = new HandInAnswer(Result.NO_ANSWER, 0, 0);

    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    static HandInAnswer of(final int status, final double retryAfterSeconds) {
        final Result result =
                switch (status) {
                    case OK, ACCEPTED -> Result.TAKEN_ON;
                    case TOO_MANY, UNAVAILABLE -> Result.REFUSED;
                    default -> Result.FAILED;
                };
        return new HandInAnswer(result, status, retryAfterSeconds);
    }
}
