package org.granitepath.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.fleet.MachineLifecycle;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.storage.JobSpec;

/**
 * Empties the machine that hosts the fewest service replicas when others have capacity and their images, so that it can
 * be terminated. A replica is stopped only to start at once elsewhere; machines with batch work are left alone.
 */
public final class Consolidator {
    private static final long EVERY_MICROS = 4_000_000;
    private static final double MOST_USED_TO_EMPTY = 0.75;
    private static final int MACHINES_FOR_ONE_MORE = 50;
    /** A replica is not to be away for longer than this, for its image, only because it moves. */
    private static final double LONGEST_FETCH_SECONDS = 2;
    /** A replica is not moved before it has run this long. */
    private static final long MIN_RUNTIME_MICROS = 40_000_000;

    private final Fleet fleet;
    private final ActiveJobs activeJobs;
    private final MachineLifecycle machines;
    private final TaskLifecycle tasks;
    /** Capacity promised in this round. */
    private final Map<Machine, long[]> taken = new LinkedHashMap<>();

    private long dueMicros;

    /** Moves replicas on the machines of this fleet. */
    public Consolidator(Fleet fleet, ActiveJobs activeJobs, MachineLifecycle machines, TaskLifecycle tasks) {
        this.fleet = fleet;
        this.activeJobs = activeJobs;
        this.machines = machines;
        this.tasks = tasks;
    }

    /** Empties a few machines, unless it did so lately or work waits. */
    public void tick(long now) {
        if (now < dueMicros) {
            return;
        }
        dueMicros = now + EVERY_MICROS;
        for (ActiveJob job : activeJobs.all()) {
            if (job.waitingTasks() > 0) {
                return;
            }
        }
        // A few at a time, so that what moves finds its place before more moves.
        int atOnce = 1 + fleet.machines().size() / MACHINES_FOR_ONE_MORE;
        List<Machine> emptiest = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (machine.phase() == Machine.Phase.DRAINING && machine.hasPlacements()) {
                atOnce--;
            } else if (mayEmpty(machine, now)) {
                emptiest.add(machine);
            }
        }
        emptiest.sort(Comparator.comparingDouble(machine -> machine.capacity().cpuUsedShare()));
        taken.clear();
        for (Machine machine : emptiest) {
            if (atOnce <= 0) {
                return;
            }
            if (!taken.containsKey(machine) && othersHold(machine)) {
                atOnce--;
                machines.drain(machine, "its " + machine.placements().size() + " replicas fit elsewhere");
                for (Placement placement : List.copyOf(machine.placements())) {
                    tasks.stop(placement, 0, "moves to a fuller machine");
                }
            }
        }
    }

    private static boolean mayEmpty(Machine machine, long now) {
        if (!machine.takesTasks()
                || !machine.hasPlacements()
                || machine.capacity().cpuUsedShare() > MOST_USED_TO_EMPTY) {
            return false;
        }
        for (Placement placement : machine.placements()) {
            if (!placement.job().spec().service()
                    || placement.phase() != Placement.Phase.RUNNING
                    || now - placement.runningSinceMicros() < MIN_RUNTIME_MICROS) {
                return false;
            }
        }
        return true;
    }

    private static boolean soonHas(Machine machine, JobSpec spec) {
        return machine.capacity().hasImage(spec.image())
                || spec.imageGb() / machine.type().fetchGbPerSecond() < LONGEST_FETCH_SECONDS;
    }

    /**
     * Whether fuller machines have capacity for all tasks of this one, in its zone and with their images or nearly so.
     */
    private boolean othersHold(Machine from) {
        for (Placement placement : from.placements()) {
            JobSpec spec = placement.job().spec();
            boolean placed = false;
            for (Machine machine : fleet.machines()) {
                if (machine == from
                        || !machine.takesTasks()
                        || !machine.allowedFor(spec)
                        || (!machine.zone().equals(from.zone()) && spec.spread())
                        || !soonHas(machine, spec)
                        || machine.capacity().cpuUsedShare() <= from.capacity().cpuUsedShare()) {
                    continue;
                }
                long[] used = taken.computeIfAbsent(machine, k -> new long[3]);
                if (machine.capacity().slots(spec, -used[0], -used[1], -used[2]) > 0) {
                    used[0] += spec.cpuMillis();
                    used[1] += spec.gpuMillis();
                    used[2] += spec.memoryMillis();
                    placed = true;
                    break;
                }
            }
            if (!placed) {
                return false;
            }
        }
        return true;
    }
}
