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

/** What users sent and were told of each job, and what machines did for it. Each rule compares parts of it. */
final class JobHistory {
    /** Stands for the time of what has not happened: later than any run ends, and safe to subtract from. */
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

    // ---- users -------------------------------------------------------------------------------------------------

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

    /** All submitted jobs, in the order of their submission. */
    Set<String> submittedJobs() {
        return Collections.unmodifiableSet(submittedAtMicros.keySet());
    }

    long submittedAtMicros(String job) {
        return submittedAtMicros.get(job);
    }

    void recordAcceptance(String job) {
        acceptedJobs.add(job);
    }

    boolean isAccepted(String job) {
        return acceptedJobs.contains(job);
    }

    Set<String> acceptedJobs() {
        return Collections.unmodifiableSet(acceptedJobs);
    }

    void recordCancellationRequest(String job) {
        jobsWithCancellationRequest.add(job);
    }

    boolean isCancellationRequested(String job) {
        return jobsWithCancellationRequest.contains(job);
    }

    /** A user was told this final state; returns what was told before. */
    @Nullable
    JobState recordFinalState(String job, JobState state) {
        return finalStates.put(job, state);
    }

    /** The final state that users were told last; null while they were told none. */
    @Nullable
    JobState finalState(String job) {
        return finalStates.get(job);
    }

    /** How many jobs users believe to be cancelled. */
    int cancelledJobCount() {
        return (int) finalStates.values().stream()
                .filter(state -> state == JobState.CANCELLED)
                .count();
    }

    // ---- controllers -------------------------------------------------------------------------------------------

    /** A controller sends the command to start this task. */
    void recordStartSent(TaskId task) {
        startCounts.merge(task, 1, Integer::sum);
        lastStartSentMicrosByJob.put(task.job(), environment.nowMicros());
    }

    /** When the last start of the job was sent; zero when none was. */
    long lastStartSentMicros(String job) {
        return lastStartSentMicrosByJob.getOrDefault(job, 0L);
    }

    /** How often the start of the task that was started most often was sent. */
    int maxStartsPerTask() {
        return startCounts.values().stream().max(Integer::compare).orElse(0);
    }

    // ---- machines ----------------------------------------------------------------------------------------------

    /** A task of the job is on a machine. */
    void recordTaskStarted(String job) {
        startedAtMicros.putIfAbsent(job, environment.nowMicros());
    }

    boolean hasStarted(String job) {
        return startedAtMicros.containsKey(job);
    }

    /** From submission to the first start on a machine, or until now. */
    long waitMicros(String job) {
        return startedAtMicros.getOrDefault(job, environment.nowMicros()) - submittedAtMicros.get(job);
    }

    /** From submission to the first start on a machine; beyond all bounds when there was none. */
    long startDelayMicros(String job) {
        return startedAtMicros.getOrDefault(job, NEVER) - submittedAtMicros.get(job);
    }

    /** A task has its result. Returns whether it is the last one that its job lacked. */
    boolean recordTaskCompleted(TaskId task) {
        lastCompletionMicros.put(task.job(), environment.nowMicros());
        Set<Integer> done = completedTasks.computeIfAbsent(task.job(), job -> new HashSet<>());
        return done.add(task.index())
                && done.size() == submittedSpecs.get(task.job()).tasks();
    }

    /** How many tasks of the job have their result. */
    int completedTaskCount(String job) {
        return completedTasks.getOrDefault(job, Set.of()).size();
    }

    /** From submission to the last result so far; beyond all bounds when there is none. */
    long finishDelayMicros(String job) {
        return lastCompletionMicros.getOrDefault(job, NEVER) - submittedAtMicros.get(job);
    }
}
