package org.granitepath.coordination.jobs;

import org.granitepath.coordination.model.ActiveJob;
import org.jspecify.annotations.Nullable;

/** How fast live services arrive, as an average that fades within about a minute. */
public final class ArrivalRate {
    private static final double MEMORY_MICROS = 60e6;

    private double cpuPerMicroThen;
    private long lastArrivalMicros;
    private @Nullable ActiveJob newest;

    /** A job was accepted; only live services count. */
    void accepted(ActiveJob job, long nowMicros) {
        if (job.isLiveService()) {
            double arrivedCpu = job.spec().tasks() * (double) job.spec().cpuMillis();
            cpuPerMicroThen = cpuMillisPerMicro(nowMicros) + arrivedCpu / MEMORY_MICROS;
            lastArrivalMicros = nowMicros;
            newest = job;
        }
    }

    /** Thousandths of a CPU that arrive in a microsecond. */
    public double cpuMillisPerMicro(long nowMicros) {
        return cpuPerMicroThen * Math.exp((lastArrivalMicros - nowMicros) / MEMORY_MICROS);
    }

    /** An example of what arrives; null when nothing has. */
    public @Nullable ActiveJob newestJob() {
        return newest;
    }
}
