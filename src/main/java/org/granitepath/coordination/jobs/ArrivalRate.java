package org.granitepath.coordination.jobs;

import org.granitepath.coordination.model.ActiveJob;
import org.jspecify.annotations.Nullable;

/** How fast live services arrive, as an average that fades within about a minute. */
public final class ArrivalRate {
    private static final double DECAY_MICROS = 60e6;

    private double cpuMillisPerMicroAtLastArrival;
    private long lastArrivalMicros;
    private @Nullable ActiveJob newestJob;

    /** A job was accepted; only live services count. */
    void recordArrival(ActiveJob job, long nowMicros) {
        if (job.isLiveService()) {
            double arrivedCpu = job.spec().tasks() * (double) job.spec().cpuMillis();
            cpuMillisPerMicroAtLastArrival = cpuMillisPerMicro(nowMicros) + arrivedCpu / DECAY_MICROS;
            lastArrivalMicros = nowMicros;
            newestJob = job;
        }
    }

    /** Thousandths of a CPU that arrive in a microsecond. */
    public double cpuMillisPerMicro(long nowMicros) {
        return cpuMillisPerMicroAtLastArrival * Math.exp((lastArrivalMicros - nowMicros) / DECAY_MICROS);
    }

    /** An example of what arrives; null when nothing has. */
    public @Nullable ActiveJob newestJob() {
        return newestJob;
    }
}
