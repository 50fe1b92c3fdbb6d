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

    /** Judges by the state of this term. */
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

    /** Whether a job may use this machine now, capacity aside. */
    public boolean eligible(Machine machine, ActiveJob job, long now) {
        return machine.takesTasks() && suits(machine, job, now) && !fleet.unresponsive(machine, now);
    }

    /**
     * Whether the machine's type, zone and kind fit the job, and no task of the job failed there. Work that can wait
     * leaves full-price machines alone that no service needs, so that they can be terminated, unless it is over before
     * a return could save anything.
     */
    public boolean suits(Machine machine, ActiveJob job, long now) {
        return machine.allowedFor(job.spec())
                && job.zoneAllows(machine.zone())
                && (!job.scheduling().deferrable() || isPaidForAnyway(machine, job, now))
                && faults.mayTry(machine, job);
    }

    /** Whether the machine's capacity is not held for a gang, unless this is it, or work that goes before all gangs. */
    public boolean mayHold(Machine machine, ActiveJob job) {
        return machine.reservedFor() == null || machine.reservedFor() == job || job.isLive();
    }

    private boolean isPaidForAnyway(Machine machine, ActiveJob job, long now) {
        return machine.spot()
                || machine.capacity().hostsService()
                || machine.keptAsHeadroom()
                || now + runtimeEstimator.taskMicros(job) < machine.launchedMicros() + Machine.MINIMUM_CHARGE_MICROS;
    }

    /** Whether tasks failed there lately, so that any other machine is better. */
    public boolean isSuspect(Machine machine) {
        return faults.suspects(machine);
    }

    /** Whether a further task of this job may be started at all, capacity aside. */
    public boolean mayStartAnother(ActiveJob job) {
        return teamAllows(job.spec()) && faults.mayStartAnother(job);
    }

    /**
     * Whether one more such task is within its team's limit. While tasks are unconfirmed, or tasks of jobs that are
     * over are still to be stopped, what a team uses is not known.
     */
    public boolean teamAllows(JobSpec spec) {
        return teamAllows(spec, 1);
    }

    /** The same for several tasks together. */
    public boolean teamAllows(JobSpec spec, int count) {
        return teamLimits.allows(spec, count)
                && (!teamLimits.limits(spec) || (recovery.noMachineAwaited() && fleet.noOrphanedTasks()));
    }

    /** CPUs that a team's tasks use beyond its guarantee, without those that are being stopped. */
    public long borrowedCpu(String team) {
        long stopping = 0;
        for (ActiveJob job : jobs.all()) {
            if (job.spec().team().equals(team)) {
                for (Placement placement : job.placements()) {
                    stopping += placement.phase() == Placement.Phase.STOPPING
                            ? job.spec().cpuMillis()
                            : 0;
                }
            }
        }
        return teamLimits.borrowedCpu(team) - stopping;
    }
}
