package railspar.scale.fleet;

/** Fault injection: decides which answers of destinations are lost, to test that the consistency checks notice. */
@FunctionalInterface
interface AnswerLoss {
    /** No answer is lost. */
    AnswerLoss NONE = callNumber -> false;

    /** True if the courier gets neither the answer to this call nor its timeout. */
    boolean isLost(long callNumber);
}
