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
 * Frees capacity for a job by stopping the tasks whose loss costs least.
 *
 * <ul>
 *   <li>A live service can stop any task of lower priority at once, except service replicas.
 *   <li>A job with a deadline can stop only tasks of lower priority that save their progress first.
 *   <li>A job within its team's guaranteed quota can, after a short delay, also stop tasks that other teams run beyond
 *       their own quotas.
 * </ul>
 *
 * <p>All waiting tasks with the same resource request are handled together, in one pass over the fleet.
 */
public final class Preemptor {
    private static final Logger LOG = LoggerFactory.getLogger(Preemptor.class);

    private final Fleet fleet;
    private final PlacementRules rules;
    private final TaskLifecycle tasks;

    /** Creates a preemptor for the machines of this fleet. */
    public Preemptor(Fleet fleet, PlacementRules rules, TaskLifecycle tasks) {
        this.fleet = fleet;
        this.rules = rules;
        this.tasks = tasks;
    }

    /**
     * Stops tasks until the wanted number of tasks like those of this job will fit, or until nothing more can be
     * stopped.
     *
     * @param wanted how many such tasks are waiting
     * @param withImageOnly whether to consider only machines that already have the job's image
     * @return how many such tasks will fit once all tasks that are being stopped are gone
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
     * Returns the cheapest way to free capacity for one task on a machine, or null if there is none.
     *
     * @param stopping the resources of the tasks that are being stopped on the machine already
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

    /**
     * Carries out the preemptions, cheapest first, until enough tasks will fit.
     *
     * @param alreadyPending how many tasks will fit once the tasks that are being stopped already are gone
     * @return how many tasks will fit, including those already pending
     */
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
                break; // the whole gang ends: the next cycle counts the capacity that it frees
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
