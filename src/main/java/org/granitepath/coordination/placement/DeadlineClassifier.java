package org.granitepath.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.SchedulingClass;

/** Assigns each job its scheduling class, depending on which jobs can still meet their deadlines all together. */
final class DeadlineClassifier {
    /**
     * The usable share of the capacity. The rest is lost to imperfect packing and to tasks on machines to be drained.
     */
    private static final double USABLE_CAPACITY_SHARE = 0.9;

    /** The last wave of a job's tasks leaves capacity unused for this share of a task's run time on average. */
    private static final double LAST_WAVE_TASK_SHARE = 0.5;

    /**
     * A job that must complete by a certain time.
     *
     * @param work the CPU time that it still needs, in the unit of {@link CapacitySurvey}
     * @param timeLeftMicros the time until it is late; negative if it is late already
     */
    private record DueJob(ActiveJob job, double work, double timeLeftMicros) {}

    private final ActiveJobs activeJobs;
    private final JobObjectives objectives;
    private final CapacitySurvey survey;
    private final RuntimeEstimator runtimeEstimator;

    DeadlineClassifier(
            ActiveJobs activeJobs, JobObjectives objectives, CapacitySurvey survey, RuntimeEstimator runtimeEstimator) {
        this.activeJobs = activeJobs;
        this.objectives = objectives;
        this.survey = survey;
        this.runtimeEstimator = runtimeEstimator;
    }

    /** Assigns each job its class, without regard to guaranteed quotas. */
    void classify(long nowMicros) {
        List<DueJob> possiblyInTime = new ArrayList<>();
        List<DueJob> late = new ArrayList<>();
        for (ActiveJob job : activeJobs.all()) {
            if (job.runningTasks() > 0) {
                job.scheduling().recordRunning(nowMicros);
            }
            SchedulingClass fixedClass = classWhateverTheDeadline(job, nowMicros);
            job.scheduling().setSchedulingClass(fixedClass);
            if (fixedClass == SchedulingClass.OTHER && isToBeInTime(job)) {
                DueJob due = dueJob(job, nowMicros);
                boolean possible = runtimeEstimator.expectedTaskMicros(job) <= due.timeLeftMicros();
                List<DueJob> jobs = possible ? possiblyInTime : late;
                jobs.add(due);
            }
        }
        double workInTime = selectFeasible(possiblyInTime, late, SchedulingClass.MEETS_DEADLINE, 0);
        List<DueJob> possiblyNearlyInTime = withExtendedDeadlines(late);
        selectFeasible(possiblyNearlyInTime, new ArrayList<>(), SchedulingClass.MEETS_EXTENDED_DEADLINE, workInTime);
    }

    /** Returns the class of a job whose class does not depend on a deadline; {@code ANY} for all other jobs. */
    private SchedulingClass classWhateverTheDeadline(ActiveJob job, long nowMicros) {
        if (job.isLiveService()) {
            return SchedulingClass.LIVE_SERVICE;
        }
        return objectives.isStarved(job, nowMicros) || objectives.isGangWithObjective(job)
                ? SchedulingClass.MEETS_DEADLINE
                : SchedulingClass.OTHER;
    }

    private boolean isToBeInTime(ActiveJob job) {
        return job.spec().hasDeadline() || objectives.finishInsteadOfDeadlineMicros(job) > 0;
    }

    private DueJob dueJob(ActiveJob job, long nowMicros) {
        long objectiveMicros = objectives.finishInsteadOfDeadlineMicros(job);
        long allowedMicros = objectiveMicros > 0 ? objectiveMicros : job.spec().deadlineMicros();
        long timeLeftMicros = allowedMicros - activeJobs.ageMicros(job, nowMicros);
        return new DueJob(job, survey.remainingWork(job), timeLeftMicros);
    }

    /**
     * Returns those of the late jobs that can complete within the multiple of their deadline that their class allows.
     */
    private List<DueJob> withExtendedDeadlines(List<DueJob> late) {
        List<DueJob> extended = new ArrayList<>();
        for (DueJob due : late) {
            double times = objectives.of(due.job()).deadlineFactor();
            double timeLeftMicros =
                    due.timeLeftMicros() + (times - 1) * due.job().spec().deadlineMicros();
            if (times > 1 && runtimeEstimator.expectedTaskMicros(due.job()) <= timeLeftMicros) {
                extended.add(new DueJob(due.job(), due.work(), timeLeftMicros));
            }
        }
        return extended;
    }

    /**
     * Assigns a class to the largest number of jobs that can all complete in time. Adds the jobs in the order of their
     * deadlines; whenever the total work is too much, drops the job with the most work (the Moore-Hodgson rule, which
     * minimizes the number of late jobs).
     *
     * @param leftOut receives the jobs that are dropped
     * @param workBefore the work that is scheduled before these jobs
     * @return the total work of the selected jobs and the work before them
     */
    private double selectFeasible(
            List<DueJob> jobs, List<DueJob> leftOut, SchedulingClass schedulingClass, double workBefore) {
        jobs.sort(Comparator.comparingDouble(DueJob::timeLeftMicros));
        PriorityQueue<DueJob> selected =
                new PriorityQueue<>(Comparator.comparingDouble(DueJob::work).reversed());
        double capacity = survey.capacityCpuMillis();
        double sum = workBefore;
        for (DueJob due : jobs) {
            selected.add(due);
            sum += due.work();
            double usableWork = capacity * USABLE_CAPACITY_SHARE * usableMicros(due);
            while (sum > usableWork && !selected.isEmpty() && capacity > 0) {
                DueJob largest = selected.poll();
                sum -= largest.work();
                leftOut.add(largest);
            }
        }
        for (DueJob due : selected) {
            due.job().scheduling().setSchedulingClass(schedulingClass);
        }
        return sum;
    }

    private double usableMicros(DueJob due) {
        return due.timeLeftMicros() - LAST_WAVE_TASK_SHARE * runtimeEstimator.expectedTaskMicros(due.job());
    }
}
