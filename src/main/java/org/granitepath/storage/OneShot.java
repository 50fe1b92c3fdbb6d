package org.granitepath.storage;

/** Runs only the first of several competing actions, such as the handling of an answer and of its timeout. */
public final class OneShot {
    private boolean fired;

    /** Runs the action, unless an earlier action has run already. */
    public void fire(Runnable action) {
        if (!fired) {
            fired = true;
            action.run();
        }
    }

    /** Sets a timeout: runs the action after the delay, unless another action has run before. */
    public void fireAfter(Timers timers, long delayMicros, Runnable action) {
        timers.after(delayMicros, () -> fire(action));
    }
}
