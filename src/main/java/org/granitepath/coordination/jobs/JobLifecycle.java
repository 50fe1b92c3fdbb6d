package org.granitepath.coordination.jobs;

import java.util.List;
import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Placement;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.ProgressRecord;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The life of jobs during one term of leadership: opened, claimed in blocks, done or cancelled. What goes on record of
 * them is written by {@link JobRecorder}.
 */
public final class JobLifecycle implements JobIndex.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(JobLifecycle.class);
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final JobIndex jobIndex;
    private final JobRecorder recorder;
    private final TermRecovery recovery;
    private final ActiveJobs jobs;
    private final TaskLifecycle tasks;
    private final ArrivalRate arrivalRate;
    private final Timers timers;
    private final SchedulingLoop loop;

    /** Opens nothing before it is started. */
    public JobLifecycle(
            JobIndex jobIndex,
            JobRecorder recorder,
            TermRecovery recovery,
            ActiveJobs jobs,
            TaskLifecycle tasks,
            ArrivalRate arrivalRate,
            Timers timers,
            SchedulingLoop loop) {
        this.jobIndex = jobIndex;
        this.recorder = recorder;
        this.recovery = recovery;
        this.jobs = jobs;
        this.tasks = tasks;
        this.arrivalRate = arrivalRate;
        this.timers = timers;
        this.loop = loop;
    }

    /** Opens all jobs on record and follows their records from now on. */
    public void start() {
        for (JobRecord record : jobIndex.openJobs()) {
            open(record);
        }
        jobIndex.listen(this);
        loop.requestCycle();
    }

    /** The term is over: records are followed no more. */
    public void end() {
        jobIndex.stopListening();
    }

    private void open(JobRecord record) {
        if (recorder.isClaimedBySuccessor(record)) {
            return;
        }
        if (jobIndex.unreadable(record.spec().id())) {
            LOG.error(
                    "job {}: a record of it can't be read; its tasks are left alone and none starts in this term",
                    record.spec().id());
            return;
        }
        ActiveJob job = new ActiveJob(record, jobIndex.progressOf(record.spec().id()), timers.nowMicros());
        jobs.add(job);
        if (recorder.isClaimedByThisTerm(record)) {
            // What was claimed for us from the first can't have been started by a predecessor.
            job.resolveUnconfirmed();
        } else {
            recovery.resolveTasks(job);
        }
        completeIfDone(job);
    }

    /** Records the end of the job when all its tasks are done. */
    public void completeIfDone(ActiveJob job) {
        if (job.isOpen() && job.unfinishedTasks() == 0) {
            job.markCompleting();
            recorder.recordDone(job);
        }
    }

    @Override
    public void accepted(JobRecord record) {
        if (jobs.get(record.spec().id()) != null) {
            return;
        }
        open(record);
        ActiveJob job = jobs.get(record.spec().id());
        if (job != null) {
            arrivalRate.recordArrival(job, timers.nowMicros());
        }
        loop.requestCycle();
    }

    @Override
    public void progressed(String id, ProgressRecord progress) {
        ActiveJob job = jobs.get(id);
        if (job != null && progress.claimed() > job.claimedTasks()) {
            job.confirmClaim(progress.claimed());
            loop.requestCycle();
        }
    }

    @Override
    public void ended(String id, FinalRecord.Outcome outcome) {
        ActiveJob job = jobs.get(id);
        if (job == null) {
            return;
        }
        job.markEnded(outcome.toString());
        if (outcome == FinalRecord.Outcome.DONE) {
            logDone(job);
        }
        for (Placement placement : List.copyOf(job.placements())) {
            tasks.stop(placement, 0, "job " + outcome);
        }
        jobs.removeIfEnded(job);
        loop.requestCycle();
    }

    private void logDone(ActiveJob job) {
        long ageMicros = jobs.ageMicros(job, timers.nowMicros());
        String due = "";
        if (job.spec().hasDeadline()) {
            due = (ageMicros > job.spec().deadlineMicros() ? ", LATE, due after " : ", due after ")
                    + job.spec().deadlineMicros() / MICROS_PER_SECOND + " s";
        }
        LOG.info(
                "job {} of {} ({} tasks) done after {} s{}",
                job.spec().id(),
                job.spec().jobClass(),
                job.spec().tasks(),
                ageMicros / MICROS_PER_SECOND,
                due);
    }

    /** Claims the next block of task numbers in good time, before the present one is used up. */
    public void claimNextBlock(ActiveJob job) {
        recorder.claimNextBlock(job);
    }

    /** A task of the job is done: the count goes on record some time soon. */
    public void recordTaskDone(ActiveJob job) {
        recorder.recordTaskDone(job);
    }
}
