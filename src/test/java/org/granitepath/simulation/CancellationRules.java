package org.granitepath.simulation;

import java.util.Map;
import java.util.TreeMap;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.coordination.ports.TaskId;

/** After a confirmed cancellation no start is sent, and what runs ends within the time that the settings allow. */
final class CancellationRules {
    /** For so long after its time is over, each step looks for tasks of a cancelled job. */
    private static final long WATCHED_MICROS = 120_000_000;

    private final SimEnvironment environment;
    private final ViolationReporter breaches;
    private final JobHistory jobs;
    private final TaskPlacementRules placements;
    private final long cancelMicros;
    private final Map<String, Long> confirmedAt = new TreeMap<>();

    /** @param cancelMicros for how long tasks may go on once their cancellation is confirmed */
    CancellationRules(
            SimEnvironment environment,
            ViolationReporter breaches,
            JobHistory jobs,
            TaskPlacementRules placements,
            long cancelMicros) {
        this.environment = environment;
        this.breaches = breaches;
        this.jobs = jobs;
        this.placements = placements;
        this.cancelMicros = cancelMicros;
    }

    /** A user was told for the first time that the job is cancelled. */
    void recordConfirmation(String job) {
        confirmedAt.put(job, environment.nowMicros());
    }

    /** A controller sends the command to start this task. */
    void recordStartSent(TaskId task) {
        if (jobs.finalState(task.job()) == JobState.CANCELLED) {
            breaches.report(
                    "started_cancelled", "a start of " + task + " is sent after the cancellation was confirmed");
        }
    }

    /** A task is on a machine now. */
    void recordTaskStarted(TaskId task) {
        if (isOverdue(task)) {
            breaches.report("ran_cancelled", task + " starts");
        }
    }

    /** Nothing of a cancelled job may be left when its time is over. */
    void check() {
        if (confirmedAt.isEmpty()) {
            return;
        }
        for (TaskId task : placements.tasks()) {
            if (isOverdue(task)) {
                breaches.report("ran_cancelled", task + " is still on " + placements.hostOf(task));
            }
        }
        confirmedAt.values().removeIf(confirmed -> environment.nowMicros() > confirmed + cancelMicros + WATCHED_MICROS);
    }

    private boolean isOverdue(TaskId task) {
        Long confirmed = confirmedAt.get(task.job());
        return confirmed != null && environment.nowMicros() > confirmed + cancelMicros;
    }
}
