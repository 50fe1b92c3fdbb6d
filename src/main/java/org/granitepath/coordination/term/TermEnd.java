package org.granitepath.coordination.term;

/** Whether a term of leadership is over: then nothing of it acts any more, whatever timers and answers still come. */
final class TermEnd {
    private boolean ended;

    /** The term is over. */
    void end() {
        ended = true;
    }

    /** Whether the term is over. */
    boolean ended() {
        return ended;
    }
}
