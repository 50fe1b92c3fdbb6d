package org.granitepath.coordination.config;

/**
 * The times by which workers and controllers deal with one another.
 *
 * @param heartbeatIntervalMicros a worker sends a heartbeat this often, give or take a quarter
 * @param leaseMicros a worker that has had no answer for so long ends all its tasks
 * @param cancellationTimeoutMicros after a confirmed cancellation all tasks of the job must be gone within this time
 * @param gangWaitTimeoutMicros how long a task of a gang waits for the others before it exits
 * @param gangPeerLossDetectionMicros within this time the tasks of a gang notice that one of them is gone or was told to stop
 */
public record WorkerTiming(
        long heartbeatIntervalMicros,
        long leaseMicros,
        long cancellationTimeoutMicros,
        long gangWaitTimeoutMicros,
        long gangPeerLossDetectionMicros) {
    /** A margin on everything timed by another machine's clock. */
    public static final long CLOCK_MARGIN_MICROS = 1_500_000;

    /** A leader must be able to go from one word of the store to the next. */
    public static final long MIN_DISCONNECTED_MICROS = 1_000_000;

    /** {@code micros} on another machine's steady clock is over on ours after this long. */
    public static long withClockDrift(long micros) {
        return micros + micros / 900;
    }

    /** From the last answer that a worker may have had to the end of its lease, at the latest. */
    public long maxLeaseMicros() {
        return withClockDrift(leaseMicros) + CLOCK_MARGIN_MICROS;
    }

    /**
     * How long a leader out of contact with the store goes on answering workers: a cancellation that it can't
     * see must still take effect by the end of the workers' lease. Settings that leave less than
     * {@link #MIN_DISCONNECTED_MICROS} are refused.
     */
    public long maxDisconnectedMicros() {
        return cancellationTimeoutMicros - withClockDrift(leaseMicros) - 2 * CLOCK_MARGIN_MICROS;
    }
}
