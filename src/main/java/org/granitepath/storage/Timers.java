package org.granitepath.storage;

/** The steady clock and what is to happen later, all on the event loop. */
public interface Timers {
    /** Steady clock; only differences mean anything. */
    long nowMicros();

    /** Time of day, within the platform's stated bound. */
    long timeOfDayMicros();

    /** Runs the action once, after this long. */
    void after(long delayMicros, Runnable action);
}
