package org.granitepath.coordination.term;

/**
 * Whether a term of leadership has ended. From then on the components of the term ignore their timers and the
 * answers to their calls.
 */
final class TermEnd {
    private boolean ended;

    /** Marks the term as ended. */
    void end() {
        ended = true;
    }

    /** Returns whether the term has ended. */
    boolean isEnded() {
        return ended;
    }
}
