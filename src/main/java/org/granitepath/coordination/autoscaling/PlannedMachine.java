package org.granitepath.coordination.autoscaling;

import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;

/**
 * A machine that is pending or to be launched, with the capacity that is reserved on it. Amounts of CPU, GPU and memory
 * are in thousandths.
 */
final class PlannedMachine {
    private final MachineType type;
    private final String zone;
    private final boolean spot;
    private long freeCpuMillis;
    private long freeGpuMillis;
    private long freeMemoryMillis;

    /** Creates a machine on which nothing is reserved. */
    PlannedMachine(MachineType type, String zone, boolean spot) {
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        freeCpuMillis = type.cpuMillis();
        freeGpuMillis = type.gpuMillis();
        freeMemoryMillis = type.memoryMillis();
    }

    /** Returns an empty machine of the kind that is offered. */
    static PlannedMachine of(Offer offer) {
        return new PlannedMachine(offer.type(), offer.zone(), offer.spot());
    }

    /** Returns the type of the machine. */
    MachineType type() {
        return type;
    }

    /** Returns the zone of the machine. */
    String zone() {
        return zone;
    }

    /** Returns whether the machine is a spot instance. */
    boolean isSpot() {
        return spot;
    }

    /** Returns the thousandths of a CPU that are not reserved. */
    long freeCpuMillis() {
        return freeCpuMillis;
    }

    /** Returns how many more tasks of this job the machine holds; 0 if the job does not allow the machine. */
    int slots(JobSpec spec) {
        return allows(spec) ? MachineType.slots(spec, freeCpuMillis, freeGpuMillis, freeMemoryMillis) : 0;
    }

    /** Reserves capacity for one task of this job, and returns whether there was enough. */
    boolean reserve(JobSpec spec) {
        if (slots(spec) == 0) {
            return false;
        }
        freeCpuMillis -= spec.cpuMillis();
        freeGpuMillis -= spec.gpuMillis();
        freeMemoryMillis -= spec.memoryMillis();
        return true;
    }

    /** Releases the capacity that {@link #reserve} reserved for one task of this job. */
    void unreserve(JobSpec spec) {
        freeCpuMillis += spec.cpuMillis();
        freeGpuMillis += spec.gpuMillis();
        freeMemoryMillis += spec.memoryMillis();
    }

    private boolean allows(JobSpec spec) {
        return spec.isTypeAllowed(type.name()) && spec.isZoneAllowed(zone) && (!spot || spec.spotAllowed());
    }
}
