package org.granitepath.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.granitepath.coordination.fleet.MachineLifecycle;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;

/**
 * Drains the least used machines that run only service replicas, so that they can be terminated. A machine is drained
 * only when fuller machines have the capacity for all its replicas and can fetch their images quickly; a replica is
 * stopped only to start at once on another machine. Machines with batch tasks are not drained.
 */
public final class Consolidator {
    private static final long INTERVAL_MICROS = 4_000_000;
    private static final double MAX_USED_CPU_SHARE_TO_DRAIN = 0.75;
    /** One machine drains at a time, plus one for each this many machines in the fleet. */
    private static final int MACHINES_PER_ADDITIONAL_DRAIN = 50;
    /** Minimum time that a replica must have run before it is moved. */
    private static final long MIN_RUNTIME_MICROS = 40_000_000;

    private final Fleet fleet;
    private final ActiveJobs activeJobs;
    private final MachineLifecycle machines;
    private final TaskLifecycle tasks;
    private long nextRoundMicros;

    /** Creates a consolidator for the machines of this fleet. */
    public Consolidator(Fleet fleet, ActiveJobs activeJobs, MachineLifecycle machines, TaskLifecycle tasks) {
        this.fleet = fleet;
        this.activeJobs = activeJobs;
        this.machines = machines;
        this.tasks = tasks;
    }

    /**
     * Starts draining a few machines, unless any job has a waiting task or less than the interval between rounds has
     * passed since the last round.
     */
    public void consolidateIfDue(long nowMicros) {
        if (nowMicros < nextRoundMicros) {
            return;
        }
        nextRoundMicros = nowMicros + INTERVAL_MICROS;
        if (hasWaitingWork()) {
            return;
        }
        drain(drainableMachines(nowMicros), remainingDrains());
    }

    /**
     * Returns how many more machines can be drained now. The number of machines that drain at the same time is limited
     * so that replicas on the move are placed before more of them move.
     */
    private int remainingDrains() {
        int drains = 1 + fleet.machines().size() / MACHINES_PER_ADDITIONAL_DRAIN;
        for (Machine machine : fleet.machines()) {
            if (machine.phase() == Machine.Phase.DRAINING && machine.hasPlacements()) {
                drains--;
            }
        }
        return drains;
    }

    /** Returns the machines that can be drained, ordered by the used share of their CPUs, lowest first. */
    private List<Machine> drainableMachines(long nowMicros) {
        List<Machine> machines = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (canDrain(machine, nowMicros)) {
                machines.add(machine);
            }
        }
        machines.sort(Comparator.comparingDouble(machine -> machine.capacity().usedCpuShare()));
        return machines;
    }

    private boolean hasWaitingWork() {
        for (ActiveJob job : activeJobs.all()) {
            if (job.waitingTasks() > 0) {
                return true;
            }
        }
        return false;
    }

    private void drain(List<Machine> candidates, int maxDrains) {
        int drainsLeft = maxDrains;
        RelocationPlan relocations = new RelocationPlan(fleet);
        for (Machine machine : candidates) {
            if (drainsLeft <= 0) {
                return;
            }
            if (relocations.planMovesFrom(machine)) {
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

    private static boolean canDrain(Machine machine, long nowMicros) {
        if (!machine.isSchedulable()
                || !machine.hasPlacements()
                || machine.capacity().usedCpuShare() > MAX_USED_CPU_SHARE_TO_DRAIN) {
            return false;
        }
        for (Placement placement : machine.placements()) {
            if (!placement.job().spec().isService()
                    || placement.phase() != Placement.Phase.RUNNING
                    || nowMicros - placement.runningSinceMicros() < MIN_RUNTIME_MICROS) {
                return false;
            }
        }
        return true;
    }
}
