package org.granitepath.simulation;

import java.util.Map;
import java.util.TreeMap;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.coordination.ports.TaskId;

/**
 * Checks that controllers send no start command for a job after its cancellation was confirmed, and that its tasks end
 * within the cancellation timeout of the settings.
 */
final class CancellationRules {
    /** How long after the cancellation timeout each check looks for tasks of a cancelled job. */
    private static final long WATCH_PERIOD_MICROS = 120_000_000;

    private final SimEnvironment environment;
    private final ViolationReporter violations;
    private final JobHistory jobs;
    private final TaskPlacementRules placements;
    private final long cancellationTimeoutMicros;
    private final Map<String, Long> confirmedAtMicros = new TreeMap<>();

    /** @param cancellationTimeoutMicros how long tasks may run after their cancellation was confirmed */
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

    /** Records the first response that confirms the cancellation of a job. */
    void recordConfirmation(String job) {
        confirmedAtMicros.put(job, environment.nowMicros());
    }

    /** Checks a start command that a controller sends. */
    void recordStartSent(TaskId task) {
        if (jobs.finalState(task.job()) == JobState.CANCELLED) {
            violations.report(
                    "started_cancelled", "the start of " + task + " was sent after its cancellation was confirmed");
        }
    }

    /** Checks a task that has started on a machine. */
    void recordTaskStarted(TaskId task) {
        if (isOverdue(task)) {
            violations.report("ran_cancelled", task + " started");
        }
    }

    /** Checks that no task of a cancelled job is on a machine after the cancellation timeout. */
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
