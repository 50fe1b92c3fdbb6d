package org.granitepath.coordination.placement;

import org.granitepath.coordination.model.ActiveJob;

/** Measures how long a job with waiting tasks has gone without starting one. */
public final class StartDelay {
    /**
     * How long a job can be kept off free capacity, to save costs or to leave headroom for gangs. Users allow tasks to
     * wait 90 s while a machine has capacity for them.
     */
    public static final long MAX_WITH_FREE_CAPACITY_MICROS = 75_000_000;

    private StartDelay() {}

    /**
     * Returns the microseconds since the job's tasks began to wait or since one was last placed, whichever is later.
     */
    public static long delayMicros(ActiveJob job, long nowMicros) {
        return nowMicros
                - Math.max(
                        job.scheduling().waitingSinceMicros(), job.scheduling().lastStartMicros());
    }
}
