package org.granitepath.protocol;

/**
 * The units of the wire and of settings, which are seconds and whole CPUs, GPUs and gigabytes, in those of the code:
 * whole microseconds, and whole thousandths, so that sums are exact.
 */
public final class Units {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double THOUSANDTHS_PER_UNIT = 1000;
    /** In thousandths: what is a whole number but for the error of binary fractions is not rounded to the next one. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private Units() {}

    /** Seconds in microseconds, rounded to the nearest. */
    public static long secondsToMicros(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }

    /** Microseconds in seconds. */
    public static double microsToSeconds(long micros) {
        return micros / MICROS_PER_SECOND;
    }

    /** An amount in thousandths, rounded down: what is offered is not taken for more than it is. */
    static long toThousandthsRoundedDown(double amount) {
        return (long) Math.floor(amount * THOUSANDTHS_PER_UNIT + ROUNDING_TOLERANCE);
    }

    /** An amount in thousandths, rounded up: who asks for it gets no less. */
    static long toThousandthsRoundedUp(double amount) {
        return (long) Math.ceil(amount * THOUSANDTHS_PER_UNIT - ROUNDING_TOLERANCE);
    }
}
