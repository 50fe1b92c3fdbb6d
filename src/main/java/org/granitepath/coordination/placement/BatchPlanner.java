package org.granitepath.coordination.placement;

import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;

/**
 * What waiting batch work can expect of the capacity at hand: which jobs can still make their deadlines, all
 * together, and which can wait for cheap capacity. Looked at a few times a second for all jobs as a class, not at
 * each decision.
 */
public final class BatchPlanner {
    private static final long INTERVAL_MICROS = 250_000;

    private final ActiveJobs activeJobs;
    private final JobObjectives objectives;
    private final CapacitySurvey survey;
    private final Deferral deferral;
    private final DeadlineClassifier deadlineClassifier;
    private final GuaranteeClassifier guaranteeClassifier;
    private long nextUpdateMicros;
    private long largestUrgentGangCpuMillis;

    /** Knows nothing before the first update. */
    public BatchPlanner(Config config, Fleet fleet, ActiveJobs activeJobs, RuntimeEstimator runtimeEstimator) {
        this.activeJobs = activeJobs;
        this.objectives = new JobObjectives(config, fleet, activeJobs);
        this.survey = new CapacitySurvey(config, fleet, activeJobs, runtimeEstimator);
        this.deferral = new Deferral(config.tuning(), activeJobs, objectives, survey, runtimeEstimator);
        this.deadlineClassifier = new DeadlineClassifier(activeJobs, objectives, survey, runtimeEstimator);
        this.guaranteeClassifier = new GuaranteeClassifier(config.teams(), activeJobs);
    }

    /** Looks at all jobs and machines anew, unless it did so lately. */
    public void updateIfDue(long nowMicros) {
        if (nowMicros < nextUpdateMicros) {
            return;
        }
        nextUpdateMicros = nowMicros + INTERVAL_MICROS;
        survey.update(nowMicros);
        deadlineClassifier.classify(nowMicros);
        guaranteeClassifier.classify();
        largestUrgentGangCpuMillis = activeJobs.all().stream()
                .filter(job -> job.spec().gang() && needsImmediateStart(job))
                .mapToLong(job -> job.spec().cpuMillis() * job.spec().tasks())
                .max()
                .orElse(0);
    }

    /**
     * Thousandths of a CPU that all tasks of the largest gang take of those at hand that {@linkplain
     * #needsImmediateStart need an immediate start}; 0: there is none.
     */
    public long largestUrgentGangCpuMillis() {
        return largestUrgentGangCpuMillis;
    }

    /** How many microseconds the batch work at hand takes, with so much more capacity, in thousandths of a CPU. */
    public double batchCompletionMicros(double moreCpuMillis) {
        return survey.drainMicros(moreCpuMillis);
    }

    /**
     * Whether the job can wait for capacity that is cheap or paid for anyway: until its deadline is at stake, until the
     * time by which its tasks are expected to start, or, where nothing is expected, until it is starved.
     *
     * @param pendingCpuMillis capacity that is on its way, in thousandths of a CPU
     */
    public boolean isDeferrable(ActiveJob job, double pendingCpuMillis, long nowMicros) {
        return deferral.canWait(job, pendingCpuMillis, nowMicros);
    }

    /**
     * Whether waiting for cheap capacity would already miss what is expected: the job is within its team's guaranteed
     * quota, or its class is expected to start sooner than a machine boots. Such work takes whatever capacity there
     * is.
     */
    public boolean needsImmediateStart(ActiveJob job) {
        return objectives.needsImmediateStart(job);
    }
}
