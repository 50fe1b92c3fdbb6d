package org.granitepath.storage;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What a user asked for. Amounts are whole thousandths (of a CPU, a GPU, a gigabyte), rounded up, so that sums are
 * exact; times are microseconds.
 *
 * @param types the machine types that may be used; null: any
 * @param zone the only zone that may be used; null: any
 * @param oneZone whether all tasks must run in one zone
 * @param spread whether no zone may hold more than half of the tasks, rounded up
 * @param spotAllowed whether spot instances may be used
 * @param deadlineMicros time after acceptance, or {@link #NO_DEADLINE}
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
        @Nullable List<String> types,
        @Nullable String zone,
        boolean oneZone,
        boolean spread,
        boolean spotAllowed,
        long estimatedRunMicros,
        long checkpointIntervalMicros,
        long saveDurationMicros,
        long deadlineMicros) {

    /** How the tasks of a job relate to one another and to time. */
    public enum Shape {
        /** Independent tasks, each of which ends by itself. */
        BATCH,
        /** Tasks that work together: they start all at once, and none goes on without the others. */
        GANG,
        /** Tasks that run until the job is cancelled. */
        SERVICE
    }

    /** Stands for a deadline that there is not. */
    public static final long NO_DEADLINE = -1;

    /** Whether its tasks run until it is cancelled. */
    public boolean isService() {
        return shape == Shape.SERVICE;
    }

    /** Whether its tasks start together or not at all. */
    public boolean isGang() {
        return shape == Shape.GANG;
    }

    /** Whether it is to be complete by a certain time. */
    public boolean hasDeadline() {
        return deadlineMicros != NO_DEADLINE;
    }

    /** Whether machines of this type may be used. */
    public boolean isTypeAllowed(String type) {
        return types == null || types.contains(type);
    }

    /** Whether machines of this zone may be used. */
    public boolean isZoneAllowed(String candidate) {
        return zone == null || zone.equals(candidate);
    }

    /** At most this many tasks may stand in one zone. */
    public int maxTasksPerZone() {
        return spread ? (tasks + 1) / 2 : tasks;
    }
}
