package org.granitepath.coordination.jobs;

import java.util.List;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.Keys;
import org.granitepath.storage.ProgressRecord;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.WriteQueue;

/**
 * Writes what one term of leadership puts on record of its jobs: claims and finished tasks, and that a job is done. A
 * write is made from the state at the time when it goes out, so what came meanwhile needs no further one.
 */
public final class JobRecorder {
    private static final long PROGRESS_DELAY_MICROS = 1_000_000;

    private final Config config;
    private final Leadership.Term term;
    private final RecordReplica replica;
    private final WriteQueue writeQueue;
    private final SchedulingLoop loop;

    /**
     * Writes through this queue.
     *
     * @param replica the records as this controller knows them: what is there need not be written
     */
    public JobRecorder(
            Config config, Leadership.Term term, RecordReplica replica, WriteQueue writeQueue, SchedulingLoop loop) {
        this.config = config;
        this.term = term;
        this.replica = replica;
        this.writeQueue = writeQueue;
        this.loop = loop;
    }

    /** Whether the job was claimed for a successor of ours that this controller does not know of yet. */
    boolean isClaimedBySuccessor(JobRecord record) {
        return record.term() > term.fencingToken();
    }

    /** Whether the job was claimed for this term from the first, so that no predecessor can have started it. */
    boolean isClaimedByThisTerm(JobRecord record) {
        return record.term() == term.fencingToken();
    }

    /** Claims the next block of task numbers, if not enough of the present one is left. */
    void claimNextBlock(ActiveJob job) {
        int tasks = job.spec().tasks();
        // When writes have to wait for one another, a job claims all it has: machines would stand idle meanwhile.
        int block = writeQueue.behind() ? tasks : config.tuning().nextClaimBlockSize(job.spec());
        int target = job.spec().gang() ? tasks : Math.min(tasks, job.firstUnstartedTask() + block);
        boolean soonUsedUp = job.requestedClaim() - job.firstUnstartedTask() <= block / 2;
        if (target > job.requestedClaim() && (target == tasks || soonUsedUp)) {
            job.requestClaim(target);
            recordProgress(job, WriteQueue.Urgency.WORK, 0);
        }
    }

    /** A task of the job is done: the count goes on record some time soon. */
    void recordTaskDone(ActiveJob job) {
        recordProgress(job, WriteQueue.Urgency.PROGRESS_ONLY, PROGRESS_DELAY_MICROS);
    }

    private void recordProgress(ActiveJob job, WriteQueue.Urgency urgency, long delayMicros) {
        String key = Keys.progress(job.spec().id());
        writeQueue.enqueue(
                key, urgency, delayMicros, () -> progressChange(key, job), storeRevision -> loop.requestCycle());
    }

    private List<Change> progressChange(String key, ActiveJob job) {
        if (job.phase() == ActiveJob.Phase.ENDED) {
            return List.of();
        }
        ProgressRecord progress =
                new ProgressRecord(config.node(), job.requestedClaim(), job.doneTasks(), job.runningTasks());
        return List.of(Change.write(key, progress.atMost(config.limits().store().valueBytes())));
    }

    /** All tasks of the job are done: that goes on record at once, unless a final state is there already. */
    void recordDone(ActiveJob job) {
        String key = Keys.finalOf(job.spec().id());
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
