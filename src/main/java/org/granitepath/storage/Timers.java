package org.granitepath.storage;

/** The clocks and the delayed actions of the event loop. */
public interface Timers {
    /** Returns the time of the steady clock, in microseconds; only differences between two times have a meaning. */
    long nowMicros();

    /** Returns the time of day, in microseconds, accurate to the bound that the platform states. */
    long timeOfDayMicros();

    /** Runs the action once on the event loop, after the delay. */
    void after(long delayMicros, Runnable action);
}
