package org.granitepath.coordination.placement;

import org.granitepath.coordination.model.MachineCapacity;
import org.granitepath.storage.JobSpec;

/**
 * A sum of what tasks use: thousandths of a CPU, of a GPU and of a gigabyte of memory. It is mutable, because one is
 * summed up for each machine in loops over the whole fleet.
 */
public final class ResourceUsage {
    private long cpuMillis;
    private long gpuMillis;
    private long memoryMillis;

    /** Adds what one task of this job uses. */
    public void add(JobSpec spec) {
        cpuMillis += spec.cpuMillis();
        gpuMillis += spec.gpuMillis();
        memoryMillis += spec.memoryMillis();
    }

    /** How many tasks of this job fit on a machine once this much is free beyond what is free there now. */
    public int slotsIfFreed(MachineCapacity capacity, JobSpec spec) {
        return capacity.slots(spec, cpuMillis, gpuMillis, memoryMillis);
    }

    /** How many tasks of this job fit on a machine once this much of what is free there now is used. */
    public int slotsIfUsed(MachineCapacity capacity, JobSpec spec) {
        return capacity.slots(spec, -cpuMillis, -gpuMillis, -memoryMillis);
    }
}
