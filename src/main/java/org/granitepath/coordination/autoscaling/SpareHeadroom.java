package org.granitepath.coordination.autoscaling;

/** Capacity that live services could take beyond the headroom wanted for them; machines up to it may be terminated. */
final class SpareHeadroom {
    /** CPUs in thousandths; unlimited before the first plan, when no headroom is wanted. */
    private double cpuMillis = Double.MAX_VALUE;

    /** Sets what a new plan found. */
    void update(double newCpuMillis) {
        cpuMillis = newCpuMillis;
    }

    /** Whether so much is wanted as headroom at least in part. */
    boolean needs(long machineCpuMillis) {
        return cpuMillis < machineCpuMillis;
    }

    /** Takes account of a machine that is terminated. */
    void release(long machineCpuMillis) {
        cpuMillis -= machineCpuMillis;
    }
}
