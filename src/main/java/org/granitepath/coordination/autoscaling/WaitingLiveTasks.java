package org.granitepath.coordination.autoscaling;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.List;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.storage.JobSpec;
import org.jspecify.annotations.Nullable;

/**
 * The waiting tasks of live services that are not planned for yet, by what they need of a machine: those that need the
 * same are launched for together, since they share machines.
 */
final class WaitingLiveTasks {
    /** What a task needs of a machine, in thousandths; {@code types} and {@code zone} are null where any will do. */
    private record EquivalenceClass(
            long cpuMillis,
            long gpuMillis,
            long memoryMillis,
            @Nullable List<String> types,
            @Nullable String zone,
            boolean spot) {
        static EquivalenceClass of(JobSpec spec) {
            return new EquivalenceClass(
                    spec.cpuMillis(), spec.gpuMillis(), spec.memoryMillis(), spec.types(), spec.zone(), spec.spot());
        }
    }

    private final Object2IntOpenHashMap<EquivalenceClass> tasksByClass = new Object2IntOpenHashMap<>();

    /** Counts the waiting tasks of this job. */
    void add(ActiveJob job) {
        tasksByClass.addTo(EquivalenceClass.of(job.spec()), job.waitingTasks());
    }

    /** Takes out a job that is planned for, and returns how many tasks of the others need the same as its tasks. */
    int removeAndCountEquivalent(ActiveJob job) {
        int before = tasksByClass.addTo(EquivalenceClass.of(job.spec()), -job.waitingTasks());
        return before - job.waitingTasks();
    }
}
