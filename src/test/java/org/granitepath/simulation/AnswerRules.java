package org.granitepath.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.coordination.ports.JobResponse.JobState;

/**
 * Checks the responses to users: an accepted job stays known, is reported as done only after all its tasks have a
 * result, and has one final state.
 */
final class AnswerRules {
    private static final long MAX_UNANSWERED_MICROS = 75_000_000;

    private final SimEnvironment environment;
    private final ViolationReporter violations;
    private final JobHistory jobs;
    private final CancellationRules cancellations;
    private final Set<String> unschedulable = new HashSet<>();
    private final Map<String, Long> answeredAtMicros = new HashMap<>();

    AnswerRules(
            SimEnvironment environment,
            ViolationReporter violations,
            JobHistory jobs,
            CancellationRules cancellations) {
        this.environment = environment;
        this.violations = violations;
        this.jobs = jobs;
        this.cancellations = cancellations;
    }

    /** Records the submission of a job that fits on no machine type, which no controller may accept. */
    void recordUnschedulableSubmission(String job) {
        unschedulable.add(job);
    }

    /** Checks and records a response that has arrived at a user. */
    void recordResponse(String job, JobResponse answer) {
        if (answer instanceof JobResponse.NotFound && jobs.isAccepted(job)) {
            violations.report("forgotten", job + " is not found");
        } else if (answer instanceof JobResponse.Unschedulable && jobs.isAccepted(job)) {
            violations.report("forgotten", job + " is rejected as unschedulable");
        } else if (answer instanceof JobResponse.Status status) {
            recordStatus(job, status.state());
        }
    }

    private void recordStatus(String job, JobState state) {
        if (unschedulable.contains(job)) {
            violations.report("accepted_impossible", job + " can never run");
            return;
        }
        if (!jobs.isSubmitted(job)) {
            violations.report("invented", job);
        }
        jobs.recordAcceptance(job);
        answeredAtMicros.put(job, environment.nowMicros());
        JobState earlier = jobs.finalState(job);
        if (earlier != null && earlier != state) {
            violations.report("went_back", job + " was " + earlier + ", is " + state);
        }
        if (state == JobState.DONE) {
            recordDone(job);
        } else if (state == JobState.CANCELLED) {
            recordCancelled(job);
        }
    }

    private void recordDone(String job) {
        int done = jobs.completedTaskCount(job);
        int tasks = jobs.spec(job).tasks();
        if (done < tasks) {
            violations.report("not_done", job + ": " + done + " of " + tasks);
        }
        jobs.recordFinalState(job, JobState.DONE);
    }

    private void recordCancelled(String job) {
        if (!jobs.isCancellationRequested(job)) {
            violations.report("went_back", job + " is cancelled without a request");
        }
        if (jobs.recordFinalState(job, JobState.CANCELLED) == null) {
            cancellations.recordConfirmation(job);
        }
    }

    /**
     * Reports each accepted job without a cancellation request that has had no status response for more than 75 s.
     *
     * @param faultsEndMicros the end of the last fault; time before it does not count
     */
    void checkAnswered(long faultsEndMicros) {
        for (String job : jobs.acceptedJobs()) {
            long since = environment.nowMicros() - Math.max(faultsEndMicros, answeredAtMicros.getOrDefault(job, 0L));
            if (!jobs.isCancellationRequested(job) && since > MAX_UNANSWERED_MICROS) {
                violations.report("forgotten", job + ": no status response for " + since / 1_000_000 + " s");
            }
        }
    }
}
