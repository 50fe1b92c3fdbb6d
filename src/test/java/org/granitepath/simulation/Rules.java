package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.storage.JobSpec;
import org.jspecify.annotations.Nullable;

/**
 * Checks the guarantees to users against the events on machines and the responses to users. Each group of rules has a
 * class of its own.
 */
final class Rules {
    private final SimEnvironment environment;
    private final Consumer<String> onJobCompleted;
    private final List<String> violations = new ArrayList<>();
    private final JobHistory jobs;
    private final TaskPlacementRules placements;
    private final CancellationRules cancellations;
    private final AnswerRules answers;
    private final WaitingRules waiting;
    private final ServedRules served;

    Rules(SimEnvironment environment, Map<String, Team> teams, long cancellationTimeoutMicros) {
        this(environment, teams, cancellationTimeoutMicros, job -> {});
    }

    /** @param onJobCompleted receives the id of each job whose last task has just completed */
    Rules(
            SimEnvironment environment,
            Map<String, Team> teams,
            long cancellationTimeoutMicros,
            Consumer<String> onJobCompleted) {
        this.environment = environment;
        this.onJobCompleted = onJobCompleted;
        jobs = new JobHistory(environment);
        placements = new TaskPlacementRules(this::reportViolation, jobs, teams);
        cancellations =
                new CancellationRules(environment, this::reportViolation, jobs, placements, cancellationTimeoutMicros);
        answers = new AnswerRules(environment, this::reportViolation, jobs, cancellations);
        waiting = new WaitingRules(environment, this::reportViolation, jobs, teams);
        served = new ServedRules(this::reportViolation, jobs);
    }

    /** Records the violation of a rule. */
    void reportViolation(String rule, String description) {
        violations.add(rule + " at " + environment.nowMicros() / 1e6 + " s: " + description);
    }

    /** Descriptions of the violations so far, in order. */
    List<String> violations() {
        return Collections.unmodifiableList(violations);
    }

    /** Removes all violations, for tests that provoke one after the other. */
    void clearViolations() {
        violations.clear();
    }

    /** Records that a user submits a job, possibly repeatedly. */
    void recordSubmission(JobSpec spec) {
        jobs.recordSubmission(spec);
    }

    /** Records the submission of a job that fits on no machine type, which no controller may accept. */
    void recordUnschedulableSubmission(String job) {
        answers.recordUnschedulableSubmission(job);
    }

    /** Records that a user asks to cancel a job, whether or not a controller has received the request. */
    void recordCancellationRequest(String job) {
        jobs.recordCancellationRequest(job);
    }

    /**
     * Records a response at the time of its arrival at the user. The request must have been sent after every earlier
     * response about the job had arrived.
     */
    void recordResponse(String job, JobResponse answer) {
        answers.recordResponse(job, answer);
    }

    /** Records that a controller sends the command to start a task. */
    void recordStartSent(TaskId task) {
        jobs.recordStartSent(task);
        cancellations.recordStartSent(task);
    }

    /** Records that a task has started on a machine. */
    void recordTaskStarted(TaskId task, String host, String type, String zone, boolean spot) {
        jobs.recordTaskStarted(task.job());
        placements.recordTaskStarted(task, host, type, zone, spot);
        cancellations.recordTaskStarted(task);
    }

    /** Records that a task is no longer on a machine. */
    void recordTaskRemoved(TaskId task, String host) {
        placements.recordTaskRemoved(task, host);
    }

    /** Records that a task has its result. */
    void recordTaskCompleted(TaskId task) {
        if (jobs.recordTaskCompleted(task)) {
            onJobCompleted.accept(task.job());
        }
    }

    /** Checks after each event that no task of a cancelled job runs beyond the cancellation timeout. */
    void check() {
        cancellations.check();
    }

    /** Checks repeatedly after the last fault; see {@link AnswerRules#checkAnswered}. */
    void checkAnswered(long faultsEndMicros) {
        answers.checkAnswered(faultsEndMicros);
    }

    /** Checks repeatedly after the last fault; see {@link WaitingRules#check}. */
    void checkNotStarved(Collection<SimWorker> machines) {
        waiting.check(machines);
    }

    /** Checks at the end of a run; see {@link ServedRules#check}. */
    void checkServed() {
        served.check();
    }

    /** How many attempts of tasks have started on machines so far. */
    int startedTaskCount() {
        return placements.startedTaskCount();
    }

    /** The highest number of start commands that were sent for one task. */
    int maxStartsPerTask() {
        return jobs.maxStartsPerTask();
    }

    /** Ids of the jobs with a task on a machine that no user has asked to cancel, sorted. */
    List<String> runningJobs() {
        return placements.runningJobs();
    }

    /** The CPU that the running tasks of a team use, in thousandths of a CPU. */
    long usedCpuMillis(String team) {
        return placements.usedCpuMillis(team);
    }

    /** Ids of the machines that run tasks of a job. */
    Set<String> hostsOf(String job) {
        return placements.hostsOf(job);
    }

    /** How many tasks are on a machine. */
    long runningTaskCount() {
        return placements.tasks().size();
    }

    /** How many tasks of services are on a machine. */
    long runningReplicaCount() {
        return placements.runningReplicaCount();
    }

    /** How many jobs were last reported to users as cancelled. */
    int cancelledJobCount() {
        return jobs.cancelledJobCount();
    }

    boolean isAccepted(String job) {
        return jobs.isAccepted(job);
    }

    /** The time from submission to the last task that completed so far; very large if there is none. */
    long finishDelayMicros(String job) {
        return jobs.finishDelayMicros(job);
    }

    /** The time from submission to the start of the first task; very large if none has started. */
    long startDelayMicros(String job) {
        return jobs.startDelayMicros(job);
    }

    /** The final state that was last reported to users; null if there is none. */
    @Nullable
    JobState finalState(String job) {
        return jobs.finalState(job);
    }
}
