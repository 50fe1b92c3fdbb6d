package org.granitepath.coordination.placement;

import org.granitepath.coordination.config.Objective;
import org.granitepath.coordination.config.Tuning;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;

/** Decides which jobs can wait for capacity that is cheap or paid for in any case. */
final class DeferralPolicy {
    private final Tuning tuning;
    private final ActiveJobs activeJobs;
    private final JobObjectives objectives;
    private final WorkloadTotals workload;
    private final RuntimeEstimator runtimeEstimator;

    DeferralPolicy(
            Tuning tuning,
            ActiveJobs activeJobs,
            JobObjectives objectives,
            WorkloadTotals workload,
            RuntimeEstimator runtimeEstimator) {
        this.tuning = tuning;
        this.activeJobs = activeJobs;
        this.objectives = objectives;
        this.workload = workload;
        this.runtimeEstimator = runtimeEstimator;
    }

    /** See {@link BatchPlanner#isDeferrable}. */
    boolean isDeferrable(ActiveJob job, double pendingCpuMillis, long nowMicros) {
        if (job.spec().isService() || job.spec().isGang() || !job.spec().spotAllowed()) {
            return false;
        }
        if (job.spec().hasDeadline() && objectives.deadlineOverrideMicros(job) == 0) {
            return leavesTimeForDeadline(job, pendingCpuMillis, nowMicros);
        }
        Objective objective = objectives.of(job);
        if (objective.waitMicros() == 0 && objective.finishMicros() == 0) {
            return !objectives.isStarved(job, nowMicros);
        }
        return leavesTimeForObjective(job, objective, pendingCpuMillis, nowMicros);
    }

    /**
     * Returns whether the job meets its deadline if it waits for cheap capacity. The wait includes the boot time of a
     * machine, so that one can still be launched if the wait turns out longer than expected.
     */
    private boolean leavesTimeForDeadline(ActiveJob job, double pendingCpuMillis, long nowMicros) {
        double waitMicros = workload.deadlineWorkCompletionOnCheapCapacityMicros(pendingCpuMillis)
                + objectives.shortestBootMicros();
        return activeJobs.ageMicros(job, nowMicros) + waitMicros + runtimeEstimator.expectedTaskMicros(job)
                <= job.spec().deadlineMicros();
    }

    private boolean leavesTimeForObjective(
            ActiveJob job, Objective objective, double pendingCpuMillis, long nowMicros) {
        long waitedMicros =
                job.scheduling().isWaiting() ? nowMicros - job.scheduling().waitingSinceMicros() : 0;
        return waitedMicros + workload.completionOnCheapCapacityMicros(pendingCpuMillis)
                <= maxWaitMicros(job, objective) * tuning.deferralShare();
    }

    /** Returns how many microseconds the job's tasks can wait for their start and still meet the objective. */
    private double maxWaitMicros(ActiveJob job, Objective objective) {
        double byWait = objective.waitMicros() == 0 ? Double.MAX_VALUE : objective.waitMicros();
        double byFinish = objective.finishMicros() == 0
                ? Double.MAX_VALUE
                : objective.finishMicros() - runtimeEstimator.expectedTaskMicros(job);
        return Math.min(byWait, byFinish);
    }
}
