package org.granitepath.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.coordination.placement.ResourceUsage;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes capacity by stopping work, where least is lost. Live services may stop anything of lower priority at once;
 * jobs with a deadline only work of lower priority that saves itself first; what is within its team's guaranteed
 * quota, after a moment's wait, also what other teams run beyond theirs. Tasks of one equivalence class are decided
 * together, in one look at the fleet.
 */
public final class Preemptor {
    private static final Logger LOG = LoggerFactory.getLogger(Preemptor.class);

    private final Fleet fleet;
    private final PlacementRules rules;
    private final TaskLifecycle tasks;

    /** Stops tasks on the machines of this fleet. */
    public Preemptor(Fleet fleet, PlacementRules rules, TaskLifecycle tasks) {
        this.fleet = fleet;
        this.rules = rules;
        this.tasks = tasks;
    }

    /**
     * Returns how many tasks like those of this job will fit once the work that is being stopped is gone.
     *
     * @param wanted how many such tasks wait
     * @param withImageOnly only on machines that already have the job's image
     */
    int preemptFor(ActiveJob job, int wanted, boolean withImageOnly, long nowMicros) {
        PreemptionPolicy policy = new PreemptionPolicy(job, rules, nowMicros);
        if (!policy.mayPreempt()) {
            return 0;
        }
        int pending = 0;
        List<Preemption> preemptions = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (!isConsidered(machine, job, withImageOnly, nowMicros)) {
                continue;
            }
            ResourceUsage stopping = usedByStoppingTasks(machine);
            int pendingSlots = stopping.slotsIfFreed(machine.capacity(), job.spec());
            pending += pendingSlots;
            Preemption cheapest =
                    pendingSlots > 0 ? null : cheapestPreemption(machine, job, policy, stopping, nowMicros);
            if (cheapest != null) {
                preemptions.add(cheapest);
            }
        }
        preemptions.sort(Comparator.comparingDouble(Preemption::cost));
        return stopCheapest(preemptions, job, policy, pending, wanted);
    }

    private boolean isConsidered(Machine machine, ActiveJob job, boolean withImageOnly, long nowMicros) {
        return rules.isEligible(machine, job, nowMicros)
                && (!withImageOnly || machine.capacity().hasImage(job.spec().image()));
    }

    private static ResourceUsage usedByStoppingTasks(Machine machine) {
        ResourceUsage used = new ResourceUsage();
        for (Placement placement : machine.placements()) {
            if (placement.phase() == Placement.Phase.STOPPING) {
                used.add(placement.job().spec());
            }
        }
        return used;
    }

    /**
     * The cheapest way to make capacity for one task on a machine, or null if there is none.
     *
     * @param stopping what is being freed there anyway
     */
    private static @Nullable Preemption cheapestPreemption(
            Machine machine, ActiveJob job, PreemptionPolicy policy, ResourceUsage stopping, long nowMicros) {
        List<Placement> candidates = new ArrayList<>();
        for (Placement placement : machine.placements()) {
            if (placement.phase() != Placement.Phase.STOPPING && policy.mayPreempt(placement)) {
                candidates.add(placement);
            }
        }
        return Preemption.cheapest(job.spec(), machine, candidates, stopping, nowMicros);
    }

    /** Returns how many tasks will fit, what is stopping already included. */
    private int stopCheapest(
            List<Preemption> byCost, ActiveJob job, PreemptionPolicy policy, int alreadyPending, int wanted) {
        int pending = alreadyPending;
        for (Preemption preemption : byCost) {
            if (pending >= wanted) {
                break;
            }
            if (!policy.reclaimBorrowed(preemption.victims())) {
                continue;
            }
            stopVictims(preemption, job, policy);
            pending += preemption.slots();
            if (preemption.stopsGang()) {
                break; // a whole gang ends: the next cycle sees what capacity that makes
            }
        }
        return pending;
    }

    private void stopVictims(Preemption preemption, ActiveJob job, PreemptionPolicy policy) {
        for (Placement victim : preemption.victims()) {
            LOG.info(
                    "preempting task {} attempt {} on machine {} for job {}",
                    victim.task(),
                    victim.attempt(),
                    preemption.machine().id(),
                    job.spec().id());
            tasks.stop(
                    victim,
                    policy.graceMicros(victim),
                    "preempted for job " + job.spec().id());
        }
    }
}
