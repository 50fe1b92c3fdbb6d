package org.granitepath.coordination.gang;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.BatchPlanner;
import org.granitepath.storage.JobSpec;

/**
 * Free capacity on full-price machines for the next gang, where gangs are expected to start sooner than a machine
 * boots. In the zone with the most free capacity, batch work that may use spot machines leaves as much as the
 * largest of the present gangs takes. It does so for a bounded time: then it takes what there is.
 */
public final class GangHeadroom {
    /** The users allow 90 s beside a machine with capacity. */
    private static final long LONGEST_WAIT_BESIDE_CAPACITY_MICROS = 75_000_000;

    private final Fleet fleet;
    private final BatchPlanner batchPlanner;
    private String zone = "";
    /** CPUs free in that zone beyond what is to be left; negative when there are fewer. */
    private long spareCpu;

    /** Nothing is kept before the first survey. */
    public GangHeadroom(Fleet fleet, BatchPlanner batchPlanner) {
        this.fleet = fleet;
        this.batchPlanner = batchPlanner;
    }

    /** Looks at the fleet anew. */
    public void survey() {
        Object2LongOpenHashMap<String> free = new Object2LongOpenHashMap<>();
        for (Machine machine : fleet.machines()) {
            if (!machine.spot() && machine.takesTasks()) {
                free.addTo(machine.zone(), machine.capacity().cpuFree());
            }
        }
        zone = "";
        long most = -1;
        for (var entry : free.object2LongEntrySet()) {
            if (entry.getLongValue() > most) {
                zone = entry.getKey();
                most = entry.getLongValue();
            }
        }
        spareCpu = most - batchPlanner.promptGangCpu();
    }

    private boolean isWanted(Machine machine) {
        return batchPlanner.promptGangCpu() > 0
                && !machine.spot()
                && machine.zone().equals(zone);
    }

    /** Whether the job may have a task there, as far as gangs are concerned. */
    public boolean leavesHeadroom(Machine machine, ActiveJob job, long now) {
        JobSpec spec = job.spec();
        if (!isWanted(machine) || spec.service() || spec.gang() || !spec.spot()) {
            return true;
        }
        return spareCpu >= spec.cpuMillis()
                || now
                                - Math.max(
                                        job.scheduling().waitingSinceMicros(),
                                        job.scheduling().lastStartMicros())
                        > LONGEST_WAIT_BESIDE_CAPACITY_MICROS;
    }

    /** A task was placed there. */
    public void taken(Machine machine, JobSpec spec) {
        if (isWanted(machine)) {
            spareCpu -= spec.cpuMillis();
        }
    }

    /** Whether this idle machine is to be kept: without it too little would be free. */
    public boolean keeps(Machine machine) {
        return isWanted(machine) && spareCpu < machine.capacity().cpuFree();
    }

    /** A machine is terminated. */
    public void terminated(Machine machine) {
        if (isWanted(machine)) {
            spareCpu -= machine.capacity().cpuFree();
        }
    }
}
