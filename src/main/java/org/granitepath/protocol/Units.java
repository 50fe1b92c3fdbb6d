package org.granitepath.protocol;

import org.granitepath.storage.Micros;

/**
 * Converts between external and internal units. The protocols and the settings use seconds and whole CPUs, GPUs and
 * gigabytes. The code uses integer microseconds and integer thousandths, so that sums are exact.
 */
public final class Units {
    private static final double THOUSANDTHS_PER_UNIT = 1000;
    /** In thousandths. A value that differs from an integer only by binary rounding error counts as that integer. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private Units() {}

    /** Converts seconds to microseconds, rounded to the nearest microsecond. */
    public static long secondsToMicros(double seconds) {
        return Math.round(seconds * Micros.PER_SECOND);
    }

    /** Converts microseconds to seconds. */
    public static double microsToSeconds(long micros) {
        return micros / (double) Micros.PER_SECOND;
    }

    /** Converts an offered amount to thousandths, rounded down so that no capacity is overestimated. */
    static long toThousandthsRoundedDown(double amount) {
        return (long) Math.floor(amount * THOUSANDTHS_PER_UNIT + ROUNDING_TOLERANCE);
    }

    /** Converts a requested amount to thousandths, rounded up so that a task gets at least what was requested. */
    static long toThousandthsRoundedUp(double amount) {
        return (long) Math.ceil(amount * THOUSANDTHS_PER_UNIT - ROUNDING_TOLERANCE);
    }
}
