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

/** The jobs that may start a task in this scheduling cycle: by class, within a class the lowest share first. */
final class CandidateQueue {
    /** A job with the class and the share that it had when it was queued. */
    record Candidate(ActiveJob job, SchedulingClass schedulingClass, double share) {
        /** Which candidate gets the next task; among equal shares the higher priority, then the older job. */
        static final Comparator<Candidate> FIRST_SERVED = Comparator.comparing(Candidate::schedulingClass)
                .thenComparingDouble(Candidate::share)
                .thenComparing(candidate -> candidate.job().spec().priority())
                .thenComparingLong(candidate -> candidate.job().acceptedMicros());
    }

    private final ActiveJobs activeJobs;
    private final TermRecovery recovery;
    private final JobLifecycle jobs;
    private final BatchPlanner batchPlanner;
    private final FairShare fairShare;
    private final PriorityQueue<Candidate> queue = new PriorityQueue<>(Candidate.FIRST_SERVED);

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

    /** Queues all jobs that have a claimed task to start, and notes which jobs wait. */
    void refill(long nowMicros) {
        queue.clear();
        for (ActiveJob job : activeJobs.all()) {
            if (job.waitingTasks() <= 0) {
                job.scheduling().noTaskWaiting();
                continue;
            }
            if (job.scheduling().notBeforeMicros() > nowMicros) {
                continue;
            }
            jobs.claim(job);
            job.scheduling().tasksWaiting(nowMicros);
            if (job.hasClaimedTask() && recovery.mayStart(job)) {
                add(job, nowMicros);
            }
        }
    }

    /** Queues a job again, by its present share, if it has a further claimed task. */
    void addAgain(ActiveJob job, long nowMicros) {
        jobs.claim(job);
        if (job.waitingTasks() > 0 && job.hasClaimedTask()) {
            add(job, nowMicros);
        }
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Removes the job that gets the next task. */
    ActiveJob poll() {
        return queue.poll().job();
    }

    /** The queued jobs, in no particular order. */
    Stream<ActiveJob> queuedJobs() {
        return queue.stream().map(Candidate::job);
    }

    private void add(ActiveJob job, long nowMicros) {
        job.scheduling().setDeferrable(isDeferrable(job, nowMicros));
        queue.add(candidate(job));
    }

    /** However well a job could wait, it is not left without a start for long while capacity is free. */
    private boolean isDeferrable(ActiveJob job, long nowMicros) {
        return StartDelay.micros(job, nowMicros) < StartDelay.MAX_WITH_FREE_CAPACITY_MICROS
                && !batchPlanner.needsImmediateStart(job)
                && batchPlanner.isDeferrable(job, 0, nowMicros);
    }

    private Candidate candidate(ActiveJob job) {
        return new Candidate(
                job,
                job.isLive() ? SchedulingClass.LIVE : job.scheduling().schedulingClass(),
                fairShare.share(
                        job.spec().priority(),
                        job.spec().hasDeadline(),
                        job.spec().tasks(),
                        job.unfinishedTasks(),
                        job.running()));
    }
}
