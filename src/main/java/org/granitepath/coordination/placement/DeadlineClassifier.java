package org.granitepath.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.SchedulingClass;

/** Assigns each job its scheduling class. Jobs with deadlines are selected so that all selected ones can meet them. */
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
     * @param work the CPU time that it still needs, in the unit of {@link WorkloadTotals}
     * @param timeLeftMicros the time until it is late; negative if it is late already
     */
    private record DeadlineJob(ActiveJob job, double work, double timeLeftMicros) {}

    private final ActiveJobs activeJobs;
    private final JobObjectives objectives;
    private final WorkloadTotals workload;
    private final RuntimeEstimator runtimeEstimator;

    DeadlineClassifier(
            ActiveJobs activeJobs,
            JobObjectives objectives,
            WorkloadTotals workload,
            RuntimeEstimator runtimeEstimator) {
        this.activeJobs = activeJobs;
        this.objectives = objectives;
        this.workload = workload;
        this.runtimeEstimator = runtimeEstimator;
    }

    /** Assigns each job its class, without regard to guaranteed quotas. */
    void classify(long nowMicros) {
        List<DeadlineJob> candidates = new ArrayList<>();
        List<DeadlineJob> late = new ArrayList<>();
        for (ActiveJob job : activeJobs.all()) {
            if (job.runningTasks() > 0) {
                job.scheduling().recordRunning(nowMicros);
            }
            SchedulingClass independentClass = deadlineIndependentClass(job, nowMicros);
            job.scheduling().setSchedulingClass(independentClass);
            if (independentClass == SchedulingClass.OTHER && mustCompleteInTime(job)) {
                DeadlineJob due = deadlineJob(job, nowMicros);
                boolean possible = runtimeEstimator.expectedTaskMicros(job) <= due.timeLeftMicros();
                List<DeadlineJob> jobs = possible ? candidates : late;
                jobs.add(due);
            }
        }
        double selectedWork = selectFeasible(candidates, late, SchedulingClass.MEETS_DEADLINE, 0);
        List<DeadlineJob> extendedCandidates = withExtendedDeadlines(late);
        selectFeasible(extendedCandidates, new ArrayList<>(), SchedulingClass.MEETS_EXTENDED_DEADLINE, selectedWork);
    }

    /** Returns the class of a job whose class does not depend on a deadline; {@code OTHER} for all other jobs. */
    private SchedulingClass deadlineIndependentClass(ActiveJob job, long nowMicros) {
        if (job.isLiveService()) {
            return SchedulingClass.LIVE_SERVICE;
        }
        return objectives.isStarved(job, nowMicros) || objectives.isGangWithObjective(job)
                ? SchedulingClass.MEETS_DEADLINE
                : SchedulingClass.OTHER;
    }

    private boolean mustCompleteInTime(ActiveJob job) {
        return job.spec().hasDeadline() || objectives.deadlineOverrideMicros(job) > 0;
    }

    private DeadlineJob deadlineJob(ActiveJob job, long nowMicros) {
        long objectiveMicros = objectives.deadlineOverrideMicros(job);
        long allowedMicros = objectiveMicros > 0 ? objectiveMicros : job.spec().deadlineMicros();
        long timeLeftMicros = allowedMicros - activeJobs.ageMicros(job, nowMicros);
        return new DeadlineJob(job, workload.remainingWork(job), timeLeftMicros);
    }

    /**
     * Returns those of the late jobs that can complete within the multiple of their deadline that their class allows.
     */
    private List<DeadlineJob> withExtendedDeadlines(List<DeadlineJob> late) {
        List<DeadlineJob> extended = new ArrayList<>();
        for (DeadlineJob due : late) {
            double deadlineFactor = objectives.of(due.job()).deadlineFactor();
            double timeLeftMicros = due.timeLeftMicros()
                    + (deadlineFactor - 1) * due.job().spec().deadlineMicros();
            if (deadlineFactor > 1 && runtimeEstimator.expectedTaskMicros(due.job()) <= timeLeftMicros) {
                extended.add(new DeadlineJob(due.job(), due.work(), timeLeftMicros));
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
            List<DeadlineJob> jobs, List<DeadlineJob> leftOut, SchedulingClass schedulingClass, double workBefore) {
        jobs.sort(Comparator.comparingDouble(DeadlineJob::timeLeftMicros));
        PriorityQueue<DeadlineJob> selected = new PriorityQueue<>(
                Comparator.comparingDouble(DeadlineJob::work).reversed());
        double capacity = workload.capacityCpuMillis();
        double sum = workBefore;
        for (DeadlineJob due : jobs) {
            selected.add(due);
            sum += due.work();
            double usableWork = capacity * USABLE_CAPACITY_SHARE * usableMicros(due);
            while (sum > usableWork && !selected.isEmpty() && capacity > 0) {
                DeadlineJob largest = selected.poll();
                sum -= largest.work();
                leftOut.add(largest);
            }
        }
        for (DeadlineJob due : selected) {
            due.job().scheduling().setSchedulingClass(schedulingClass);
        }
        return sum;
    }

    private double usableMicros(DeadlineJob due) {
        return due.timeLeftMicros() - LAST_WAVE_TASK_SHARE * runtimeEstimator.expectedTaskMicros(due.job());
    }
}
