package org.granitepath.coordination.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.placement.ImageFetchTime;
import org.granitepath.coordination.placement.ResourceUsage;
import org.granitepath.storage.JobSpec;

/** Reserves capacity on fuller machines for the replicas that move in one round of consolidation. */
final class RelocationPlan {
    /** A replica does not move to a machine where fetching its image would keep it down for this long or longer. */
    private static final double MAX_FETCH_SECONDS = 2;

    private final Fleet fleet;
    /** The resources that moving replicas will use on each machine; zero for a machine that was only considered. */
    private final Map<Machine, ResourceUsage> promised = new LinkedHashMap<>();

    /** Creates a plan without any relocation. */
    RelocationPlan(Fleet fleet) {
        this.fleet = fleet;
    }

    /**
     * Promises capacity on fuller machines to all tasks of this machine. A task that is spread over zones stays in its
     * zone, and a target machine must have the image or fetch it in less than {@link #MAX_FETCH_SECONDS}. Capacity that
     * was promised to some tasks stays promised even if another task then finds none.
     *
     * @return whether all tasks found capacity; false for a machine that was considered as a target for other replicas,
     *     which keeps its tasks
     */
    boolean moveAllFrom(Machine source) {
        if (promised.containsKey(source)) {
            return false;
        }
        for (Placement placement : source.placements()) {
            if (!promiseCapacity(placement.job().spec(), source)) {
                return false;
            }
        }
        return true;
    }

    private boolean promiseCapacity(JobSpec spec, Machine source) {
        for (Machine machine : fleet.machines()) {
            if (!mayMoveTo(machine, source, spec)) {
                continue;
            }
            ResourceUsage taken = promised.computeIfAbsent(machine, unknown -> new ResourceUsage());
            if (taken.slotsIfUsed(machine.capacity(), spec) > 0) {
                taken.add(spec);
                return true;
            }
        }
        return false;
    }

    private static boolean mayMoveTo(Machine machine, Machine source, JobSpec spec) {
        return machine != source
                && machine.isSchedulable()
                && machine.isAllowedFor(spec)
                && (machine.zone().equals(source.zone()) || !spec.spread())
                && ImageFetchTime.secondsOn(machine, spec) < MAX_FETCH_SECONDS
                && machine.capacity().usedCpuShare() > source.capacity().usedCpuShare();
    }
}
