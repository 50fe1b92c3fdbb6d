package org.granitepath.coordination.model;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.storage.JobSpec;
import org.jspecify.annotations.Nullable;

/** The attempts placed on one machine, at most one for each task. */
final class MachinePlacements {
    private final Map<TaskId, Placement> byTask = new LinkedHashMap<>();
    private final Collection<Placement> view = Collections.unmodifiableCollection(byTask.values());
    private final MachineCapacity capacity;

    /** Starts without placements. Each placement that is added or removed changes the given capacity. */
    MachinePlacements(MachineCapacity capacity) {
        this.capacity = capacity;
    }

    /** Returns all placements in the order in which they were added, as an unmodifiable view. */
    Collection<Placement> all() {
        return view;
    }

    /** Returns the placed attempt of the given task, or null if there is none. */
    @Nullable
    Placement get(TaskId task) {
        return byTask.get(task);
    }

    boolean isEmpty() {
        return byTask.isEmpty();
    }

    void add(Placement placement) {
        byTask.put(placement.task(), placement);
        capacity.allocate(placement.job().spec());
    }

    /** Removes this attempt and returns whether it was placed here. Another attempt of the same task stays. */
    boolean remove(Placement placement) {
        if (!byTask.remove(placement.task(), placement)) {
            return false;
        }
        capacity.release(placement.job().spec());
        return true;
    }

    /** Returns whether a task with the given image is placed and was not seen running yet. */
    boolean isFetching(String image) {
        for (Placement placement : byTask.values()) {
            if (!placement.hasRun() && placement.job().spec().image().equals(image)) {
                return true;
            }
        }
        return false;
    }

    /** Returns how many more tasks of the job would fit if all tasks here except those of services had ended. */
    int slotsBesideServices(JobSpec spec) {
        long cpuMillis = 0;
        long gpuMillis = 0;
        long memoryMillis = 0;
        for (Placement placement : byTask.values()) {
            JobSpec other = placement.job().spec();
            if (!other.isService()) {
                cpuMillis += other.cpuMillis();
                gpuMillis += other.gpuMillis();
                memoryMillis += other.memoryMillis();
            }
        }
        return capacity.slots(spec, cpuMillis, gpuMillis, memoryMillis);
    }
}
