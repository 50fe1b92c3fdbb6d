package org.granitepath.coordination.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.storage.Timers;

/**
 * Holds the requests of one kind that wait for an answer. Requests are idempotent: a repeated request for the same job
 * joins those that wait already, and all get the same answer.
 */
final class PendingAnswers {
    private final WaitingRequests waitingRequests;
    private final Timers timers;
    private final long timeoutMicros;
    /** Never contains an empty list: a list whose requests have all been answered or have timed out is removed. */
    private final Map<String, List<Consumer<JobResponse>>> waitingByJob = new LinkedHashMap<>();

    /** @param timeoutMicros time after which a request without an answer is told to retry */
    PendingAnswers(WaitingRequests waitingRequests, Timers timers, long timeoutMicros) {
        this.waitingRequests = waitingRequests;
        this.timers = timers;
        this.timeoutMicros = timeoutMicros;
    }

    /**
     * Adds a request that waits for the outcome.
     *
     * @return whether it is the first one, so that the caller has to start the operation
     */
    boolean join(String jobId, Consumer<JobResponse> callback) {
        List<Consumer<JobResponse>> waiting = waitingByJob.computeIfAbsent(jobId, id -> new ArrayList<>());
        waiting.add(callback);
        waitingRequests.add();
        timers.after(timeoutMicros, () -> timeOut(jobId, waiting, callback));
        return waiting.size() == 1;
    }

    /** Returns whether any request waits for the outcome. */
    boolean isAwaited(String jobId) {
        return waitingByJob.containsKey(jobId);
    }

    /** Answers all requests that wait for the outcome. */
    void resolve(String jobId, JobResponse answer) {
        List<Consumer<JobResponse>> waiting = waitingByJob.remove(jobId);
        if (waiting == null) {
            return;
        }
        List<Consumer<JobResponse>> answered = List.copyOf(waiting);
        waiting.clear(); // so that the timeouts find no request left to answer
        waitingRequests.remove(answered.size());
        answered.forEach(callback -> callback.accept(answer));
    }

    private void timeOut(String jobId, List<Consumer<JobResponse>> waiting, Consumer<JobResponse> callback) {
        if (!waiting.remove(callback)) {
            return;
        }
        waitingRequests.remove(1);
        if (waiting.isEmpty()) {
            waitingByJob.remove(jobId);
        }
        callback.accept(JobAnswers.retryLater("not on record yet"));
    }
}
