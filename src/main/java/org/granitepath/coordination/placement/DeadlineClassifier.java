package org.granitepath.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.SchedulingClass;

/** Puts each job into its scheduling class, by which jobs can still make their deadlines, all together. */
final class DeadlineClassifier {
    /** The share of the capacity left by what packing leaves unused and what runs on machines to be emptied. */
    private static final double USABLE_CAPACITY_SHARE = 0.9;

    /** The last wave of a job's tasks leaves capacity unused for this share of a task, on the average. */
    private static final double LAST_WAVE_TASK_SHARE = 0.5;

    /**
     * A job that is to be complete in time.
     *
     * @param work the CPU time that it still needs, as {@link CapacitySurvey} counts it
     * @param timeLeftMicros until it is late
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

    /** Puts each job into its class, guaranteed quotas aside. */
    void classify(long nowMicros) {
        List<DueJob> possiblyInTime = new ArrayList<>();
        List<DueJob> late = new ArrayList<>();
        for (ActiveJob job : activeJobs.all()) {
            if (job.running() > 0) {
                job.scheduling().seenRunning(nowMicros);
            }
            SchedulingClass fixedClass = classWhateverTheDeadline(job, nowMicros);
            job.scheduling().classify(fixedClass);
            if (fixedClass == SchedulingClass.ANY && isToBeInTime(job)) {
                DueJob due = dueJob(job, nowMicros);
                boolean possible = runtimeEstimator.taskMicros(job) <= due.timeLeftMicros();
                List<DueJob> jobs = possible ? possiblyInTime : late;
                jobs.add(due);
            }
        }
        double workInTime = selectFeasible(possiblyInTime, late, SchedulingClass.IN_TIME, 0);
        List<DueJob> possiblyNearlyInTime = withExtendedDeadlines(late);
        selectFeasible(possiblyNearlyInTime, new ArrayList<>(), SchedulingClass.NEARLY, workInTime);
    }

    /** The class of a job that needs no deadline to be in it; {@code ANY} for all others. */
    private SchedulingClass classWhateverTheDeadline(ActiveJob job, long nowMicros) {
        if (job.isLive()) {
            return SchedulingClass.LIVE;
        }
        return objectives.isStarved(job, nowMicros) || objectives.isGangWithObjective(job)
                ? SchedulingClass.IN_TIME
                : SchedulingClass.ANY;
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

    /** Of late jobs, those that can be complete within the multiple of their deadline that their class is allowed. */
    private List<DueJob> withExtendedDeadlines(List<DueJob> late) {
        List<DueJob> extended = new ArrayList<>();
        for (DueJob due : late) {
            double times = objectives.of(due.job()).deadlineFactor();
            double timeLeftMicros =
                    due.timeLeftMicros() + (times - 1) * due.job().spec().deadlineMicros();
            if (times > 1 && runtimeEstimator.taskMicros(due.job()) <= timeLeftMicros) {
                extended.add(new DueJob(due.job(), due.work(), timeLeftMicros));
            }
        }
        return extended;
    }

    /**
     * Puts into a class the largest number of jobs that can all be in time: by deadline, and whenever the work so far
     * is too much, the job with the most work is left out (Moore's rule for the fewest late jobs).
     *
     * @param leftOut receives the jobs that are left out
     * @param workBefore work that is done before that of these jobs
     * @return the work of the selected jobs and that before it
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
            due.job().scheduling().classify(schedulingClass);
        }
        return sum;
    }

    private double usableMicros(DueJob due) {
        return due.timeLeftMicros() - LAST_WAVE_TASK_SHARE * runtimeEstimator.taskMicros(due.job());
    }
}
