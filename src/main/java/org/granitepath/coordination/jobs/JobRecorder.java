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
 * Writes the records of jobs during one leadership term: claims, finished tasks, and the completion of jobs. The
 * content of a write is taken from the state at the time of sending, so changes in the meantime need no further write.
 */
public final class JobRecorder {
    /** How long finished tasks are collected before they are recorded. */
    private static final long PROGRESS_DELAY_MICROS = 1_000_000;

    private final Config config;
    private final Leadership.Term term;
    private final RecordReplica replica;
    private final WriteQueue writeQueue;
    private final SchedulingLoop loop;

    /**
     * Creates a recorder that writes through the given queue.
     *
     * @param replica the records known to this controller; what they contain is not written again
     */
    public JobRecorder(
            Config config, Leadership.Term term, RecordReplica replica, WriteQueue writeQueue, SchedulingLoop loop) {
        this.config = config;
        this.term = term;
        this.replica = replica;
        this.writeQueue = writeQueue;
        this.loop = loop;
    }

    /** Returns whether the first claim on the job is for a later term that this controller does not know of yet. */
    boolean isClaimedBySuccessor(JobRecord record) {
        return record.fencingToken() > term.fencingToken();
    }

    /** Returns whether the first claim on the job is for this term, so no previous leader has started it. */
    boolean isClaimedByThisTerm(JobRecord record) {
        return record.fencingToken() == term.fencingToken();
    }

    /** Claims the next block of tasks if not enough of the current block is left. */
    void claimNextBlock(ActiveJob job) {
        if (hasInheritedBlock(job)) {
            return;
        }
        int tasks = job.spec().tasks();
        // If writes queue up, a job claims all its tasks at once; otherwise machines would be idle in the meantime.
        int block = writeQueue.isBehind() ? tasks : config.tuning().nextClaimBlockSize(job.spec());
        int target = job.spec().isGang() ? tasks : Math.min(tasks, job.firstUnstartedTask() + block);
        boolean isNearlyUsedUp = job.requestedClaim() - job.firstUnstartedTask() <= block / 2;
        if (target > job.requestedClaim() && (target == tasks || isNearlyUsedUp)) {
            job.requestClaim(target);
            recordProgress(job, WriteQueue.Urgency.WORK, 0);
        }
    }

    /**
     * Returns whether a whole block that former leaders claimed is free. Without this condition each leader would claim
     * another block of every open job.
     */
    private boolean hasInheritedBlock(ActiveJob job) {
        return job.inheritsClaim() && job.freedTasks() >= config.tuning().nextClaimBlockSize(job.spec());
    }

    /** Records, after a short delay, that a task of the job is done. */
    void recordTaskDone(ActiveJob job) {
        recordProgress(job, WriteQueue.Urgency.PROGRESS_ONLY, PROGRESS_DELAY_MICROS);
    }

    private void recordProgress(ActiveJob job, WriteQueue.Urgency urgency, long delayMicros) {
        String key = Keys.progressKey(job.spec().id());
        writeQueue.enqueue(
                key, urgency, delayMicros, () -> progressChange(key, job), storeRevision -> loop.requestCycle());
    }

    private List<Change> progressChange(String key, ActiveJob job) {
        if (job.phase() == ActiveJob.Phase.ENDED) {
            return List.of();
        }
        ProgressRecord progress =
                new ProgressRecord(config.node(), job.requestedClaim(), job.doneTasks(), job.runningTasks());
        return List.of(
                Change.write(key, progress.truncatedTo(config.limits().store().valueBytes())));
    }

    /** Records without delay that all tasks of the job are done, unless the job has a final record already. */
    void recordDone(ActiveJob job) {
        String key = Keys.finalRecordKey(job.spec().id());
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
