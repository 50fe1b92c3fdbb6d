package org.granitepath.coordination.placement;

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

/** Which machines a job may use, and whether its team may use more. */
public final class PlacementRules {
    private final Fleet fleet;
    private final TermRecovery recovery;
    private final ActiveJobs jobs;
    private final TeamLimits teamLimits;
    private final FaultTracker faults;
    private final RuntimeEstimator runtimeEstimator;

    /** Rules that go by the state of this term. */
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
     * Whether a job may use this machine now, free capacity and reservations aside: the machine takes tasks, responds,
     * and {@linkplain #satisfiesConstraints satisfies the job's constraints}.
     */
    public boolean isEligible(Machine machine, ActiveJob job, long nowMicros) {
        return machine.takesTasks()
                && satisfiesConstraints(machine, job, nowMicros)
                && !fleet.unresponsive(machine, nowMicros);
    }

    /**
     * Whether a task of the job can be placed on this machine now: the machine takes tasks, has free capacity that is
     * not reserved for another job, and {@linkplain #satisfiesConstraints satisfies the job's constraints}.
     */
    public boolean canPlace(ActiveJob job, Machine machine, long nowMicros) {
        return machine.capacity().fits(job.spec())
                && machine.takesTasks()
                && respectsReservation(machine, job)
                && satisfiesConstraints(machine, job, nowMicros);
    }

    /**
     * Whether the machine's type, zone and kind fit the job, and no task of the job failed there; whatever the state of
     * the machine. Work that can wait leaves full-price machines alone that no service needs, so that they can be
     * terminated, unless it is over before a termination could save anything.
     */
    public boolean satisfiesConstraints(Machine machine, ActiveJob job, long nowMicros) {
        return machine.allowedFor(job.spec())
                && job.zoneAllows(machine.zone())
                && (!job.scheduling().deferrable() || isPaidForAnyway(machine, job, nowMicros))
                && faults.mayTry(machine, job);
    }

    /** Whether the machine is not reserved for a gang, unless the job is this gang or goes before all gangs. */
    public boolean respectsReservation(Machine machine, ActiveJob job) {
        return machine.reservedFor() == null || machine.reservedFor() == job || job.isLive();
    }

    private boolean isPaidForAnyway(Machine machine, ActiveJob job, long nowMicros) {
        return machine.spot()
                || machine.capacity().hostsService()
                || machine.keptAsHeadroom()
                || nowMicros + runtimeEstimator.taskMicros(job)
                        < machine.launchedMicros() + Machine.MINIMUM_CHARGE_MICROS;
    }

    /** Whether tasks failed there lately, so that any other machine is better. */
    public boolean isSuspect(Machine machine) {
        return faults.suspects(machine);
    }

    /** Whether a further task of this job may be started at all, capacity aside. */
    public boolean canStartAnotherTask(ActiveJob job) {
        return isWithinTeamLimit(job.spec()) && faults.mayStartAnother(job);
    }

    /**
     * Whether one more such task is within its team's limit. While tasks are unconfirmed, or tasks of jobs that are
     * over are still to be stopped, what a team uses is not known.
     */
    public boolean isWithinTeamLimit(JobSpec spec) {
        return isWithinTeamLimit(spec, 1);
    }

    /** Whether so many more such tasks together are within their team's limit. */
    public boolean isWithinTeamLimit(JobSpec spec, int count) {
        return teamLimits.allows(spec, count)
                && (!teamLimits.limits(spec) || (recovery.noMachineAwaited() && fleet.noOrphanedTasks()));
    }

    /**
     * Thousandths of a CPU that a team's tasks use beyond its guaranteed quota, without those that are being stopped.
     */
    public long borrowedCpuMillis(String team) {
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
        return teamLimits.borrowedCpu(team) - stoppingCpuMillis;
    }
}
