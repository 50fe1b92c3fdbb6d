package org.granitepath.coordination.admission;

import java.util.List;
import java.util.function.Consumer;
import org.granitepath.coordination.config.Tuning;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.Keys;
import org.granitepath.storage.LeaderRecord;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;
import org.granitepath.storage.WriteQueue;

/** Records accepted jobs and answers their submitters once the records are committed. */
final class SubmissionWriter {
    private static final long TIMEOUT_MICROS = 4_000_000;

    private final Tuning tuning;
    private final RecordReplica replica;
    private final JobIndex jobIndex;
    private final JobAnswers answers;
    private final Timers timers;
    private final WriteQueue writeQueue;
    private final PendingAnswers pending;

    SubmissionWriter(
            Tuning tuning,
            RecordReplica replica,
            JobIndex jobIndex,
            JobAnswers answers,
            Timers timers,
            WriteQueue writeQueue,
            WaitingRequests waitingRequests) {
        this.tuning = tuning;
        this.replica = replica;
        this.jobIndex = jobIndex;
        this.answers = answers;
        this.timers = timers;
        this.writeQueue = writeQueue;
        this.pending = new PendingAnswers(waitingRequests, timers, TIMEOUT_MICROS);
    }

    /**
     * Enqueues the write of the job. If an earlier submission has done so already, this submission waits for the same
     * outcome.
     */
    void record(JobSpec spec, Consumer<JobResponse> callback) {
        boolean first = pending.join(spec.id(), callback);
        if (!first) {
            return;
        }
        writeQueue.enqueue(
                Keys.jobKey(spec.id()),
                WriteQueue.Urgency.WORK,
                0,
                () -> acceptanceChange(spec),
                storeRevision -> pending.resolve(spec.id(), answers.createdJob(spec.id())));
    }

    /**
     * Returns the change to write when the queue reaches this job: none if the job is known by then or no request waits
     * any more.
     */
    private List<Change> acceptanceChange(JobSpec spec) {
        if (jobIndex.isKnown(spec.id())) {
            pending.resolve(spec.id(), answers.knownJob(spec.id()));
            return List.of();
        }
        return pending.isAwaited(spec.id())
                ? List.of(Change.write(Keys.jobKey(spec.id()), acceptedJob(spec)))
                : List.of();
    }

    /**
     * Returns the job's record. If there is a leader, the record claims the first tasks for it, so that the leader can
     * start them without a write of its own.
     */
    private JobRecord acceptedJob(JobSpec spec) {
        LeaderRecord leader = replica.leader();
        return leader == null
                ? new JobRecord(spec, timers.timeOfDayMicros(), 0, 0)
                : new JobRecord(
                        spec, timers.timeOfDayMicros(), tuning.firstClaimBlockSize(spec), leader.fencingToken());
    }
}
