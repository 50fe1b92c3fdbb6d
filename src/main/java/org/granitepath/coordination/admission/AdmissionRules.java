package org.granitepath.coordination.admission;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Supplier;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.Team;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.MachineType;
import org.granitepath.storage.RecordSize;

/** Why a job can never run. Such a job is refused at once, instead of waiting for capacity that can't exist. */
final class AdmissionRules {
    private final Config config;
    private final Supplier<Collection<MachineType>> machineTypes;

    /** @param machineTypes the types that the cloud launches; none while they are not known */
    AdmissionRules(Config config, Supplier<Collection<MachineType>> machineTypes) {
        this.config = config;
        this.machineTypes = machineTypes;
    }

    /** Whether it is known on which machines jobs can run; before, no job can be accepted. */
    boolean machineTypesKnown() {
        return !machineTypes.get().isEmpty();
    }

    /** The first reason for which the job can never run; empty when none is known. */
    Optional<String> unschedulableReason(JobSpec spec) {
        Team team = config.teams().get(spec.team());
        if (team == null) {
            return Optional.of("unknown team " + spec.team());
        }
        if (exceedsLimit(team, spec)) {
            return Optional.of("more than the limit of team " + spec.team());
        }
        if (fitsNoMachineType(spec)) {
            return Optional.of("a task fits no allowed machine type");
        }
        int valueBytes = config.limits().store().valueBytes();
        if (RecordSize.of(longestRecord(spec)) > valueBytes) {
            return Optional.of(
                    "its description takes more than the " + valueBytes + " bytes that can be kept of a job");
        }
        if (spec.spread() && spec.tasks() > 1 && (spec.oneZone() || spec.zone() != null)) {
            return Optional.of("its tasks must be spread over zones and be in one zone");
        }
        return Optional.empty();
    }

    /** The tasks of a service or a gang run all at once; of other jobs one task at a time is enough to go on. */
    private static boolean exceedsLimit(Team team, JobSpec spec) {
        int concurrentTasks = spec.isService() || spec.isGang() ? spec.tasks() : 1;
        return (team.cpuLimitMillis() > 0 && spec.cpuMillis() * concurrentTasks > team.cpuLimitMillis())
                || (team.gpuLimitMillis() > 0 && spec.gpuMillis() * concurrentTasks > team.gpuLimitMillis());
    }

    private boolean fitsNoMachineType(JobSpec spec) {
        return machineTypesKnown() && machineTypes.get().stream().noneMatch(type -> type.canFit(spec));
    }

    /** The record with its longest numbers, since the true ones are not known before the write. */
    private static JobRecord longestRecord(JobSpec spec) {
        return new JobRecord(spec, Long.MAX_VALUE, Integer.MAX_VALUE, Long.MAX_VALUE);
    }
}
