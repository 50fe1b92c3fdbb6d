package org.granitepath.storage;

import java.util.List;

/** A machine type that the cloud launches. */
public record MachineType(
        String name,
        long cpuMillis,
        long gpuMillis,
        long memoryMillis,
        double fetchGbPerSecond,
        double price,
        double spotPrice,
        long bootMicros,
        List<String> zones) {

    /** Whether a task of this job fits an empty machine of this type. */
    public boolean canFit(JobSpec spec) {
        return spec.isTypeAllowed(name)
                && spec.cpuMillis() <= cpuMillis
                && spec.gpuMillis() <= gpuMillis
                && spec.memoryMillis() <= memoryMillis
                && (spec.zone() == null || zones.contains(spec.zone()));
    }

    /** How many tasks of this shape an empty machine holds. */
    public int slots(JobSpec spec) {
        return Math.min(slots(spec, cpuMillis, gpuMillis, memoryMillis), 1000);
    }

    /** How many tasks of this shape fit into so much capacity. */
    public static int slots(JobSpec spec, long cpu, long gpu, long memory) {
        long slots = Integer.MAX_VALUE;
        if (spec.cpuMillis() > 0) {
            slots = Math.min(slots, cpu / spec.cpuMillis());
        }
        if (spec.gpuMillis() > 0) {
            slots = Math.min(slots, gpu / spec.gpuMillis());
        }
        if (spec.memoryMillis() > 0) {
            slots = Math.min(slots, memory / spec.memoryMillis());
        }
        return (int) Math.max(0, slots);
    }

    /** The nominal price of an hour. */
    public double hourlyPrice(boolean spot) {
        return spot ? spotPrice : price;
    }
}
