package org.granitepath.coordination.jobs;

import org.granitepath.coordination.model.ActiveJob;
import org.jspecify.annotations.Nullable;

/** The arrival rate of live services, as an average that decays exponentially within about a minute. */
public final class ArrivalRate {
    /** Arrivals lose weight by a factor of e in this time. */
    private static final double DECAY_MICROS = 60e6;

    private double cpuMillisPerMicroAtLastArrival;
    private long lastArrivalMicros;
    private @Nullable ActiveJob newestJob;

    /** Records an accepted job. Jobs other than live services do not count. */
    void recordArrival(ActiveJob job, long nowMicros) {
        if (job.isLiveService()) {
            double arrivedCpuMillis = job.spec().tasks() * (double) job.spec().cpuMillis();
            cpuMillisPerMicroAtLastArrival = cpuMillisPerMicro(nowMicros) + arrivedCpuMillis / DECAY_MICROS;
            lastArrivalMicros = nowMicros;
            newestJob = job;
        }
    }

    /** Returns the rate at which CPU demand arrives, in thousandths of a CPU per microsecond. */
    public double cpuMillisPerMicro(long nowMicros) {
        return cpuMillisPerMicroAtLastArrival * Math.exp((lastArrivalMicros - nowMicros) / DECAY_MICROS);
    }

    /** Returns the live service that arrived last, as an example of what arrives, or null if none has arrived. */
    public @Nullable ActiveJob newestJob() {
        return newestJob;
    }
}
