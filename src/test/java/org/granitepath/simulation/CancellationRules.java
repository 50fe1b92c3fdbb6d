package org.granitepath.simulation;

import java.util.Map;
import java.util.TreeMap;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.coordination.ports.TaskId;

/** After a confirmed cancellation no start is sent, and what runs ends within the time that the settings allow. */
final class CancellationRules {
    /** For so long after its time is over, each step looks for tasks of a cancelled job. */
    private static final long WATCH_PERIOD_MICROS = 120_000_000;

    private final SimEnvironment environment;
    private final ViolationReporter violations;
    private final JobHistory jobs;
    private final TaskPlacementRules placements;
    private final long cancellationTimeoutMicros;
    private final Map<String, Long> confirmedAtMicros = new TreeMap<>();

    /** @param cancellationTimeoutMicros for how long tasks may go on once their cancellation is confirmed */
    CancellationRules(
            SimEnvironment environment,
            ViolationReporter violations,
            JobHistory jobs,
            TaskPlacementRules placements,
            long cancellationTimeoutMicros) {
        this.environment = environment;
        this.violations = violations;
        this.jobs = jobs;
        this.placements = placements;
        this.cancellationTimeoutMicros = cancellationTimeoutMicros;
    }

    /** A user was told for the first time that the job is cancelled. */
    void recordConfirmation(String job) {
        confirmedAtMicros.put(job, environment.nowMicros());
    }

    /** A controller sends the command to start this task. */
    void recordStartSent(TaskId task) {
        if (jobs.finalState(task.job()) == JobState.CANCELLED) {
            violations.report(
                    "started_cancelled", "a start of " + task + " is sent after the cancellation was confirmed");
        }
    }

    /** A task is on a machine now. */
    void recordTaskStarted(TaskId task) {
        if (isOverdue(task)) {
            violations.report("ran_cancelled", task + " starts");
        }
    }

    /** Nothing of a cancelled job may be left when its time is over. */
    void check() {
        if (confirmedAtMicros.isEmpty()) {
            return;
        }
        for (TaskId task : placements.tasks()) {
            if (isOverdue(task)) {
                violations.report("ran_cancelled", task + " is still on " + placements.hostOf(task));
            }
        }
        confirmedAtMicros
                .values()
                .removeIf(confirmedMicros ->
                        environment.nowMicros() > confirmedMicros + cancellationTimeoutMicros + WATCH_PERIOD_MICROS);
    }

    private boolean isOverdue(TaskId task) {
        Long confirmedMicros = confirmedAtMicros.get(task.job());
        return confirmedMicros != null && environment.nowMicros() > confirmedMicros + cancellationTimeoutMicros;
    }
}
