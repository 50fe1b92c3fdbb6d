package org.granitepath.simulation;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.storage.JobSpec;
import org.jspecify.annotations.Nullable;

/** Records, for each job, the requests of users, the responses to them, and the events on machines, for the rules. */
final class JobHistory {
    /** The time of an event that has not happened: after the end of every run, and small enough to subtract from. */
    private static final long NEVER = Long.MAX_VALUE / 2;

    private final SimEnvironment environment;
    private final Map<String, JobSpec> submittedSpecs = new HashMap<>();
    private final Map<String, Long> submittedAtMicros = new LinkedHashMap<>();
    private final Set<String> acceptedJobs = new HashSet<>();
    private final Set<String> jobsWithCancellationRequest = new HashSet<>();
    private final Map<String, JobState> finalStates = new HashMap<>();
    private final Map<String, Set<Integer>> completedTasks = new HashMap<>();
    private final Map<String, Long> startedAtMicros = new HashMap<>();
    private final Map<String, Long> lastCompletionMicros = new HashMap<>();
    private final Map<TaskId, Integer> startCounts = new HashMap<>();
    private final Map<String, Long> lastStartSentMicrosByJob = new HashMap<>();

    JobHistory(SimEnvironment environment) {
        this.environment = environment;
    }

    /** Records a submission by a user; only the first one of a job counts. */
    void recordSubmission(JobSpec spec) {
        submittedSpecs.putIfAbsent(spec.id(), spec);
        submittedAtMicros.putIfAbsent(spec.id(), environment.nowMicros());
    }

    boolean isSubmitted(String job) {
        return submittedSpecs.containsKey(job);
    }

    JobSpec spec(String job) {
        return submittedSpecs.get(job);
    }

    /** The ids of all submitted jobs, in the order of their submission. */
    Set<String> submittedJobs() {
        return Collections.unmodifiableSet(submittedAtMicros.keySet());
    }

    long submittedAtMicros(String job) {
        return submittedAtMicros.get(job);
    }

    /** Records that a user knows that a controller has accepted the job. */
    void recordAcceptance(String job) {
        acceptedJobs.add(job);
    }

    boolean isAccepted(String job) {
        return acceptedJobs.contains(job);
    }

    Set<String> acceptedJobs() {
        return Collections.unmodifiableSet(acceptedJobs);
    }

    /** Records that a user asks to cancel the job. */
    void recordCancellationRequest(String job) {
        jobsWithCancellationRequest.add(job);
    }

    boolean isCancellationRequested(String job) {
        return jobsWithCancellationRequest.contains(job);
    }

    /** Records that a response reported a final state; returns the one reported before, or null. */
    @Nullable
    JobState recordFinalState(String job, JobState state) {
        return finalStates.put(job, state);
    }

    /** The final state that was last reported to users; null if there is none. */
    @Nullable
    JobState finalState(String job) {
        return finalStates.get(job);
    }

    /** How many jobs were last reported to users as cancelled. */
    int cancelledJobCount() {
        return (int) finalStates.values().stream()
                .filter(state -> state == JobState.CANCELLED)
                .count();
    }

    /** Records that a controller sends the command to start a task. */
    void recordStartSent(TaskId task) {
        startCounts.merge(task, 1, Integer::sum);
        lastStartSentMicrosByJob.put(task.job(), environment.nowMicros());
    }

    /** When the last start command for the job was sent; zero if there was none. */
    long lastStartSentMicros(String job) {
        return lastStartSentMicrosByJob.getOrDefault(job, 0L);
    }

    /** The highest number of start commands that were sent for one task. */
    int maxStartsPerTask() {
        return startCounts.values().stream().max(Integer::compare).orElse(0);
    }

    /** Records that a task of the job has started on a machine. */
    void recordTaskStarted(String job) {
        startedAtMicros.putIfAbsent(job, environment.nowMicros());
    }

    boolean hasStarted(String job) {
        return startedAtMicros.containsKey(job);
    }

    /** The time from submission to the first start on a machine, or until now if there was none. */
    long waitMicros(String job) {
        return startedAtMicros.getOrDefault(job, environment.nowMicros()) - submittedAtMicros.get(job);
    }

    /** The time from submission to the first start on a machine; very large if there was none. */
    long startDelayMicros(String job) {
        return startedAtMicros.getOrDefault(job, NEVER) - submittedAtMicros.get(job);
    }

    /** Records that a task has its result; returns whether this result completes its job. */
    boolean recordTaskCompleted(TaskId task) {
        lastCompletionMicros.put(task.job(), environment.nowMicros());
        Set<Integer> done = completedTasks.computeIfAbsent(task.job(), job -> new HashSet<>());
        return done.add(task.index())
                && done.size() == submittedSpecs.get(task.job()).tasks();
    }

    /** How many tasks of the job have a result. */
    int completedTaskCount(String job) {
        return completedTasks.getOrDefault(job, Set.of()).size();
    }

    /** The time from submission to the last result so far; very large if there is none. */
    long finishDelayMicros(String job) {
        return lastCompletionMicros.getOrDefault(job, NEVER) - submittedAtMicros.get(job);
    }
}
