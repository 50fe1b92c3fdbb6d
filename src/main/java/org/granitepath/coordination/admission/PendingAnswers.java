package org.granitepath.coordination.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.storage.Timers;

/**
 * The answers owed to requests of one kind. Requests are idempotent: whoever repeats one for the same job joins those
 * that wait already, and all get the same answer.
 */
final class PendingAnswers {
    private final WaitingRequests waitingRequests;
    private final Timers timers;
    private final long timeoutMicros;
    /** Never holds an empty list: a list that was answered or timed out as a whole has been removed. */
    private final Map<String, List<Consumer<JobResponse>>> waitingByJob = new LinkedHashMap<>();

    /** @param timeoutMicros after this long a request that has no answer is told to come again */
    PendingAnswers(WaitingRequests waitingRequests, Timers timers, long timeoutMicros) {
        this.waitingRequests = waitingRequests;
        this.timers = timers;
        this.timeoutMicros = timeoutMicros;
    }

    /**
     * Lets a request wait for the outcome.
     *
     * @return whether it is the first, so that the caller has to bring the outcome about
     */
    boolean join(String jobId, Consumer<JobResponse> then) {
        List<Consumer<JobResponse>> waiting = waitingByJob.computeIfAbsent(jobId, id -> new ArrayList<>());
        waiting.add(then);
        waitingRequests.add();
        timers.after(timeoutMicros, () -> timeOut(jobId, waiting, then));
        return waiting.size() == 1;
    }

    /** Whether some request waits for the outcome. */
    boolean isAwaited(String jobId) {
        return waitingByJob.containsKey(jobId);
    }

    /** Answers all that wait for the outcome. */
    void resolve(String jobId, JobResponse answer) {
        List<Consumer<JobResponse>> waiting = waitingByJob.remove(jobId);
        if (waiting == null) {
            return;
        }
        List<Consumer<JobResponse>> answered = List.copyOf(waiting);
        waiting.clear(); // their timeouts find nothing left to answer
        waitingRequests.remove(answered.size());
        answered.forEach(then -> then.accept(answer));
    }

    private void timeOut(String jobId, List<Consumer<JobResponse>> waiting, Consumer<JobResponse> then) {
        if (!waiting.remove(then)) {
            return;
        }
        waitingRequests.remove(1);
        if (waiting.isEmpty()) {
            waitingByJob.remove(jobId);
        }
        then.accept(JobAnswers.retryLater("not on record yet"));
    }
}
