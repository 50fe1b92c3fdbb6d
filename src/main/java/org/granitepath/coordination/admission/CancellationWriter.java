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

/** Puts cancellations on record and answers those who asked for them once no task of the job is started any more. */
final class CancellationWriter {
    /** A cancellation may have to wait for a leader that is out of reach; users wait for five seconds. */
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

    /** Whether the cancellation is on record, but whoever asked for it has no answer yet. */
    boolean isBeingConfirmed(String jobId) {
        return jobIndex.outcomeOf(jobId) == FinalRecord.Outcome.CANCELLED && pending.isAwaited(jobId);
    }

    /** Lets a request wait for a cancellation that is being confirmed. */
    void joinConfirmation(String jobId, Consumer<JobResponse> then) {
        pending.join(jobId, then);
    }

    /** Records the cancellation, unless that is under way for an earlier request, which this one then joins. */
    void record(String jobId, Consumer<JobResponse> then) {
        boolean first = pending.join(jobId, then);
        if (!first) {
            return;
        }
        writeQueue.enqueue(
                Keys.finalRecord(jobId),
                WriteQueue.Urgency.SAFETY,
                0,
                () -> cancellation(jobId),
                storeRevision -> confirm(jobId));
    }

    /** What to write when the turn of the job comes: nothing when it is over by then or nobody waits any more. */
    private List<Change> cancellation(String jobId) {
        if (jobIndex.hasEnded(jobId)) {
            confirm(jobId);
            return List.of();
        }
        return pending.isAwaited(jobId)
                ? List.of(Change.write(Keys.finalRecord(jobId), new FinalRecord(FinalRecord.Outcome.CANCELLED)))
                : List.of();
    }

    /**
     * It is on record how the job ended. The answer to a cancellation promises that no task starts any more, and the
     * leader may be out of contact with the records: so it is told first.
     */
    private void confirm(String jobId) {
        if (jobIndex.outcomeOf(jobId) == FinalRecord.Outcome.CANCELLED) {
            announcer.announce(
                    new PeerPort.CancellationNotice(jobId, replica.revision(Keys.finalRecord(jobId))),
                    () -> pending.resolve(jobId, answers.knownJob(jobId)));
        } else {
            pending.resolve(jobId, answers.knownJob(jobId));
        }
    }
}
