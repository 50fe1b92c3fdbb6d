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

/** Puts accepted jobs on record and answers their submitters once that is done. */
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

    /** Records the job, unless that is under way for an earlier submission, which this one then joins. */
    void record(JobSpec spec, Consumer<JobResponse> then) {
        boolean first = pending.join(spec.id(), then);
        if (!first) {
            return;
        }
        writeQueue.enqueue(
                Keys.job(spec.id()),
                WriteQueue.Urgency.WORK,
                0,
                () -> acceptance(spec),
                storeRevision -> pending.resolve(spec.id(), answers.createdJob(spec.id())));
    }

    /** What to write when the turn of the job comes: nothing when it is known by then or nobody waits any more. */
    private List<Change> acceptance(JobSpec spec) {
        if (jobIndex.isKnown(spec.id())) {
            pending.resolve(spec.id(), answers.knownJob(spec.id()));
            return List.of();
        }
        return pending.isAwaited(spec.id()) ? List.of(Change.write(Keys.job(spec.id()), acceptedJob(spec))) : List.of();
    }

    /** The record claims the first tasks for the leader, which can then start them without a write of its own. */
    private JobRecord acceptedJob(JobSpec spec) {
        LeaderRecord leader = replica.leader();
        return leader == null
                ? new JobRecord(spec, timers.timeOfDayMicros(), 0, 0)
                : new JobRecord(
                        spec, timers.timeOfDayMicros(), tuning.firstClaimBlockSize(spec), leader.fencingToken());
    }
}
