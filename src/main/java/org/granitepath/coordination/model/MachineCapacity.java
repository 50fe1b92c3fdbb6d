package org.granitepath.coordination.model;

import java.util.LinkedHashSet;
import java.util.Objects;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.jspecify.annotations.Nullable;

/** What of a machine's resources is used and what is free, and which images it has. */
public final class MachineCapacity {
    private static final int MAX_IMAGES = 16;

    /** The image seen last comes last, so the first one is the first to be forgotten. */
    private final LinkedHashSet<String> images = new LinkedHashSet<>();

    private @Nullable MachineType type;
    private long cpuUsedMillis;
    private long gpuUsedMillis;
    private long memoryUsedMillis;
    private int services;
    private long servicesCpuMillis;

    /** The machine's type, or null while the cloud has not told of it. */
    @Nullable
    MachineType type() {
        return type;
    }

    void setType(@Nullable MachineType known) {
        type = known;
    }

    void allocate(JobSpec spec) {
        adjust(spec, 1);
    }

    void release(JobSpec spec) {
        adjust(spec, -1);
    }

    private void adjust(JobSpec spec, int sign) {
        cpuUsedMillis += sign * spec.cpuMillis();
        gpuUsedMillis += sign * spec.gpuMillis();
        memoryUsedMillis += sign * spec.memoryMillis();
        if (spec.service()) {
            services += sign;
            servicesCpuMillis += sign * spec.cpuMillis();
        }
    }

    /** A task that needs this image runs here, so the machine has it. */
    public void addImage(String image) {
        images.remove(image);
        images.add(image);
        if (images.size() > MAX_IMAGES) {
            images.remove(images.iterator().next());
        }
    }

    /** Whether the image was lately seen to be there. */
    public boolean hasImage(String image) {
        return images.contains(image);
    }

    /** Whether a task of a service is placed there. */
    public boolean hasService() {
        return services > 0;
    }

    /** Thousandths of a CPU that services use. */
    public long serviceCpuMillis() {
        return servicesCpuMillis;
    }

    /** The share of the CPUs that is used; 0 while the type is not known. */
    public double usedCpuShare() {
        return type == null ? 0 : (double) cpuUsedMillis / type.cpuMillis();
    }

    /** Thousandths of a CPU that are free; 0 while the type is not known. */
    public long freeCpuMillis() {
        return type == null ? 0 : type.cpuMillis() - cpuUsedMillis;
    }

    /** Whether this much is free. The type must be known. */
    public boolean hasFree(long cpuMillis, long memoryMillis) {
        MachineType known = Objects.requireNonNull(type, "the machine type is not known");
        return known.cpuMillis() - cpuUsedMillis >= cpuMillis
                && known.memoryMillis() - memoryUsedMillis >= memoryMillis;
    }

    /** Whether one more such task fits. */
    public boolean fits(JobSpec spec) {
        return slots(spec, 0, 0, 0) > 0;
    }

    /** How many tasks of this shape fit, were this much more free. */
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
