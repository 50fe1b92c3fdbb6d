package org.granitepath.coordination.placement;

import java.util.Set;
import org.granitepath.coordination.jobs.FaultTracker;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.model.TeamLimits;
import org.granitepath.storage.JobSpec;

/** Decides which machines a job can use, and whether its team's limit allows more tasks. */
public final class PlacementRules {
    private final Fleet fleet;
    private final TermRecovery recovery;
    private final ActiveJobs jobs;
    private final TeamLimits teamLimits;
    private final FaultTracker faults;
    private final RuntimeEstimator runtimeEstimator;

    /** Creates the rules, which consult the current state of this leader term. */
    public PlacementRules(
            Fleet fleet,
            TermRecovery recovery,
            ActiveJobs jobs,
            TeamLimits teamLimits,
            FaultTracker faults,
            RuntimeEstimator runtimeEstimator) {
        this.fleet = fleet;
        this.recovery = recovery;
        this.jobs = jobs;
        this.teamLimits = teamLimits;
        this.faults = faults;
        this.runtimeEstimator = runtimeEstimator;
    }

    /**
     * Returns whether a job can use this machine now, regardless of free capacity and reservations: the machine accepts
     * tasks, is responsive, and {@linkplain #satisfiesConstraints satisfies the job's constraints}.
     */
    public boolean isEligible(Machine machine, ActiveJob job, long nowMicros) {
        return machine.isSchedulable()
                && satisfiesConstraints(machine, job, nowMicros)
                && !fleet.isUnresponsive(machine, nowMicros);
    }

    /**
     * Returns whether a task of the job can be placed on this machine now: the machine accepts tasks, has free capacity
     * that is not reserved for another job, and {@linkplain #satisfiesConstraints satisfies the job's constraints}.
     */
    public boolean canPlace(ActiveJob job, Machine machine, long nowMicros) {
        return machine.capacity().fits(job.spec())
                && machine.isSchedulable()
                && respectsReservation(machine, job)
                && satisfiesConstraints(machine, job, nowMicros);
    }

    /**
     * Returns whether the job allows the machine's type, zone and price model, and no failed task on the machine
     * excludes the job (see {@link FaultTracker}), regardless of the state of the machine. A deferrable job does not
     * use an on-demand machine that no service needs, so that the machine can be terminated, unless its tasks end
     * before a termination could save any cost.
     */
    public boolean satisfiesConstraints(Machine machine, ActiveJob job, long nowMicros) {
        return machine.isAllowedFor(job.spec())
                && job.canPlaceInZone(machine.zone())
                && (!job.scheduling().isDeferrable() || hasNoExtraCost(machine, job, nowMicros))
                && faults.canTry(machine, job, nowMicros);
    }

    /**
     * Returns whether the machine is not reserved for a gang, or the job is this gang or a live service, which has
     * precedence over all gangs.
     */
    public boolean respectsReservation(Machine machine, ActiveJob job) {
        return machine.reservedFor() == null || machine.reservedFor() == job || job.isLiveService();
    }

    /**
     * Returns the machines that the job alone can't use, because its tasks failed there: other jobs with the same
     * constraints may.
     */
    public Set<Machine> machinesExcludedFor(ActiveJob job, long nowMicros) {
        return faults.machinesExcludedFor(job, nowMicros);
    }

    /**
     * Returns the expected run time of a task, in microseconds, by which a deferrable job may or may not use an
     * on-demand machine: the shorter, the more machines. Returns 0 for a job that is not deferrable.
     */
    public long deferrableRunMicros(ActiveJob job) {
        return job.scheduling().isDeferrable() ? runtimeEstimator.expectedTaskMicros(job) : 0;
    }

    private boolean hasNoExtraCost(Machine machine, ActiveJob job, long nowMicros) {
        return machine.isSpot()
                || machine.capacity().hasService()
                || machine.isHeadroom()
                || nowMicros + runtimeEstimator.expectedTaskMicros(job)
                        < machine.launchedMicros() + Machine.MINIMUM_CHARGE_MICROS;
    }

    /** Returns whether tasks failed on this machine recently, so that any other machine is better. */
    public boolean isSuspect(Machine machine) {
        return faults.isSuspect(machine);
    }

    /** Returns whether another task of this job can be started at all, regardless of capacity. */
    public boolean canStartAnotherTask(ActiveJob job) {
        return isWithinTeamLimit(job.spec()) && faults.canStartAnother(job);
    }

    /**
     * Returns whether one more such task is within its team's limit. The result is false for a team with a limit while
     * its use is not known, because the tasks on some machine are unconfirmed or orphaned tasks are still to be
     * stopped.
     */
    public boolean isWithinTeamLimit(JobSpec spec) {
        return isWithinTeamLimit(spec, 1);
    }

    /** Returns whether this many more such tasks together are within their team's limit. */
    public boolean isWithinTeamLimit(JobSpec spec, int count) {
        return teamLimits.allows(spec, count)
                && (!teamLimits.hasLimit(spec) || (recovery.hasResolvedAllMachines() && fleet.hasNoOrphanedTasks()));
    }

    /**
     * Returns how many thousandths of a CPU a team's tasks use beyond its guaranteed quota. Tasks that are being
     * stopped do not count.
     */
    public long reclaimableCpuMillis(String team) {
        long stoppingCpuMillis = 0;
        for (ActiveJob job : jobs.all()) {
            if (job.spec().team().equals(team)) {
                for (Placement placement : job.placements()) {
                    stoppingCpuMillis += placement.phase() == Placement.Phase.STOPPING
                            ? job.spec().cpuMillis()
                            : 0;
                }
            }
        }
        return teamLimits.borrowedCpuMillis(team) - stoppingCpuMillis;
    }
}
