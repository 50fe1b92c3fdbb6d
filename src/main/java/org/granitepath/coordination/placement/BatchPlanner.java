package org.granitepath.coordination.placement;

import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;

/**
 * Compares the waiting batch work with the current capacity, to determine the largest set of jobs that can all meet
 * their deadlines and the jobs that can wait for cheap capacity. Evaluates all jobs together a few times a second, not
 * at each scheduling decision.
 */
public final class BatchPlanner {
    private static final long INTERVAL_MICROS = 250_000;

    private final ActiveJobs activeJobs;
    private final JobObjectives objectives;
    private final WorkloadTotals workload;
    private final DeferralPolicy deferralPolicy;
    private final DeadlineClassifier deadlineClassifier;
    private final GuaranteeClassifier guaranteeClassifier;
    private long nextUpdateMicros;
    private long largestImmediateStartGangCpuMillis;

    /** Creates a planner that has no data before the first update. */
    public BatchPlanner(Config config, Fleet fleet, ActiveJobs activeJobs, RuntimeEstimator runtimeEstimator) {
        this.activeJobs = activeJobs;
        this.objectives = new JobObjectives(config, fleet, activeJobs);
        this.workload = new WorkloadTotals(config, fleet, activeJobs, runtimeEstimator);
        this.deferralPolicy = new DeferralPolicy(config.tuning(), activeJobs, objectives, workload, runtimeEstimator);
        this.deadlineClassifier = new DeadlineClassifier(activeJobs, objectives, workload, runtimeEstimator);
        this.guaranteeClassifier = new GuaranteeClassifier(config.teams(), activeJobs);
    }

    /** Evaluates all jobs and machines again, unless less than the update interval has passed since the last time. */
    public void updateIfDue(long nowMicros) {
        if (nowMicros < nextUpdateMicros) {
            return;
        }
        nextUpdateMicros = nowMicros + INTERVAL_MICROS;
        workload.update(nowMicros);
        deadlineClassifier.classify(nowMicros);
        guaranteeClassifier.classify();
        largestImmediateStartGangCpuMillis = activeJobs.all().stream()
                .filter(job -> job.spec().isGang() && needsImmediateStart(job))
                .mapToLong(job -> job.spec().cpuMillis() * job.spec().tasks())
                .max()
                .orElse(0);
    }

    /**
     * Returns the total CPU of all tasks of the largest gang that {@linkplain #needsImmediateStart needs an immediate
     * start}, in thousandths of a CPU; 0 if there is no such gang.
     */
    public long largestImmediateStartGangCpuMillis() {
        return largestImmediateStartGangCpuMillis;
    }

    /**
     * Returns how many microseconds all current batch work takes to complete.
     *
     * @param additionalCpuMillis capacity in addition to the current one, in thousandths of a CPU
     */
    public double batchCompletionMicros(double additionalCpuMillis) {
        return workload.completionMicros(additionalCpuMillis);
    }

    /**
     * Returns whether the job can wait for capacity that is cheap or paid for in any case. It can wait until its
     * deadline is at risk, until its class's objective requires its tasks to start, or, if it has neither, until it is
     * starved.
     *
     * @param pendingCpuMillis capacity that is being launched, in thousandths of a CPU
     */
    public boolean isDeferrable(ActiveJob job, double pendingCpuMillis, long nowMicros) {
        return deferralPolicy.isDeferrable(job, pendingCpuMillis, nowMicros);
    }

    /**
     * Returns whether any wait for cheap capacity would miss the job's objective: the job is within its team's
     * guaranteed quota, or the objective of its class requires a start sooner than a machine boots. Such a job uses
     * whatever capacity there is.
     */
    public boolean needsImmediateStart(ActiveJob job) {
        return objectives.needsImmediateStart(job);
    }
}
