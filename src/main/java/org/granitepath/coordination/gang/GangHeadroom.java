package org.granitepath.coordination.gang;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.BatchPlanner;
import org.granitepath.coordination.placement.StartDelay;
import org.granitepath.storage.JobSpec;

/**
 * Leaves capacity of on-demand machines free for the next gang, while the active jobs include gangs that {@linkplain
 * BatchPlanner#needsImmediateStart need an immediate start}, sooner than a machine boots. In the zone with the most
 * free capacity on such machines, batch tasks that can use spot machines leave as much CPU free as the largest of these
 * gangs needs. A batch job that has waited for {@link StartDelay#MAX_WITH_FREE_CAPACITY_MICROS} can use the headroom
 * too.
 */
public final class GangHeadroom {
    private static final String NO_ZONE = "";

    private final Fleet fleet;
    private final BatchPlanner batchPlanner;
    private String zone = NO_ZONE;
    /** Free CPU in that zone beyond the headroom, in thousandths of a CPU; negative if the headroom is not complete. */
    private long spareCpuMillis;

    /** Creates headroom that keeps nothing free before the first update. */
    public GangHeadroom(Fleet fleet, BatchPlanner batchPlanner) {
        this.fleet = fleet;
        this.batchPlanner = batchPlanner;
    }

    /** Selects the zone and computes its spare capacity again from the current state of the fleet. */
    public void update() {
        zone = NO_ZONE;
        long mostCpuMillis = -1;
        for (var entry : freeCpuMillisByZone().object2LongEntrySet()) {
            if (entry.getLongValue() > mostCpuMillis) {
                zone = entry.getKey();
                mostCpuMillis = entry.getLongValue();
            }
        }
        spareCpuMillis = mostCpuMillis - batchPlanner.largestImmediateStartGangCpuMillis();
    }

    private Object2LongOpenHashMap<String> freeCpuMillisByZone() {
        Object2LongOpenHashMap<String> freeCpuMillis = new Object2LongOpenHashMap<>();
        for (Machine machine : fleet.machines()) {
            if (!machine.isSpot() && machine.isSchedulable()) {
                freeCpuMillis.addTo(machine.zone(), machine.capacity().freeCpuMillis());
            }
        }
        return freeCpuMillis;
    }

    /** Returns whether the machine's free capacity counts as headroom. */
    private boolean isPartOfHeadroom(Machine machine) {
        return batchPlanner.largestImmediateStartGangCpuMillis() > 0
                && !machine.isSpot()
                && machine.zone().equals(zone);
    }

    /** Returns whether the headroom allows a task of the job on this machine. Other conditions are not checked. */
    public boolean allows(Machine machine, ActiveJob job, long nowMicros) {
        return !isPartOfHeadroom(machine) || spareCpuMillis >= job.spec().cpuMillis() || canUseHeadroom(job, nowMicros);
    }

    /** Returns whether the job can use the headroom itself, and not only the capacity beyond it. */
    public static boolean canUseHeadroom(ActiveJob job, long nowMicros) {
        JobSpec spec = job.spec();
        return spec.isService()
                || spec.isGang()
                || !spec.spotAllowed()
                || StartDelay.delayMicros(job, nowMicros) > StartDelay.MAX_WITH_FREE_CAPACITY_MICROS;
    }

    /** Takes account of a task that was placed on this machine. */
    public void onTaskPlaced(Machine machine, JobSpec spec) {
        if (isPartOfHeadroom(machine)) {
            spareCpuMillis -= spec.cpuMillis();
        }
    }

    /** Returns whether this idle machine must be kept, because the headroom would not be complete without it. */
    public boolean isNeeded(Machine machine) {
        return isPartOfHeadroom(machine) && spareCpuMillis < machine.capacity().freeCpuMillis();
    }

    /** Takes account of a machine that is to be terminated. */
    public void onMachineTerminated(Machine machine) {
        if (isPartOfHeadroom(machine)) {
            spareCpuMillis -= machine.capacity().freeCpuMillis();
        }
    }
}
