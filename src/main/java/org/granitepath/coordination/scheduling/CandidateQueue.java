package org.granitepath.coordination.scheduling;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.stream.Stream;
import org.granitepath.coordination.jobs.JobLifecycle;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.SchedulingClass;
import org.granitepath.coordination.placement.BatchPlanner;
import org.granitepath.coordination.placement.StartDelay;

/**
 * Priority queue of the jobs that can start a task in this scheduling cycle. It is ordered by scheduling class; within
 * a class, the job with the lowest fair share comes first.
 */
final class CandidateQueue {
    /** A queued job with its scheduling class and fair share at the time of queueing. */
    record Candidate(ActiveJob job, SchedulingClass schedulingClass, double share) {
        /** Orders by class, then by lowest share; among equal shares by higher priority, then by age, oldest first. */
        static final Comparator<Candidate> SCHEDULING_ORDER = Comparator.comparing(Candidate::schedulingClass)
                .thenComparingDouble(Candidate::share)
                .thenComparing(candidate -> candidate.job().spec().priority())
                .thenComparingLong(candidate -> candidate.job().acceptedMicros());
    }

    private final ActiveJobs activeJobs;
    private final TermRecovery recovery;
    private final JobLifecycle jobs;
    private final BatchPlanner batchPlanner;
    private final FairShare fairShare;
    private final PriorityQueue<Candidate> queue = new PriorityQueue<>(Candidate.SCHEDULING_ORDER);

    CandidateQueue(
            ActiveJobs activeJobs,
            TermRecovery recovery,
            JobLifecycle jobs,
            BatchPlanner batchPlanner,
            FairShare fairShare) {
        this.activeJobs = activeJobs;
        this.recovery = recovery;
        this.jobs = jobs;
        this.batchPlanner = batchPlanner;
        this.fairShare = fairShare;
    }

    /**
     * Replaces the queue with all jobs that have a claimed task to start, and records which jobs have waiting tasks.
     */
    void refill(long nowMicros) {
        queue.clear();
        for (ActiveJob job : activeJobs.all()) {
            if (job.waitingTasks() <= 0) {
                job.scheduling().clearWaiting();
                continue;
            }
            if (job.scheduling().notBeforeMicros() > nowMicros) {
                continue;
            }
            jobs.claimNextBlock(job);
            job.scheduling().markWaiting(nowMicros);
            if (job.hasStartableTask() && recovery.canStart(job)) {
                add(job, nowMicros);
            }
        }
    }

    /** Queues a job again with its current share if it has another claimed task to start. */
    void requeue(ActiveJob job, long nowMicros) {
        jobs.claimNextBlock(job);
        if (job.waitingTasks() > 0 && job.hasStartableTask()) {
            add(job, nowMicros);
        }
    }

    /** Returns whether no candidate is left in this cycle. */
    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Removes and returns the job that gets the next task. The queue must not be empty. */
    ActiveJob poll() {
        return queue.poll().job();
    }

    /** Returns the queued jobs, in no particular order. */
    Stream<ActiveJob> queuedJobs() {
        return queue.stream().map(Candidate::job);
    }

    private void add(ActiveJob job, long nowMicros) {
        job.scheduling().setDeferrable(isDeferrable(job, nowMicros));
        queue.add(candidate(job));
    }

    /**
     * Returns whether the job can wait for cheap capacity. A job that has gone without a start for {@link
     * StartDelay#MAX_WITH_FREE_CAPACITY_MICROS} is not deferred any longer, so that it does not wait while capacity is
     * free.
     */
    private boolean isDeferrable(ActiveJob job, long nowMicros) {
        return StartDelay.delayMicros(job, nowMicros) < StartDelay.MAX_WITH_FREE_CAPACITY_MICROS
                && !batchPlanner.needsImmediateStart(job)
                && batchPlanner.isDeferrable(job, 0, nowMicros);
    }

    private Candidate candidate(ActiveJob job) {
        return new Candidate(
                job,
                job.isLiveService()
                        ? SchedulingClass.LIVE_SERVICE
                        : job.scheduling().schedulingClass(),
                fairShare.share(
                        job.spec().priority(),
                        job.spec().hasDeadline(),
                        job.spec().tasks(),
                        job.unfinishedTasks(),
                        job.runningTasks()));
    }
}
