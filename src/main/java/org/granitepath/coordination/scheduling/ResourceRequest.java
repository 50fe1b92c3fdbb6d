package org.granitepath.coordination.scheduling;

import java.util.List;
import java.util.Objects;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.jspecify.annotations.Nullable;

/**
 * The resources that a task needs, in thousandths of a CPU, of a GPU and of a gigabyte of memory, and its placement
 * constraints. If one request finds no capacity, no request for as much or more under the same constraints finds any.
 *
 * @param types the allowed machine types; null allows any
 * @param zone the required zone; null allows any
 * @param closedZones zones where the job cannot place another task, because its tasks are spread or share a zone
 * @param spot whether spot machines are allowed
 * @param deferrable whether the job waits for cheap capacity
 */
record ResourceRequest(
        long cpuMillis,
        long gpuMillis,
        long memoryMillis,
        @Nullable List<String> types,
        @Nullable String zone,
        List<String> closedZones,
        boolean spot,
        boolean deferrable,
        Priority priority) {

    /** Returns the request of the next task of this job as of now. */
    static ResourceRequest of(ActiveJob job, List<String> zones) {
        JobSpec spec = job.spec();
        List<String> closedZones = spec.spread() || spec.oneZone()
                ? zones.stream().filter(zone -> !job.canPlaceInZone(zone)).toList()
                : List.of();
        return new ResourceRequest(
                spec.cpuMillis(),
                spec.gpuMillis(),
                spec.memoryMillis(),
                spec.allowedTypeNames(),
                spec.zone(),
                closedZones,
                spec.spotAllowed(),
                job.scheduling().isDeferrable(),
                spec.priority());
    }

    /** Returns whether this request has the constraints of the other one and asks for no more of any resource. */
    boolean isAtMost(ResourceRequest other) {
        return cpuMillis <= other.cpuMillis
                && gpuMillis <= other.gpuMillis
                && memoryMillis <= other.memoryMillis
                && spot == other.spot
                && deferrable == other.deferrable
                && priority == other.priority
                && Objects.equals(types, other.types)
                && Objects.equals(zone, other.zone)
                && closedZones.equals(other.closedZones);
    }
}
