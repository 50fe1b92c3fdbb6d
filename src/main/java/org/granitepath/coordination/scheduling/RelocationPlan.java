package org.granitepath.coordination.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.placement.ImageFetchTime;
import org.granitepath.coordination.placement.ResourceUsage;
import org.granitepath.storage.JobSpec;

/** Finds capacity on fuller machines for the replicas that move in one round of consolidation. */
final class RelocationPlan {
    /** A replica is not to be away for longer than this, for its image, only because it moves. */
    private static final double MAX_FETCH_SECONDS = 2;

    private final Fleet fleet;
    /** What replicas that move will use on other machines; nothing yet on those that were looked at. */
    private final Map<Machine, ResourceUsage> promised = new LinkedHashMap<>();

    /** Nothing moves at first. */
    RelocationPlan(Fleet fleet) {
        this.fleet = fleet;
    }

    /**
     * Whether fuller machines have capacity for all tasks of this one, in its zone and with their images or nearly so.
     * What they take is noted as promised, even if another task then finds none. A machine that was looked at for
     * others keeps its tasks.
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
                && machine.takesTasks()
                && machine.allowedFor(spec)
                && (machine.zone().equals(source.zone()) || !spec.spread())
                && ImageFetchTime.secondsOn(machine, spec) < MAX_FETCH_SECONDS
                && machine.capacity().cpuUsedShare() > source.capacity().cpuUsedShare();
    }
}
