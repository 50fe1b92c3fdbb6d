package org.granitepath.coordination.model;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.storage.JobSpec;
import org.jspecify.annotations.Nullable;

/** The attempts placed on one machine, at most one for each task, and the capacity that they take. */
final class MachinePlacements {
    private final Map<TaskId, Placement> byTask = new LinkedHashMap<>();
    private final Collection<Placement> view = Collections.unmodifiableCollection(byTask.values());
    private final MachineCapacity capacity;

    /** No attempt is placed yet. Each one that comes or goes is counted in this capacity. */
    MachinePlacements(MachineCapacity capacity) {
        this.capacity = capacity;
    }

    /** All of them, in the order in which they came: a view that changes with them. */
    Collection<Placement> all() {
        return view;
    }

    /** The attempt of this task, or null. */
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

    /** Whether this very attempt was placed here until now; another attempt of its task stays. */
    boolean remove(Placement placement) {
        if (!byTask.remove(placement.task(), placement)) {
            return false;
        }
        capacity.release(placement.job().spec());
        return true;
    }

    /** Whether a task that was not seen to run yet waits for this image. */
    boolean isFetching(String image) {
        for (Placement placement : byTask.values()) {
            if (!placement.hasRun() && placement.job().spec().image().equals(image)) {
                return true;
            }
        }
        return false;
    }

    /** How many tasks of this shape fit once all but the services has ended. */
    int slotsBesideServices(JobSpec spec) {
        long cpuMillis = 0;
        long gpuMillis = 0;
        long memoryMillis = 0;
        for (Placement placement : byTask.values()) {
            JobSpec other = placement.job().spec();
            if (!other.service()) {
                cpuMillis += other.cpuMillis();
                gpuMillis += other.gpuMillis();
                memoryMillis += other.memoryMillis();
            }
        }
        return capacity.slots(spec, cpuMillis, gpuMillis, memoryMillis);
    }
}
