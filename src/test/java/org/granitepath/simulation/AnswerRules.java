package org.granitepath.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.coordination.ports.JobResponse.JobState;

/** What users are told: an accepted job stays known, is done only when all its tasks are, and has one final state. */
final class AnswerRules {
    private static final long UNANSWERED_MICROS = 75_000_000;

    private final SimEnvironment environment;
    private final ViolationReporter breaches;
    private final JobHistory jobs;
    private final CancellationRules cancellations;
    private final Set<String> unschedulable = new HashSet<>();
    private final Map<String, Long> answeredAt = new HashMap<>();

    AnswerRules(
            SimEnvironment environment, ViolationReporter breaches, JobHistory jobs, CancellationRules cancellations) {
        this.environment = environment;
        this.breaches = breaches;
        this.jobs = jobs;
        this.cancellations = cancellations;
    }

    /** A job that fits nowhere: nobody may accept it. */
    void recordUnschedulableSubmission(String job) {
        unschedulable.add(job);
    }

    /** An answer that a user got. */
    void recordResponse(String job, JobResponse answer) {
        if (answer instanceof JobResponse.NotFound && jobs.isAccepted(job)) {
            breaches.report("forgotten", job + " is not found");
        } else if (answer instanceof JobResponse.Unschedulable && jobs.isAccepted(job)) {
            breaches.report("forgotten", job + " is called impossible");
        } else if (answer instanceof JobResponse.Status status) {
            toldStatus(job, status.state());
        }
    }

    private void toldStatus(String job, JobState state) {
        if (unschedulable.contains(job)) {
            breaches.report("accepted_impossible", job + " can never run");
            return;
        }
        if (!jobs.isSubmitted(job)) {
            breaches.report("invented", job);
        }
        jobs.recordAcceptance(job);
        answeredAt.put(job, environment.nowMicros());
        JobState earlier = jobs.finalState(job);
        if (earlier != null && earlier != state) {
            breaches.report("went_back", job + " was " + earlier + ", is " + state);
        }
        if (state == JobState.DONE) {
            toldDone(job);
        } else if (state == JobState.CANCELLED) {
            toldCancelled(job);
        }
    }

    private void toldDone(String job) {
        int done = jobs.completedTaskCount(job);
        int tasks = jobs.spec(job).tasks();
        if (done < tasks) {
            breaches.report("not_done", job + ": " + done + " of " + tasks);
        }
        jobs.recordFinalState(job, JobState.DONE);
    }

    private void toldCancelled(String job) {
        if (!jobs.isCancellationRequested(job)) {
            breaches.report("went_back", job + " is cancelled unasked");
        }
        if (jobs.recordFinalState(job, JobState.CANCELLED) == null) {
            cancellations.recordConfirmation(job);
        }
    }

    /** Once troubles are over, no accepted job that nobody asked to cancel may go without any answer for so long. */
    void checkAnswered(long troublesOver) {
        for (String job : jobs.acceptedJobs()) {
            long since = environment.nowMicros() - Math.max(troublesOver, answeredAt.getOrDefault(job, 0L));
            if (!jobs.isCancellationRequested(job) && since > UNANSWERED_MICROS) {
                breaches.report("forgotten", job + ": no question answered for " + since / 1_000_000 + " s");
            }
        }
    }
}
