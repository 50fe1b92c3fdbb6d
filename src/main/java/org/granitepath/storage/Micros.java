package org.granitepath.storage;

/** Microseconds, the unit of all times in the code, in other units of time. */
public final class Micros {
    /** Microseconds in a millisecond. */
    public static final long PER_MILLI = 1_000;
    /** Microseconds in a second. */
    public static final long PER_SECOND = 1_000_000;

    private Micros() {}
}
