package org.granitepath.coordination.scheduling;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.jspecify.annotations.Nullable;

/**
 * The resources that a task needs, in thousandths of a CPU, of a GPU and of a gigabyte of memory, and everything else
 * about its job that decides which machines it can use. If one request finds no capacity, no request for as much or
 * more under the same constraints, or under stricter ones, finds any.
 *
 * @param types the allowed machine types; null allows any
 * @param zone the required zone; null allows any
 * @param closedZones zones where the job cannot place another task, because its tasks are spread or share a zone
 * @param excludedMachines the machines where tasks of the job failed, so that it cannot use them for now
 * @param spot whether spot machines are allowed
 * @param deferrable whether the job waits for cheap capacity
 * @param deferrableRunMicros see {@link PlacementRules#deferrableRunMicros}
 * @param service whether the job is a service, which may use capacity that is reserved for gangs
 * @param canUseGangHeadroom see {@link GangHeadroom#canUseHeadroom}
 */
record ResourceRequest(
        long cpuMillis,
        long gpuMillis,
        long memoryMillis,
        @Nullable List<String> types,
        @Nullable String zone,
        List<String> closedZones,
        Set<Machine> excludedMachines,
        boolean spot,
        boolean deferrable,
        long deferrableRunMicros,
        boolean service,
        boolean canUseGangHeadroom,
        Priority priority) {

    /** Returns the request of the next task of this job as of now. */
    static ResourceRequest of(ActiveJob job, List<String> zones, PlacementRules rules, long nowMicros) {
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
                rules.machinesExcludedFor(job, nowMicros),
                spec.spotAllowed(),
                job.scheduling().isDeferrable(),
                rules.deferrableRunMicros(job),
                spec.isService(),
                GangHeadroom.canUseHeadroom(job, nowMicros),
                spec.priority());
    }

    /**
     * Returns whether this request asks for no more of any resource than the other one and is under the same
     * constraints or less strict ones. If this request finds no capacity, the other one finds none either.
     */
    boolean isAtMost(ResourceRequest other) {
        return cpuMillis <= other.cpuMillis
                && gpuMillis <= other.gpuMillis
                && memoryMillis <= other.memoryMillis
                && deferrableRunMicros <= other.deferrableRunMicros
                && other.excludedMachines.containsAll(excludedMachines)
                && spot == other.spot
                && deferrable == other.deferrable
                && service == other.service
                && canUseGangHeadroom == other.canUseGangHeadroom
                && priority == other.priority
                && Objects.equals(types, other.types)
                && Objects.equals(zone, other.zone)
                && closedZones.equals(other.closedZones);
    }
}
