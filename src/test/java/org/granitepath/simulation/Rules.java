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

/** The users' rules, checked from what happens on machines and what users are told. Each family is a class. */
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

    /** @param onJobCompleted told of each job whose last task has just completed */
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

    /** A rule is broken. */
    void reportViolation(String rule, String description) {
        violations.add(rule + " at " + environment.nowMicros() / 1e6 + " s: " + description);
    }

    /** The breaches so far, in order. */
    List<String> violations() {
        return Collections.unmodifiableList(violations);
    }

    /** Starts anew, for tests that plant one breach after the other. */
    void clearViolations() {
        violations.clear();
    }

    // ---- what happens ------------------------------------------------------------------------------------------

    /** A user submits the job, maybe once more. */
    void recordSubmission(JobSpec spec) {
        jobs.recordSubmission(spec);
    }

    /** A job that fits nowhere: nobody may accept it. */
    void recordUnschedulableSubmission(String job) {
        answers.recordUnschedulableSubmission(job);
    }

    /** A user asks to cancel the job, maybe in vain so far. */
    void recordCancellationRequest(String job) {
        jobs.recordCancellationRequest(job);
    }

    /** An answer that a user got, by its time of arrival; asked after every earlier answer had arrived. */
    void recordResponse(String job, JobResponse answer) {
        answers.recordResponse(job, answer);
    }

    /** A controller gives the command to start this task. */
    void recordStartSent(TaskId task) {
        jobs.recordStartSent(task);
        cancellations.recordStartSent(task);
    }

    /** A task is on a machine now. */
    void recordTaskStarted(TaskId task, String host, String type, String zone, boolean spot) {
        jobs.recordTaskStarted(task.job());
        placements.recordTaskStarted(task, host, type, zone, spot);
        cancellations.recordTaskStarted(task);
    }

    /** A task is no longer on the machine. */
    void recordTaskRemoved(TaskId task, String host) {
        placements.recordTaskRemoved(task, host);
    }

    /** A task has its result. */
    void recordTaskCompleted(TaskId task) {
        if (jobs.recordTaskCompleted(task)) {
            onJobCompleted.accept(task.job());
        }
    }

    // ---- checks ------------------------------------------------------------------------------------------------

    /** After each step: nothing of a cancelled job may be left when its time is over. */
    void check() {
        cancellations.check();
    }

    /** Once troubles are over: see {@link AnswerRules#checkAnswered}. */
    void checkAnswered(long faultsEndMicros) {
        answers.checkAnswered(faultsEndMicros);
    }

    /** Once troubles are over, again and again: see {@link WaitingRules#check}. */
    void checkNotStarved(Collection<SimWorker> machines) {
        waiting.check(machines);
    }

    /** At the end: see {@link ServedRules#check}. */
    void checkServed() {
        served.check();
    }

    // ---- questions of scenarios --------------------------------------------------------------------------------

    /** How many tasks began on machines so far, each attempt counted. */
    int startedTaskCount() {
        return placements.startedTaskCount();
    }

    /** How often the task that was started most often was. */
    int maxStartsPerTask() {
        return jobs.maxStartsPerTask();
    }

    /** Jobs with a task on a machine, that nobody has asked to cancel. */
    List<String> runningJobs() {
        return placements.runningJobs();
    }

    /** Thousandths of CPUs that a team's tasks use. */
    long usedCpuMillis(String team) {
        return placements.usedCpuMillis(team);
    }

    /** The machines that hold tasks of a job. */
    Set<String> hostsOf(String job) {
        return placements.hostsOf(job);
    }

    /** Tasks that are on a machine. */
    long runningTaskCount() {
        return placements.tasks().size();
    }

    /** Tasks of services that are on a machine. */
    long runningReplicaCount() {
        return placements.runningReplicaCount();
    }

    /** Jobs of which users were told that they are cancelled, so far. */
    int cancelledJobCount() {
        return jobs.cancelledJobCount();
    }

    boolean isAccepted(String job) {
        return jobs.isAccepted(job);
    }

    /** From submission to the last task that completed so far. */
    long finishDelayMicros(String job) {
        return jobs.finishDelayMicros(job);
    }

    /** From submission to the first task's start. */
    long startDelayMicros(String job) {
        return jobs.startDelayMicros(job);
    }

    /** The final state that users were told; null while they were told none. */
    @Nullable
    JobState finalState(String job) {
        return jobs.finalState(job);
    }
}
