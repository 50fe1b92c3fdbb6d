package org.granitepath.coordination.config;

/**
 * Time limits of the protocol between workers and controllers.
 *
 * @param heartbeatIntervalMicros interval between the heartbeats of a worker, which varies by up to a quarter
 * @param leaseMicros a worker that has received no answer for this long ends all its tasks
 * @param cancellationTimeoutMicros all tasks of a job must be gone within this time after a confirmed cancellation
 * @param gangWaitTimeoutMicros how long a task of a gang waits for the other tasks before it exits
 * @param gangPeerLossDetectionMicros the tasks of a gang notice within this time that one of them is gone or was told
 *     to stop
 */
public record WorkerTiming(
        long heartbeatIntervalMicros,
        long leaseMicros,
        long cancellationTimeoutMicros,
        long gangWaitTimeoutMicros,
        long gangPeerLossDetectionMicros) {
    /** Safety margin for every time limit that another machine measures with its clock. */
    public static final long CLOCK_MARGIN_MICROS = 1_500_000;

    /** A leader must be able to work for at least this long between one answer from the store and the next. */
    public static final long MIN_DISCONNECTED_MICROS = 1_000_000;

    /**
     * Returns the time on the local monotonic clock after which {@code micros} have passed on another machine's
     * monotonic clock, even if that clock is slower than the local one by about one part in 900.
     */
    public static long withClockDrift(long micros) {
        return micros + micros / 900;
    }

    /** Returns the longest possible time from the last answer that a worker received to the end of its lease. */
    public long maxLeaseMicros() {
        return withClockDrift(leaseMicros) + CLOCK_MARGIN_MICROS;
    }

    /**
     * Returns how long a leader that is out of contact with the store keeps answering workers. A cancellation that the
     * leader cannot see must still take effect by the end of the workers' leases. Settings that leave less than
     * {@link #MIN_DISCONNECTED_MICROS} are rejected.
     */
    public long maxDisconnectedMicros() {
        return cancellationTimeoutMicros - withClockDrift(leaseMicros) - 2 * CLOCK_MARGIN_MICROS;
    }
}
