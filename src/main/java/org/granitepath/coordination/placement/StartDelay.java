package org.granitepath.coordination.placement;

import org.granitepath.coordination.model.ActiveJob;

/** How long a job that has waiting tasks has gone without a start. */
public final class StartDelay {
    /**
     * How long a job may be kept from capacity that is free, whether to save costs or for gangs. The users allow 90 s
     * beside a machine with capacity.
     */
    public static final long MAX_WITH_FREE_CAPACITY_MICROS = 75_000_000;

    private StartDelay() {}

    /** Microseconds since its tasks began to wait or one of them was last placed, whichever came later. */
    public static long micros(ActiveJob job, long nowMicros) {
        return nowMicros
                - Math.max(
                        job.scheduling().waitingSinceMicros(), job.scheduling().lastStartMicros());
    }
}
