package org.granitepath.coordination.placement;

import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.config.Objective;
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

    private final Config config;
    private final ActiveJobs activeJobs;
    private final RuntimeEstimator runtimeEstimator;
    private final JobObjectives objectives;
    private final CapacitySurvey survey;
    private final DeadlineClassifier deadlineClassifier;
    private final GuaranteeClassifier guaranteeClassifier;
    private long nextUpdateMicros;
    private long largestPromptGangCpuMillis;

    /** Knows nothing before the first update. */
    public BatchPlanner(Config config, Fleet fleet, ActiveJobs activeJobs, RuntimeEstimator runtimeEstimator) {
        this.config = config;
        this.activeJobs = activeJobs;
        this.runtimeEstimator = runtimeEstimator;
        this.objectives = new JobObjectives(config, fleet, activeJobs);
        this.survey = new CapacitySurvey(config, fleet, activeJobs, runtimeEstimator);
        this.deadlineClassifier = new DeadlineClassifier(activeJobs, objectives, survey, runtimeEstimator);
        this.guaranteeClassifier = new GuaranteeClassifier(config.teams(), activeJobs);
    }

    /** Looks at all jobs and machines anew, unless it did so lately. */
    public void update(long nowMicros) {
        if (nowMicros < nextUpdateMicros) {
            return;
        }
        nextUpdateMicros = nowMicros + INTERVAL_MICROS;
        survey.update(nowMicros);
        deadlineClassifier.classify(nowMicros);
        guaranteeClassifier.classify();
        largestPromptGangCpuMillis = activeJobs.all().stream()
                .filter(job -> job.spec().gang() && needsImmediateStart(job))
                .mapToLong(job -> job.spec().cpuMillis() * job.spec().tasks())
                .max()
                .orElse(0);
    }

    /**
     * Thousandths of a CPU that all tasks of the largest gang take of those at hand that {@linkplain
     * #needsImmediateStart need an immediate start}; 0: there is none.
     */
    public long largestPromptGangCpuMillis() {
        return largestPromptGangCpuMillis;
    }

    /** How many microseconds the batch work at hand takes, with so much more capacity, in thousandths of a CPU. */
    public double drainMicros(double moreCpuMillis) {
        return survey.drainMicros(moreCpuMillis);
    }

    /**
     * Whether the job can wait for capacity that is cheap or paid for anyway: until its deadline is at stake, until the
     * time by which its tasks are expected to start, or, where nothing is expected, until it is starved.
     *
     * @param pendingCpuMillis capacity that is on its way, in thousandths of a CPU
     */
    public boolean deferrable(ActiveJob job, double pendingCpuMillis, long nowMicros) {
        if (job.spec().service() || job.spec().gang() || !job.spec().spot()) {
            return false;
        }
        if (job.spec().hasDeadline() && objectives.finishInsteadOfDeadlineMicros(job) == 0) {
            return leavesTimeForDeadline(job, pendingCpuMillis, nowMicros);
        }
        Objective objective = objectives.of(job);
        if (objective.waitMicros() == 0 && objective.finishMicros() == 0) {
            return !objectives.isStarved(job, nowMicros);
        }
        return leavesTimeForObjective(job, objective, pendingCpuMillis, nowMicros);
    }

    /** Should the wait turn out longer, there must be time left to launch a machine after all. */
    private boolean leavesTimeForDeadline(ActiveJob job, double pendingCpuMillis, long nowMicros) {
        double waitMicros =
                survey.drainDeadlineWorkOnCheapCapacityMicros(pendingCpuMillis) + objectives.shortestBootMicros();
        return activeJobs.ageMicros(job, nowMicros) + waitMicros + runtimeEstimator.taskMicros(job)
                <= job.spec().deadlineMicros();
    }

    private boolean leavesTimeForObjective(
            ActiveJob job, Objective objective, double pendingCpuMillis, long nowMicros) {
        double latestStartMicros = Math.min(
                objective.waitMicros() == 0 ? Double.MAX_VALUE : objective.waitMicros(),
                objective.finishMicros() == 0
                        ? Double.MAX_VALUE
                        : objective.finishMicros() - runtimeEstimator.taskMicros(job));
        long waitedMicros =
                !job.scheduling().isWaiting() ? 0 : nowMicros - job.scheduling().waitingSinceMicros();
        return waitedMicros + survey.drainOnCheapCapacityMicros(pendingCpuMillis)
                <= latestStartMicros * config.tuning().deferralShare();
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
