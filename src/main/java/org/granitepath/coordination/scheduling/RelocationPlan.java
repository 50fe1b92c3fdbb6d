package org.granitepath.coordination.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.placement.ImageFetchTime;
import org.granitepath.coordination.placement.ResourceUsage;
import org.granitepath.storage.JobSpec;

/** Plans to which fuller machines replicas move in one round of consolidation. */
final class RelocationPlan {
    /** A replica must not be down for this long or longer, while its image is fetched, only because it is moved. */
    private static final double MAX_FETCH_SECONDS = 2;

    private final Fleet fleet;
    /** The resources that moving replicas will use on each machine; zero for a machine that was only considered. */
    private final Map<Machine, ResourceUsage> plannedUsage = new LinkedHashMap<>();

    /** Creates a plan without any moves. */
    RelocationPlan(Fleet fleet) {
        this.fleet = fleet;
    }

    /**
     * Plans to move all tasks of this machine to fuller machines. A task that is spread over zones stays in its zone,
     * and a target machine must have the image or fetch it in less than {@link #MAX_FETCH_SECONDS}. The moves of tasks
     * that found capacity stay planned even if another task then finds none.
     *
     * @return whether all tasks found capacity; false for a machine that was considered as a target for other replicas,
     *     which keeps its tasks
     */
    boolean planMovesFrom(Machine source) {
        if (plannedUsage.containsKey(source)) {
            return false;
        }
        for (Placement placement : source.placements()) {
            if (!planMove(placement.job().spec(), source)) {
                return false;
            }
        }
        return true;
    }

    private boolean planMove(JobSpec spec, Machine source) {
        for (Machine machine : fleet.machines()) {
            if (!canMoveTo(machine, source, spec)) {
                continue;
            }
            ResourceUsage planned = plannedUsage.computeIfAbsent(machine, ignored -> new ResourceUsage());
            if (planned.slotsIfUsed(machine.capacity(), spec) > 0) {
                planned.add(spec);
                return true;
            }
        }
        return false;
    }

    private static boolean canMoveTo(Machine machine, Machine source, JobSpec spec) {
        return machine != source
                && machine.isSchedulable()
                && machine.isAllowedFor(spec)
                && (machine.zone().equals(source.zone()) || !spec.spread())
                && ImageFetchTime.secondsOn(machine, spec) < MAX_FETCH_SECONDS
                && machine.capacity().usedCpuShare() > source.capacity().usedCpuShare();
    }
}
