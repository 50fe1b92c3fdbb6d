package org.granitepath.coordination.autoscaling;

import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;

/** Capacity on a machine that is on its way, or is to be launched. */
final class PlannedMachine {
    final MachineType type;
    final String zone;
    final boolean spot;
    long cpu;
    long gpu;
    long memory;

    PlannedMachine(MachineType type, String zone, boolean spot) {
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        cpu = type.cpuMillis();
        gpu = type.gpuMillis();
        memory = type.memoryMillis();
    }

    private boolean allows(JobSpec spec) {
        return spec.allowsType(type.name()) && spec.allowsZone(zone) && (!spot || spec.spot());
    }

    /** How many such tasks it still holds. */
    int slots(JobSpec spec) {
        return allows(spec) ? MachineType.slots(spec, cpu, gpu, memory) : 0;
    }

    /** Undoes a {@link #take}. */
    void undoTake(JobSpec spec) {
        cpu += spec.cpuMillis();
        gpu += spec.gpuMillis();
        memory += spec.memoryMillis();
    }

    /** Sets capacity aside for one such task; false when there is none. */
    boolean take(JobSpec spec) {
        if (slots(spec) == 0) {
            return false;
        }
        cpu -= spec.cpuMillis();
        gpu -= spec.gpuMillis();
        memory -= spec.memoryMillis();
        return true;
    }
}
