package org.granitepath.storage;

import java.util.List;

/**
 * A machine type that the cloud launches. Amounts are thousandths of a CPU, a GPU and a gigabyte; prices are nominal
 * prices per hour.
 *
 * @param fetchGbPerSecond the rate at which a machine fetches images, in gigabytes per second
 * @param bootMicros the time that a machine takes to start, in microseconds
 * @param zones the zones in which the cloud launches the type
 */
public record MachineType(
        String name,
        long cpuMillis,
        long gpuMillis,
        long memoryMillis,
        double fetchGbPerSecond,
        double onDemandPrice,
        double spotPrice,
        long bootMicros,
        List<String> zones) {

    /** Returns whether a task of this job fits on an empty machine of this type. */
    public boolean canFit(JobSpec spec) {
        return spec.isTypeAllowed(name)
                && spec.cpuMillis() <= cpuMillis
                && spec.gpuMillis() <= gpuMillis
                && spec.memoryMillis() <= memoryMillis
                && (spec.zone() == null || zones.contains(spec.zone()));
    }

    /** Returns how many tasks of this job fit on an empty machine, at most 1000. */
    public int slots(JobSpec spec) {
        return Math.min(slots(spec, cpuMillis, gpuMillis, memoryMillis), 1000);
    }

    /**
     * Returns how many tasks of this job fit into the given capacity. The amounts are thousandths of a CPU, a GPU and a
     * gigabyte.
     */
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

    /** Returns the nominal price per hour, of a spot instance or at full price. */
    public double hourlyPrice(boolean spot) {
        return spot ? spotPrice : onDemandPrice;
    }
}
