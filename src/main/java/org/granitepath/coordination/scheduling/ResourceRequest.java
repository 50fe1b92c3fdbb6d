package org.granitepath.coordination.scheduling;

import java.util.List;
import java.util.Objects;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.jspecify.annotations.Nullable;

/**
 * What a task needs, in thousandths of a CPU, a GPU and a gigabyte, and where it may run. When one request finds no
 * capacity, none that asks for as much or more under the same constraints does either.
 *
 * @param types the machine types allowed; null: any
 * @param zone the zone required; null: any
 * @param closedZones zones where the job may place no further task, since its tasks are spread or kept together
 * @param deferrable whether it waits for cheap capacity
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

    /** What the next task of this job needs now. */
    static ResourceRequest of(ActiveJob job, List<String> zones) {
        JobSpec spec = job.spec();
        List<String> closedZones = spec.spread() || spec.oneZone()
                ? zones.stream().filter(zone -> !job.canPlaceInZone(zone)).toList()
                : List.of();
        return new ResourceRequest(
                spec.cpuMillis(),
                spec.gpuMillis(),
                spec.memoryMillis(),
                spec.types(),
                spec.zone(),
                closedZones,
                spec.spot(),
                job.scheduling().isDeferrable(),
                spec.priority());
    }

    /** Whether this asks for no more than the other one, under the same constraints. */
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
