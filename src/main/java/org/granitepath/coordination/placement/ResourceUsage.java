package org.granitepath.coordination.placement;

import org.granitepath.coordination.model.MachineCapacity;
import org.granitepath.storage.JobSpec;

/**
 * The total resource use of a set of tasks, in thousandths of a CPU, of a GPU and of a gigabyte of memory. It is
 * mutable because loops over the whole fleet add up one for each machine.
 */
public final class ResourceUsage {
    private long cpuMillis;
    private long gpuMillis;
    private long memoryMillis;

    /** Adds the resources of one task of this job. */
    public void add(JobSpec spec) {
        cpuMillis += spec.cpuMillis();
        gpuMillis += spec.gpuMillis();
        memoryMillis += spec.memoryMillis();
    }

    /**
     * Returns how many tasks of this job fit on a machine if this much becomes free in addition to its free capacity.
     */
    public int slotsIfFreed(MachineCapacity capacity, JobSpec spec) {
        return capacity.slots(spec, cpuMillis, gpuMillis, memoryMillis);
    }

    /** Returns how many tasks of this job fit on a machine if this much of its free capacity is used. */
    public int slotsIfUsed(MachineCapacity capacity, JobSpec spec) {
        return capacity.slots(spec, -cpuMillis, -gpuMillis, -memoryMillis);
    }
}
