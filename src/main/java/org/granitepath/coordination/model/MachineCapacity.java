package org.granitepath.coordination.model;

import java.util.LinkedHashSet;
import java.util.Objects;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/**
 * The used and the free resources of a machine, and the images it holds. CPUs, GPUs and gigabytes of memory are counted
 * in thousandths.
 */
public final class MachineCapacity {
    private static final int MAX_IMAGES = 16;

    /** In the order in which the images were last used, so the least recently used one is evicted first. */
    private final LinkedHashSet<String> images = new LinkedHashSet<>();

    private @Nullable MachineType type;
    private long cpuUsedMillis;
    private long gpuUsedMillis;
    private long memoryUsedMillis;
    private int services;
    private long servicesCpuMillis;

    /** Returns the machine's type, or null while the cloud has not described it. */
    @Nullable
    MachineType type() {
        return type;
    }

    /** Sets the machine's type; null if it is not known. */
    void setType(@Nullable MachineType known) {
        type = known;
    }

    /** Counts the resources of one task of the job as used. */
    void allocate(JobSpec spec) {
        adjust(spec, 1);
    }

    /** Counts the resources of one task of the job as free again. */
    void release(JobSpec spec) {
        adjust(spec, -1);
    }

    private void adjust(JobSpec spec, int sign) {
        cpuUsedMillis += sign * spec.cpuMillis();
        gpuUsedMillis += sign * spec.gpuMillis();
        memoryUsedMillis += sign * spec.memoryMillis();
        if (spec.isService()) {
            services += sign;
            servicesCpuMillis += sign * spec.cpuMillis();
        }
    }

    /** Notes that a task with the given image runs on the machine, which therefore holds the image. */
    public void addImage(String image) {
        images.remove(image);
        images.add(image);
        if (images.size() > MAX_IMAGES) {
            images.remove(images.iterator().next());
        }
    }

    /** Returns whether the image is among those that tasks on the machine used most recently. */
    public boolean hasImage(String image) {
        return images.contains(image);
    }

    /** Returns whether a task of a service is placed on the machine. */
    public boolean hasService() {
        return services > 0;
    }

    /** Returns the thousandths of a CPU that services use. */
    public long serviceCpuMillis() {
        return servicesCpuMillis;
    }

    /** Returns the share of the CPUs that is used, or 0 while the type is not known. */
    public double usedCpuShare() {
        return type == null ? 0 : (double) cpuUsedMillis / type.cpuMillis();
    }

    /** Returns the thousandths of a CPU that are free, or 0 while the type is not known. */
    public long freeCpuMillis() {
        return type == null ? 0 : type.cpuMillis() - cpuUsedMillis;
    }

    /** Returns whether this much CPU and memory is free. The machine type must be known. */
    public boolean hasFree(long cpuMillis, long memoryMillis) {
        MachineType known = Objects.requireNonNull(type, "the machine type is not known");
        return known.cpuMillis() - cpuUsedMillis >= cpuMillis
                && known.memoryMillis() - memoryUsedMillis >= memoryMillis;
    }

    /** Returns whether one more task of the job fits; false while the type is not known. */
    public boolean fits(JobSpec spec) {
        return slots(spec, 0, 0, 0) > 0;
    }

    /**
     * Returns how many more tasks of the job would fit if the given amounts were free in addition, or 0 while the type
     * is not known.
     */
    public int slots(JobSpec spec, long moreCpuMillis, long moreGpuMillis, long moreMemoryMillis) {
        if (type == null) {
            return 0;
        }
        return MachineType.slots(
                spec,
                type.cpuMillis() - cpuUsedMillis + moreCpuMillis,
                type.gpuMillis() - gpuUsedMillis + moreGpuMillis,
                type.memoryMillis() - memoryUsedMillis + moreMemoryMillis);
    }
}
