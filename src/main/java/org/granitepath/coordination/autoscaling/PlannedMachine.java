package org.granitepath.coordination.autoscaling;

import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;

/** Capacity on a machine that is on its way, or is to be launched. Amounts are in thousandths. */
final class PlannedMachine {
    private final MachineType type;
    private final String zone;
    private final boolean spot;
    private long freeCpuMillis;
    private long freeGpuMillis;
    private long freeMemoryMillis;

    /** An empty machine. */
    PlannedMachine(MachineType type, String zone, boolean spot) {
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        freeCpuMillis = type.cpuMillis();
        freeGpuMillis = type.gpuMillis();
        freeMemoryMillis = type.memoryMillis();
    }

    /** The machine of an offer. */
    static PlannedMachine of(Offer offer) {
        return new PlannedMachine(offer.type(), offer.zone(), offer.spot());
    }

    /** Its type. */
    MachineType type() {
        return type;
    }

    /** Its zone. */
    String zone() {
        return zone;
    }

    /** Whether it is a spot instance. */
    boolean spot() {
        return spot;
    }

    /** CPUs, in thousandths, that are not set aside. */
    long freeCpuMillis() {
        return freeCpuMillis;
    }

    /** How many such tasks it still holds. */
    int slots(JobSpec spec) {
        return allows(spec) ? MachineType.slots(spec, freeCpuMillis, freeGpuMillis, freeMemoryMillis) : 0;
    }

    /** Sets capacity aside for one such task; false when there is none. */
    boolean take(JobSpec spec) {
        if (slots(spec) == 0) {
            return false;
        }
        freeCpuMillis -= spec.cpuMillis();
        freeGpuMillis -= spec.gpuMillis();
        freeMemoryMillis -= spec.memoryMillis();
        return true;
    }

    /** Undoes a {@link #take}. */
    void undoTake(JobSpec spec) {
        freeCpuMillis += spec.cpuMillis();
        freeGpuMillis += spec.gpuMillis();
        freeMemoryMillis += spec.memoryMillis();
    }

    private boolean allows(JobSpec spec) {
        return spec.allowsType(type.name()) && spec.allowsZone(zone) && (!spot || spec.spot());
    }
}
