package org.granitepath.coordination.autoscaling;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.List;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.storage.JobSpec;
import org.jspecify.annotations.Nullable;

/**
 * Counts the waiting tasks of live services that the plan does not cover yet, by what they need of a machine. Tasks
 * with the same needs can share machines, so the plan launches machines for them together.
 */
final class WaitingLiveTasks {
    /**
     * Everything that a task needs of a machine. Amounts are in thousandths; {@code types} and {@code zone} are null if
     * the task accepts any.
     */
    private record EquivalenceClass(
            long cpuMillis,
            long gpuMillis,
            long memoryMillis,
            @Nullable List<String> types,
            @Nullable String zone,
            boolean spot) {
        static EquivalenceClass of(JobSpec spec) {
            return new EquivalenceClass(
                    spec.cpuMillis(),
                    spec.gpuMillis(),
                    spec.memoryMillis(),
                    spec.allowedTypeNames(),
                    spec.zone(),
                    spec.spotAllowed());
        }
    }

    private final Object2IntOpenHashMap<EquivalenceClass> tasksByClass = new Object2IntOpenHashMap<>();

    /** Adds the waiting tasks of this job. */
    void add(ActiveJob job) {
        tasksByClass.addTo(EquivalenceClass.of(job.spec()), job.waitingTasks());
    }

    /** Removes the waiting tasks of a job, and returns how many tasks of other jobs have the same needs. */
    int removeAndCountEquivalent(ActiveJob job) {
        int before = tasksByClass.addTo(EquivalenceClass.of(job.spec()), -job.waitingTasks());
        return before - job.waitingTasks();
    }
}
