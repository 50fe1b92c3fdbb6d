package org.granitepath.storage;

/** One outcome for which several events race, such as an answer and its timeout: the first decides. */
public final class OneShot {
    private boolean fired;

    /** Runs the action, unless an earlier event has decided already. */
    public void fire(Runnable action) {
        if (!fired) {
            fired = true;
            action.run();
        }
    }

    /** Sets a timeout: fires with this action after the delay, unless another event is first. */
    public void fireAfter(Timers timers, long delayMicros, Runnable action) {
        timers.after(delayMicros, () -> fire(action));
    }
}
