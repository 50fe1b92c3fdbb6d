package org.granitepath.coordination.autoscaling;

/**
 * Capacity that live services could take beyond the headroom wanted for them. Idle machines with up to this capacity in
 * total may be terminated.
 */
final class SpareHeadroom {
    /** In thousandths of a CPU; unlimited before the first plan, when no headroom is wanted. */
    private double cpuMillis = Double.MAX_VALUE;

    /** Replaces the capacity with the result of a new plan, in thousandths of a CPU. */
    void update(double newCpuMillis) {
        cpuMillis = newCpuMillis;
    }

    /**
     * Returns whether this capacity is less than that of a machine, so that at least part of the machine is wanted as
     * headroom.
     */
    boolean isLessThan(long machineCpuMillis) {
        return cpuMillis < machineCpuMillis;
    }

    /** Subtracts the capacity of a machine that is terminated. */
    void subtract(long machineCpuMillis) {
        cpuMillis -= machineCpuMillis;
    }
}
