package org.granitepath.coordination.admission;

import java.util.List;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.coordination.ports.PeerPort;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.Keys;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;
import org.granitepath.storage.WriteQueue;

/** Records cancellations and answers the users who requested them once no task of the job will be started any more. */
final class CancellationWriter {
    /**
     * A cancellation may have to wait for a leader that cannot be reached. Users wait for five seconds, so the answer
     * must be sent before that.
     */
    private static final long TIMEOUT_MICROS = 4_700_000;

    private final RecordReplica replica;
    private final JobIndex jobIndex;
    private final JobAnswers answers;
    private final WriteQueue writeQueue;
    private final CancellationAnnouncer announcer;
    private final PendingAnswers pending;

    CancellationWriter(
            RecordReplica replica,
            JobIndex jobIndex,
            JobAnswers answers,
            Timers timers,
            WriteQueue writeQueue,
            WaitingRequests waitingRequests,
            CancellationAnnouncer announcer) {
        this.replica = replica;
        this.jobIndex = jobIndex;
        this.answers = answers;
        this.writeQueue = writeQueue;
        this.announcer = announcer;
        this.pending = new PendingAnswers(waitingRequests, timers, TIMEOUT_MICROS);
    }

    /** Returns whether the cancellation is on record, but the requests for it have not been answered yet. */
    boolean isBeingConfirmed(String jobId) {
        return jobIndex.outcomeOf(jobId) == FinalRecord.Outcome.CANCELLED && pending.isAwaited(jobId);
    }

    /** Adds a request to those that wait until the recorded cancellation is confirmed. */
    void joinConfirmation(String jobId, Consumer<JobResponse> callback) {
        pending.join(jobId, callback);
    }

    /**
     * Enqueues the write of the cancellation. If an earlier request has done so already, this request waits for the
     * same outcome.
     */
    void record(String jobId, Consumer<JobResponse> callback) {
        boolean first = pending.join(jobId, callback);
        if (!first) {
            return;
        }
        writeQueue.enqueue(
                Keys.finalRecordKey(jobId),
                WriteQueue.Urgency.SAFETY,
                0,
                () -> cancellationChange(jobId),
                storeRevision -> confirm(jobId));
    }

    /**
     * Returns the change to write when the queue reaches this job: none if the job has ended by then or no request
     * waits any more.
     */
    private List<Change> cancellationChange(String jobId) {
        if (jobIndex.hasEnded(jobId)) {
            confirm(jobId);
            return List.of();
        }
        return pending.isAwaited(jobId)
                ? List.of(Change.write(Keys.finalRecordKey(jobId), new FinalRecord(FinalRecord.Outcome.CANCELLED)))
                : List.of();
    }

    /**
     * Answers the waiting requests once the outcome of the job is on record. The answer to a cancellation promises that
     * no further task is started. The leader may be unable to read the records, so the cancellation is announced to it
     * first.
     */
    private void confirm(String jobId) {
        if (jobIndex.outcomeOf(jobId) == FinalRecord.Outcome.CANCELLED) {
            announcer.announce(
                    new PeerPort.CancellationNotice(jobId, replica.revision(Keys.finalRecordKey(jobId))),
                    () -> pending.resolve(jobId, answers.knownJob(jobId)));
        } else {
            pending.resolve(jobId, answers.knownJob(jobId));
        }
    }
}
