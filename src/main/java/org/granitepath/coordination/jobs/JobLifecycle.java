package org.granitepath.coordination.jobs;

import java.util.List;
import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Placement;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.Micros;
import org.granitepath.storage.ProgressRecord;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The life cycle of jobs during one leadership term: jobs are opened, claimed in blocks of tasks, and completed or
 * cancelled. {@link JobRecorder} writes their records.
 */
public final class JobLifecycle implements JobIndex.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(JobLifecycle.class);

    private final JobIndex jobIndex;
    private final JobRecorder recorder;
    private final TermRecovery recovery;
    private final ActiveJobs jobs;
    private final TaskLifecycle tasks;
    private final ArrivalRate arrivalRate;
    private final Timers timers;
    private final SchedulingLoop loop;

    /** Creates the life cycle. No job is opened before {@link #start}. */
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

    /** Opens all unfinished jobs in the records and follows changes of the records from now on. */
    public void start() {
        for (JobRecord record : jobIndex.openJobs()) {
            open(record);
        }
        jobIndex.setListener(this);
        loop.requestCycle();
    }

    /** Ends the term: changes of the records are no longer followed. */
    public void end() {
        jobIndex.clearListener();
    }

    private void open(JobRecord record) {
        if (recorder.isClaimedBySuccessor(record)) {
            return;
        }
        if (jobIndex.isUnreadable(record.spec().id())) {
            LOG.error(
                    "job {}: one of its records is unreadable; its running tasks are left alone and none is started"
                            + " in this term",
                    record.spec().id());
            return;
        }
        ActiveJob job = new ActiveJob(record, jobIndex.progressOf(record.spec().id()), timers.nowMicros());
        jobs.add(job);
        if (recorder.isClaimedByThisTerm(record)) {
            job.confirmOwnClaim();
        } else {
            recovery.resolveTasks(job);
        }
        completeIfDone(job);
    }

    /** Starts to record the job as done if it is open and all its tasks are done. */
    public void completeIfDone(ActiveJob job) {
        if (job.isOpen() && job.unfinishedTasks() == 0) {
            job.markCompleting();
            recorder.recordDone(job);
        }
    }

    @Override
    public void onJobAccepted(JobRecord record) {
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
    public void onProgressRecorded(String id, ProgressRecord progress) {
        ActiveJob job = jobs.get(id);
        if (job != null && progress.claimedTasks() > job.claimedTasks()) {
            job.confirmClaim(progress.claimedTasks());
            loop.requestCycle();
        }
    }

    @Override
    public void onJobEnded(String id, FinalRecord.Outcome outcome) {
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
                    + job.spec().deadlineMicros() / Micros.PER_SECOND + " s";
        }
        LOG.info(
                "job {} of {} ({} tasks) done after {} s{}",
                job.spec().id(),
                job.spec().jobClass(),
                job.spec().tasks(),
                ageMicros / Micros.PER_SECOND,
                due);
    }

    /** Claims the next block of tasks in advance, before the current block is used up. */
    public void claimNextBlock(ActiveJob job) {
        recorder.claimNextBlock(job);
    }

    /** Records, after a short delay, that a task of the job is done. */
    public void recordTaskDone(ActiveJob job) {
        recorder.recordTaskDone(job);
    }
}
