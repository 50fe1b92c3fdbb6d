package org.granitepath.coordination.admission;

import java.util.function.Consumer;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.storage.OneShot;
import org.granitepath.storage.RecordReplica;
import org.granitepath.storage.Timers;

/** Requests that wait for a read barrier, so that their answers miss nothing that was on record when they came. */
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

    /** Runs the action once the replica is as new as this moment, or answers that it can't be told now. */
    void whenFresh(Consumer<JobResponse> then, Runnable action) {
        if (waitingRequests.isFull()) {
            then.accept(JobAnswers.retryLater("too many requests wait"));
            return;
        }
        waitingRequests.add();
        OneShot outcome = new OneShot();
        Runnable unanswered = () -> then.accept(JobAnswers.retryLater(STORE_UNAVAILABLE));
        outcome.fireAfter(timers, TIMEOUT_MICROS, () -> finish(unanswered));
        replica.requestBarrier(fresh -> outcome.fire(() -> finish(fresh ? action : unanswered)));
    }

    private void finish(Runnable action) {
        waitingRequests.remove(1);
        action.run();
    }
}
