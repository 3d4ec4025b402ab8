package railspar.scale.fleet;

/** Which answers of destinations the emulator loses, by a fault put in on purpose; a test of the sums. */
@FunctionalInterface
interface AnswerLoss {
    /** Nothing is lost. */
    AnswerLoss NONE = callNumber -> false;

    /** True for an answer that never reaches its courier, nor does the end of the wait for it. */
    boolean loses(long callNumber);
}
