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
import org.granitepath.coordination.placement.Resources;
import org.granitepath.storage.JobSpec;

/**
 * Empties the machine that hosts the fewest service replicas when others have capacity and their images, so that it can
 * be terminated. A replica is stopped only to start at once elsewhere; machines with batch work are left alone.
 */
public final class Consolidator {
    private static final long INTERVAL_MICROS = 4_000_000;
    private static final double MAX_CPU_USED_SHARE_TO_EMPTY = 0.75;
    /** One machine is emptied at a time, and one more for each so many in the fleet. */
    private static final int MACHINES_PER_FURTHER_DRAIN = 50;
    /** A replica is not to be away for longer than this, for its image, only because it moves. */
    private static final double MAX_FETCH_SECONDS = 2;
    /** A replica is not moved before it has run this long. */
    private static final long MIN_RUNTIME_MICROS = 40_000_000;

    private final Fleet fleet;
    private final ActiveJobs activeJobs;
    private final MachineLifecycle machines;
    private final TaskLifecycle tasks;
    /** What replicas that move in this round will use on other machines; nothing yet on those that were looked at. */
    private final Map<Machine, Resources> promised = new LinkedHashMap<>();

    private long nextRoundMicros;

    /** Moves replicas on the machines of this fleet. */
    public Consolidator(Fleet fleet, ActiveJobs activeJobs, MachineLifecycle machines, TaskLifecycle tasks) {
        this.fleet = fleet;
        this.activeJobs = activeJobs;
        this.machines = machines;
        this.tasks = tasks;
    }

    /** Empties a few machines, unless it did so lately or work waits. */
    public void tick(long nowMicros) {
        if (nowMicros < nextRoundMicros) {
            return;
        }
        nextRoundMicros = nowMicros + INTERVAL_MICROS;
        if (hasWaitingWork()) {
            return;
        }
        // A few at a time, so that what moves finds its place before more moves.
        int drainsLeft = 1 + fleet.machines().size() / MACHINES_PER_FURTHER_DRAIN;
        List<Machine> emptiestFirst = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (machine.phase() == Machine.Phase.DRAINING && machine.hasPlacements()) {
                drainsLeft--;
            } else if (mayEmpty(machine, nowMicros)) {
                emptiestFirst.add(machine);
            }
        }
        emptiestFirst.sort(
                Comparator.comparingDouble(machine -> machine.capacity().cpuUsedShare()));
        drain(emptiestFirst, drainsLeft);
    }

    private boolean hasWaitingWork() {
        for (ActiveJob job : activeJobs.all()) {
            if (job.waitingTasks() > 0) {
                return true;
            }
        }
        return false;
    }

    private void drain(List<Machine> candidates, int most) {
        int drainsLeft = most;
        promised.clear();
        for (Machine machine : candidates) {
            if (drainsLeft <= 0) {
                return;
            }
            if (!promised.containsKey(machine) && othersHaveCapacityFor(machine)) {
                drainsLeft--;
                drain(machine);
            }
        }
    }

    private void drain(Machine machine) {
        machines.drain(machine, "its " + machine.placements().size() + " replicas fit elsewhere");
        for (Placement placement : List.copyOf(machine.placements())) {
            tasks.stop(placement, 0, "moves to a fuller machine");
        }
    }

    private static boolean mayEmpty(Machine machine, long nowMicros) {
        if (!machine.takesTasks()
                || !machine.hasPlacements()
                || machine.capacity().cpuUsedShare() > MAX_CPU_USED_SHARE_TO_EMPTY) {
            return false;
        }
        for (Placement placement : machine.placements()) {
            if (!placement.job().spec().service()
                    || placement.phase() != Placement.Phase.RUNNING
                    || nowMicros - placement.runningSinceMicros() < MIN_RUNTIME_MICROS) {
                return false;
            }
        }
        return true;
    }

    private static boolean hasImageSoon(Machine machine, JobSpec spec) {
        return machine.capacity().hasImage(spec.image())
                || spec.imageGb() / machine.type().fetchGbPerSecond() < MAX_FETCH_SECONDS;
    }

    /**
     * Whether fuller machines have capacity for all tasks of this one, in its zone and with their images or nearly so.
     * What they take is noted as promised, even if another task then finds none.
     */
    private boolean othersHaveCapacityFor(Machine source) {
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
            Resources taken = promised.computeIfAbsent(machine, unknown -> new Resources());
            if (taken.slotsOnceUsed(machine.capacity(), spec) > 0) {
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
                && hasImageSoon(machine, spec)
                && machine.capacity().cpuUsedShare() > source.capacity().cpuUsedShare();
    }
}
