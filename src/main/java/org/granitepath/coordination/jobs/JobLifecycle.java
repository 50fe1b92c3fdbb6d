package org.granitepath.coordination.jobs;

import java.util.List;
import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Placement;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.Keys;
import org.granitepath.storage.ProgressRecord;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;
import org.granitepath.storage.WriteQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The life of jobs during one term of leadership: accepted, claimed in blocks, done or cancelled, and recorded so. */
public final class JobLifecycle implements JobIndex.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(JobLifecycle.class);
    private static final long PROGRESS_DELAY_MICROS = 1_000_000;

    private final Config config;
    private final Leadership.Term term;
    private final RecordReplica replica;
    private final JobIndex jobIndex;
    private final WriteQueue writeQueue;
    private final TermRecovery recovery;
    private final ActiveJobs jobs;
    private final TaskLifecycle tasks;
    private final ArrivalRate arrivalRate;
    private final Timers timers;
    private final SchedulingLoop loop;

    /** Opens nothing before it is started. */
    public JobLifecycle(
            Config config,
            Leadership.Term term,
            RecordReplica replica,
            JobIndex jobIndex,
            WriteQueue writeQueue,
            TermRecovery recovery,
            ActiveJobs jobs,
            TaskLifecycle tasks,
            ArrivalRate arrivalRate,
            Timers timers,
            SchedulingLoop loop) {
        this.config = config;
        this.term = term;
        this.replica = replica;
        this.jobIndex = jobIndex;
        this.writeQueue = writeQueue;
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
        jobIndex.listen(null);
    }

    private void open(JobRecord record) {
        if (record.term() > term.fencingToken()) {
            // Claimed for a successor of ours that we have not heard of yet.
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
        if (record.term() == term.fencingToken()) {
            // What was claimed for us from the first can't have been started by a predecessor.
            job.resolveUnconfirmed();
        } else {
            recovery.resolveTasks(job);
        }
        endIfDone(job);
    }

    /** Records the end of the job when all its tasks are done. */
    public void endIfDone(ActiveJob job) {
        if (job.isOpen() && job.unfinishedTasks() == 0) {
            job.allTasksDone();
            recordDone(job);
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
            arrivalRate.accepted(job, timers.nowMicros());
        }
        loop.requestCycle();
    }

    @Override
    public void progressed(String id, ProgressRecord progress) {
        ActiveJob job = jobs.get(id);
        if (job != null && progress.claimed() > job.claimed()) {
            job.claimRecorded(progress.claimed());
            loop.requestCycle();
        }
    }

    @Override
    public void ended(String id, FinalRecord.Outcome how) {
        ActiveJob job = jobs.get(id);
        if (job == null) {
            return;
        }
        job.finalStateRecorded(how.toString());
        if (how == FinalRecord.Outcome.DONE) {
            logDone(job);
        }
        for (Placement placement : List.copyOf(job.placements())) {
            tasks.stop(placement, 0, "job " + how);
        }
        jobs.removeIfOver(job);
        loop.requestCycle();
    }

    private void logDone(ActiveJob job) {
        long age = jobs.ageMicros(job, timers.nowMicros());
        String due = "";
        if (job.spec().hasDeadline()) {
            due = (age > job.spec().deadlineMicros() ? ", LATE, due after " : ", due after ")
                    + job.spec().deadlineMicros() / 1_000_000 + " s";
        }
        LOG.info(
                "job {} of {} ({} tasks) done after {} s{}",
                job.spec().id(),
                job.spec().jobClass(),
                job.spec().tasks(),
                age / 1_000_000,
                due);
    }

    /** Claims the next block of task numbers in good time, before the present one is used up. */
    public void claim(ActiveJob job) {
        // When writes have to wait for one another, a job claims all it has: machines would stand idle meanwhile.
        int block = writeQueue.behind() ? job.spec().tasks() : config.tuning().nextBlock(job.spec());
        int target =
                job.spec().gang() ? job.spec().tasks() : Math.min(job.spec().tasks(), job.firstNeverStarted() + block);
        boolean soonUsedUp = job.requestedClaim() - job.firstNeverStarted() <= block / 2;
        if (target > job.requestedClaim() && (target == job.spec().tasks() || soonUsedUp)) {
            job.claimRequested(target);
            recordProgress(job, WriteQueue.Urgency.WORK, 0);
        }
    }

    /** A task of the job is done: the count goes on record some time soon. */
    public void recordTaskDone(ActiveJob job) {
        recordProgress(job, WriteQueue.Urgency.PROGRESS_ONLY, PROGRESS_DELAY_MICROS);
    }

    private void recordProgress(ActiveJob job, WriteQueue.Urgency urgency, long delayMicros) {
        String key = Keys.PROGRESS + job.spec().id();
        writeQueue.enqueue(
                key,
                urgency,
                delayMicros,
                () -> job.phase() == ActiveJob.Phase.OVER
                        ? List.of()
                        : List.of(Change.write(
                                key,
                                new ProgressRecord(config.node(), job.requestedClaim(), job.done(), job.running())
                                        .atMost(config.limits().store().valueBytes()))),
                storeRevision -> loop.requestCycle());
    }

    private void recordDone(ActiveJob job) {
        String key = Keys.FINAL + job.spec().id();
        writeQueue.enqueue(
                key,
                WriteQueue.Urgency.SAFETY,
                0,
                () -> replica.has(key)
                        ? List.of()
                        : List.of(Change.write(key, new FinalRecord(FinalRecord.Outcome.DONE))),
                storeRevision -> {});
    }
}
