package org.granitepath.coordination.gang;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.BatchPlanner;
import org.granitepath.coordination.placement.StartDelay;
import org.granitepath.storage.JobSpec;

/**
 * Free capacity on full-price machines for the next gang, where gangs are expected to start sooner than a machine
 * boots. In the zone with the most free capacity, batch work that may use spot machines leaves as much as the
 * largest of the present gangs takes. It does so for a bounded time: then it takes what there is.
 */
public final class GangHeadroom {
    private static final String NO_ZONE = "";

    private final Fleet fleet;
    private final BatchPlanner batchPlanner;
    private String zone = NO_ZONE;
    /**
     * Thousandths of a CPU free in that zone beyond what is to be left; negative when there are fewer.
     */
    private long spareCpuMillis;

    /** Nothing is kept before the first survey. */
    public GangHeadroom(Fleet fleet, BatchPlanner batchPlanner) {
        this.fleet = fleet;
        this.batchPlanner = batchPlanner;
    }

    /** Looks at the fleet anew. */
    public void update() {
        zone = NO_ZONE;
        long mostCpuMillis = -1;
        for (var entry : freeCpuMillisByZone().object2LongEntrySet()) {
            if (entry.getLongValue() > mostCpuMillis) {
                zone = entry.getKey();
                mostCpuMillis = entry.getLongValue();
            }
        }
        spareCpuMillis = mostCpuMillis - batchPlanner.largestUrgentGangCpuMillis();
    }

    private Object2LongOpenHashMap<String> freeCpuMillisByZone() {
        Object2LongOpenHashMap<String> freeCpuMillis = new Object2LongOpenHashMap<>();
        for (Machine machine : fleet.machines()) {
            if (!machine.spot() && machine.takesTasks()) {
                freeCpuMillis.addTo(machine.zone(), machine.capacity().cpuFree());
            }
        }
        return freeCpuMillis;
    }

    /** Whether the machine's free capacity counts as headroom. */
    private boolean isPartOfHeadroom(Machine machine) {
        return batchPlanner.largestUrgentGangCpuMillis() > 0
                && !machine.spot()
                && machine.zone().equals(zone);
    }

    /** Whether the job may have a task there, as far as gangs are concerned. */
    public boolean canPlace(Machine machine, ActiveJob job, long nowMicros) {
        JobSpec spec = job.spec();
        if (!isPartOfHeadroom(machine) || spec.service() || spec.gang() || !spec.spot()) {
            return true;
        }
        return spareCpuMillis >= spec.cpuMillis()
                || StartDelay.micros(job, nowMicros) > StartDelay.MAX_WITH_FREE_CAPACITY_MICROS;
    }

    /** Notes that a task was placed there. */
    public void onTaskPlaced(Machine machine, JobSpec spec) {
        if (isPartOfHeadroom(machine)) {
            spareCpuMillis -= spec.cpuMillis();
        }
    }

    /** Whether this idle machine is to be kept: without it too little would be free. */
    public boolean isNeeded(Machine machine) {
        return isPartOfHeadroom(machine) && spareCpuMillis < machine.capacity().cpuFree();
    }

    /** Notes that a machine is terminated. */
    public void onMachineTerminated(Machine machine) {
        if (isPartOfHeadroom(machine)) {
            spareCpuMillis -= machine.capacity().cpuFree();
        }
    }
}
