package org.granitepath.coordination.admission;

import java.util.function.Consumer;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.storage.OneShot;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;

/**
 * Delays requests until a read barrier completes, so that their answers include everything that was on record when the
 * requests arrived.
 */
final class BarrierReads {
    private static final long TIMEOUT_MICROS = 1_600_000;
    private static final String STORE_UNAVAILABLE = "the state service does not answer";

    private final RecordReplica replica;
    private final WaitingRequests waitingRequests;
    private final Timers timers;

    BarrierReads(RecordReplica replica, WaitingRequests waitingRequests, Timers timers) {
        this.replica = replica;
        this.waitingRequests = waitingRequests;
        this.timers = timers;
    }

    /**
     * Runs the action once the replica includes everything committed before this call. Calls back with a retry answer
     * instead if too many requests wait, if the barrier fails or if it takes longer than {@link #TIMEOUT_MICROS}.
     */
    void runAfterBarrier(Consumer<JobResponse> callback, Runnable action) {
        if (waitingRequests.isFull()) {
            callback.accept(JobAnswers.retryLater("too many requests wait"));
            return;
        }
        waitingRequests.add();
        OneShot firstOutcome = new OneShot();
        Runnable answerUnavailable = () -> callback.accept(JobAnswers.retryLater(STORE_UNAVAILABLE));
        firstOutcome.fireAfter(timers, TIMEOUT_MICROS, () -> finish(answerUnavailable));
        replica.requestBarrier(upToDate -> firstOutcome.fire(() -> finish(upToDate ? action : answerUnavailable)));
    }

    private void finish(Runnable action) {
        waitingRequests.remove(1);
        action.run();
    }
}
