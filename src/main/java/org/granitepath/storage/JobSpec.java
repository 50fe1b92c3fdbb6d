package org.granitepath.storage;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The description of a job, as requested by a user. Amounts are whole thousandths (of a CPU, a GPU, a gigabyte),
 * rounded up, so that sums are exact. Times are in microseconds.
 *
 * @param imageGb the size of the image in gigabytes
 * @param allowedTypeNames the names of the machine types that may be used; null for any
 * @param zone the only zone that may be used; null for any
 * @param oneZone whether all tasks must run in one zone
 * @param spread whether no zone may hold more than half of the tasks, rounded up
 * @param spotAllowed whether spot instances may be used
 * @param estimatedRunMicros the user's estimate of the run time of a task
 * @param checkpointIntervalMicros the time between two checkpoints of a task; 0 if it makes none
 * @param saveDurationMicros the time that a task takes to save its state before it stops
 * @param deadlineMicros the time after acceptance by which the job should be complete, or {@link #NO_DEADLINE}
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        Shape shape,
        Priority priority,
        int tasks,
        long cpuMillis,
        long gpuMillis,
        long memoryMillis,
        String image,
        double imageGb,
        @Nullable List<String> allowedTypeNames,
        @Nullable String zone,
        boolean oneZone,
        boolean spread,
        boolean spotAllowed,
        long estimatedRunMicros,
        long checkpointIntervalMicros,
        long saveDurationMicros,
        long deadlineMicros) {

    /** How the tasks of a job depend on one another, and whether they end by themselves. */
    public enum Shape {
        /** Independent tasks, each of which ends by itself. */
        BATCH,
        /** Tasks that work together: they start at the same time, and none continues without the others. */
        GANG,
        /** Tasks that run until the job is cancelled. */
        SERVICE
    }

    /** The value of {@code deadlineMicros} for a job without a deadline. */
    public static final long NO_DEADLINE = -1;

    /** Returns whether the tasks run until the job is cancelled. */
    public boolean isService() {
        return shape == Shape.SERVICE;
    }

    /** Returns whether the tasks start either all together or not at all. */
    public boolean isGang() {
        return shape == Shape.GANG;
    }

    /** Returns whether the job should be complete by a certain time. */
    public boolean hasDeadline() {
        return deadlineMicros != NO_DEADLINE;
    }

    /** Returns whether machines of this type may be used. */
    public boolean isTypeAllowed(String type) {
        return allowedTypeNames == null || allowedTypeNames.contains(type);
    }

    /** Returns whether machines in this zone may be used. */
    public boolean isZoneAllowed(String candidate) {
        return zone == null || zone.equals(candidate);
    }

    /** Returns the largest number of tasks that may run in one zone. */
    public int maxTasksPerZone() {
        return spread ? (tasks + 1) / 2 : tasks;
    }
}
