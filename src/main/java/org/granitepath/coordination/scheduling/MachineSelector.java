package org.granitepath.coordination.scheduling;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.ToLongFunction;
import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.MachineScorer;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.storage.JobSpec;
import org.jspecify.annotations.Nullable;

/** Selects the machine for a task among those with free capacity in this scheduling cycle. */
final class MachineSelector {
    private final Fleet fleet;
    private final PlacementRules rules;
    private final MachineScorer machineScorer;
    private final GangHeadroom gangHeadroom;
    private final List<Machine> machinesWithCapacity = new ArrayList<>();
    private final List<Machine> machinesWithCapacityView = Collections.unmodifiableList(machinesWithCapacity);

    MachineSelector(Fleet fleet, PlacementRules rules, MachineScorer machineScorer, GangHeadroom gangHeadroom) {
        this.fleet = fleet;
        this.rules = rules;
        this.machineScorer = machineScorer;
        this.gangHeadroom = gangHeadroom;
    }

    /**
     * Collects the responsive machines that accept tasks and on which the smallest CPU request and the smallest memory
     * request of all queued jobs would fit, and updates the gang headroom.
     */
    void beginCycle(CandidateQueue candidates, long nowMicros) {
        long cpuMillis = smallest(candidates, JobSpec::cpuMillis);
        long memoryMillis = smallest(candidates, JobSpec::memoryMillis);
        machinesWithCapacity.clear();
        for (Machine machine : fleet.machines()) {
            if (machine.isSchedulable()
                    && machine.capacity().hasFree(cpuMillis, memoryMillis)
                    && !fleet.isUnresponsive(machine, nowMicros)) {
                machinesWithCapacity.add(machine);
            }
        }
        gangHeadroom.update();
    }

    private static long smallest(CandidateQueue candidates, ToLongFunction<JobSpec> amount) {
        return candidates
                .queuedJobs()
                .mapToLong(job -> amount.applyAsLong(job.spec()))
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /**
     * Returns the machines that accepted tasks and had free capacity when the cycle began. The list is a view that
     * changes when the next cycle begins.
     */
    List<Machine> machinesWithCapacity() {
        return machinesWithCapacityView;
    }

    /**
     * Returns the best machine for the next task of this job, or null if no machine has capacity that the job can use.
     */
    @Nullable
    Machine best(ActiveJob job, long nowMicros) {
        return machineScorer.best(machinesWithCapacity, machine -> isUsable(machine, job, nowMicros), job.spec());
    }

    /** Records that a task was placed on this machine. */
    void onTaskPlaced(Machine machine, JobSpec spec) {
        gangHeadroom.onTaskPlaced(machine, spec);
    }

    private boolean isUsable(Machine machine, ActiveJob job, long nowMicros) {
        return rules.canPlace(job, machine, nowMicros) && gangHeadroom.allows(machine, job, nowMicros);
    }
}
