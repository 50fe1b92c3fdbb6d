package org.granitepath.coordination.scheduling;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.model.SchedulingClass;
import org.granitepath.coordination.placement.PlacementRules;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes capacity by stopping work, where least is lost. Live services may stop anything of lower priority at once; jobs
 * with a deadline only work of lower priority that saves itself first; what is within its team's guarantee, after a
 * moment's wait, also what other teams run beyond theirs. Tasks of one equivalence class are decided together, in one
 * look at the fleet.
 */
public final class Preemptor {
    private static final Logger LOG = LoggerFactory.getLogger(Preemptor.class);
    /** A task that has run for this long may be stopped for a job with a deadline. */
    private static final long MIN_RUNTIME_MICROS = 10_000_000;
    /**
     * So long guaranteed work waits after its last start for capacity that becomes free by itself, before borrowed
     * work is stopped for it. Without this each freed place went back and forth: what was stopped started
     * elsewhere, and was stopped there for the next.
     */
    private static final long RECLAIM_DELAY_MICROS = 2_000_000;
    /** What starting anew costs a task; a gang has to find capacity for all its tasks together once more. */
    private static final long RESTART_MICROS = 1_000_000;

    private static final long GANG_RESTART_MICROS = 15_000_000;

    /** What to stop on one machine so that at least one more task fits there. */
    private record Preemption(Machine machine, List<Placement> victims, double loss, int slots) {}

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
    int preemptFor(ActiveJob job, int wanted, boolean withImageOnly, long now) {
        boolean live = job.isLive();
        boolean reclaims = job.scheduling().schedulingClass() == SchedulingClass.GUARANTEED
                && now
                                - Math.max(
                                        job.scheduling().waitingSinceMicros(),
                                        job.scheduling().lastStartMicros())
                        > RECLAIM_DELAY_MICROS;
        if (!live && !job.spec().hasDeadline() && !reclaims) {
            return 0;
        }
        // What each other team can be made to give back; filled as its tasks are met.
        Object2LongOpenHashMap<String> borrowed = new Object2LongOpenHashMap<>();
        int pending = 0;
        List<Preemption> offers = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (!rules.eligible(machine, job, now)
                    || (withImageOnly && !machine.capacity().hasImage(job.spec().image()))) {
                continue;
            }
            long[] more = new long[3];
            List<Placement> candidates = new ArrayList<>();
            for (Placement placement : machine.placements()) {
                if (placement.phase() == Placement.Phase.STOPPING) {
                    add(more, placement.job().spec());
                } else if (mayStopFor(job, live, placement, now)
                        || (reclaims && isBorrowed(job, placement, borrowed))) {
                    candidates.add(placement);
                }
            }
            int soon = machine.capacity().slots(job.spec(), more[0], more[1], more[2]);
            if (soon > 0) {
                pending += soon;
            } else if (!candidates.isEmpty()) {
                Preemption preemption = cheapest(job, machine, candidates, more, now);
                if (preemption != null) {
                    offers.add(preemption);
                }
            }
        }
        offers.sort(Comparator.comparingDouble(Preemption::loss));
        for (Preemption preemption : offers) {
            if (pending >= wanted) {
                break;
            }
            if (!withinBorrowed(preemption, job, live, borrowed, now)) {
                continue;
            }
            stopVictims(preemption, job, live);
            pending += preemption.slots();
            if (preemption.victims().stream()
                    .anyMatch(victim -> victim.job().spec().gang())) {
                break; // a whole gang ends: the next cycle sees what capacity that makes
            }
        }
        return pending;
    }

    private void stopVictims(Preemption preemption, ActiveJob job, boolean live) {
        for (Placement placement : preemption.victims()) {
            LOG.info(
                    "preempting {} on {} for {}",
                    placement.task(),
                    preemption.machine().id(),
                    job.spec().id());
            tasks.stop(
                    placement,
                    live ? 0 : placement.job().spec().saveMicros(),
                    "room for " + job.spec().id());
        }
    }

    private static Preemption cheapest(
            ActiveJob job, Machine machine, List<Placement> candidates, long[] more, long now) {
        candidates.sort(Comparator.comparingDouble(placement -> loss(placement, now)));
        List<Placement> victims = new ArrayList<>();
        double loss = machine.capacity().hasImage(job.spec().image())
                ? 0
                : job.spec().imageGb() / machine.type().fetchGbPerSecond() * 1e9;
        for (Placement placement : candidates) {
            victims.add(placement);
            loss += loss(placement, now);
            add(more, placement.job().spec());
            int slots = machine.capacity().slots(job.spec(), more[0], more[1], more[2]);
            if (slots > 0) {
                return new Preemption(machine, victims, loss, slots);
            }
        }
        return null;
    }

    private static void add(long[] capacity, JobSpec spec) {
        capacity[0] += spec.cpuMillis();
        capacity[1] += spec.gpuMillis();
        capacity[2] += spec.memoryMillis();
    }

    /** Whether this task is work that another team runs beyond its own guarantee. Live replicas are let be. */
    private boolean isBorrowed(ActiveJob job, Placement placement, Object2LongOpenHashMap<String> borrowed) {
        String team = placement.job().spec().team();
        if (team.equals(job.spec().team())
                || placement.job().spec().service()
                || placement.job().scheduling().schedulingClass() == SchedulingClass.GUARANTEED) {
            return false;
        }
        if (!borrowed.containsKey(team)) {
            borrowed.put(team, rules.borrowedCpu(team));
        }
        return borrowed.getLong(team) > 0;
    }

    /**
     * No team is made to give back more than it has borrowed: counts the tasks of one machine that only loans
     * explain.
     */
    private static boolean withinBorrowed(
            Preemption preemption, ActiveJob job, boolean live, Object2LongOpenHashMap<String> borrowed, long now) {
        List<Placement> isBorrowed = preemption.victims().stream()
                .filter(placement -> !mayStopFor(job, live, placement, now))
                .toList();
        for (Placement placement : isBorrowed) {
            if (borrowed.getLong(placement.job().spec().team()) <= 0) {
                return false;
            }
        }
        isBorrowed.forEach(placement -> borrowed.addTo(
                placement.job().spec().team(), -placement.job().spec().cpuMillis()));
        return true;
    }

    private static boolean mayStopFor(ActiveJob job, boolean live, Placement placement, long now) {
        JobSpec victim = placement.job().spec();
        if (!job.spec().priority().above(victim.priority()) || victim.service()) {
            return false;
        }
        if (!live && victim.gang()) {
            return false; // it saves only when all its tasks are reached in time
        }
        return live
                || (victim.checkpointMicros() > 0
                        && placement.hasRun()
                        && placement.ranMicros(now) > MIN_RUNTIME_MICROS);
    }

    /** CPU time that stopping this task throws away; of a gang, that of all its tasks. */
    private static double loss(Placement placement, long now) {
        return placement.job().spec().gang()
                ? placement.job().placements().stream()
                        .mapToDouble(each -> ownLoss(each, GANG_RESTART_MICROS, now))
                        .sum()
                : ownLoss(placement, RESTART_MICROS, now);
    }

    private static double ownLoss(Placement placement, long restartMicros, long now) {
        long ran = placement.ranMicros(now);
        long interval = placement.job().spec().checkpointMicros();
        long unsaved = interval > 0 ? ran % interval : ran;
        return (double) placement.job().spec().cpuMillis()
                * (unsaved + restartMicros)
                * (placement.job().spec().priority().above(Priority.BEST_EFFORT) ? 3 : 1);
    }
}
