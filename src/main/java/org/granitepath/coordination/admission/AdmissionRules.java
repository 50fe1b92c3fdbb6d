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

/**
 * Finds out whether a submitted job can never run. Such a job is rejected at once, instead of waiting for capacity that
 * cannot exist.
 */
final class AdmissionRules {
    private final Config config;
    private final Supplier<Collection<MachineType>> machineTypes;

    /** @param machineTypes supplies the machine types that the cloud launches; empty while they are not known */
    AdmissionRules(Config config, Supplier<Collection<MachineType>> machineTypes) {
        this.config = config;
        this.machineTypes = machineTypes;
    }

    /** Returns whether the machine types are known. Before that, no job can be accepted. */
    boolean areMachineTypesKnown() {
        return !machineTypes.get().isEmpty();
    }

    /**
     * Returns the first reason found why the job can never run, in the words of the answer to the user; empty if there
     * is none.
     */
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

    /**
     * Returns whether the job exceeds a limit of the team. All tasks of a service or a gang run at the same time; any
     * other job makes progress even if only one task runs at a time. A limit of 0 means that there is none.
     */
    private static boolean exceedsLimit(Team team, JobSpec spec) {
        int concurrentTasks = spec.isService() || spec.isGang() ? spec.tasks() : 1;
        return (team.cpuLimitMillis() > 0 && spec.cpuMillis() * concurrentTasks > team.cpuLimitMillis())
                || (team.gpuLimitMillis() > 0 && spec.gpuMillis() * concurrentTasks > team.gpuLimitMillis());
    }

    private boolean fitsNoMachineType(JobSpec spec) {
        return areMachineTypesKnown() && machineTypes.get().stream().noneMatch(type -> type.canFit(spec));
    }

    /**
     * Returns the job's record with the longest possible numbers, since the actual numbers are not known before the
     * write.
     */
    private static JobRecord longestRecord(JobSpec spec) {
        return new JobRecord(spec, Long.MAX_VALUE, Integer.MAX_VALUE, Long.MAX_VALUE);
    }
}
