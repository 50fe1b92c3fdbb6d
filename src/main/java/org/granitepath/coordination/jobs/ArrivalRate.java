package org.granitepath.coordination.jobs;

import org.granitepath.coordination.model.ActiveJob;

/** How fast live services arrive, as a fading average. */
public final class ArrivalRate {
    private static final double MEMORY_MICROS = 60e6;

    private double rate;
    private long atMicros;
    private ActiveJob newest;

    void accepted(ActiveJob job, long now) {
        if (job.isLive()) {
            rate = cpuPerMicro(now) + job.spec().tasks() * (double) job.spec().cpuMillis() / MEMORY_MICROS;
            atMicros = now;
            newest = job;
        }
    }

    /** Thousandths of a CPU that arrive in a microsecond. */
    public double cpuPerMicro(long now) {
        return rate * Math.exp((atMicros - now) / MEMORY_MICROS);
    }

    /** An example of what arrives; null when nothing has. */
    public ActiveJob newest() {
        return newest;
    }
}
