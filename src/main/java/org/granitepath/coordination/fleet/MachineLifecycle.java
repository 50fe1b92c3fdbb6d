package org.granitepath.coordination.fleet;

import java.util.List;
import org.granitepath.coordination.jobs.FaultTracker;
import org.granitepath.coordination.jobs.MachinesWithCommands;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.storage.Micros;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Performs the life cycle transitions of machines during one term: join, drain, lease expiry, and removal. */
public final class MachineLifecycle {
    private static final Logger LOG = LoggerFactory.getLogger(MachineLifecycle.class);

    private final Fleet fleet;
    private final MachineInventory inventory;
    private final TaskLifecycle tasks;
    private final TermRecovery recovery;
    private final FaultTracker faults;
    private final MachinesWithCommands machinesWithCommands;
    private final Timers timers;
    private final SchedulingLoop loop;

    /** Creates an instance that manages the machines of this fleet and the tasks on them. */
    public MachineLifecycle(
            Fleet fleet,
            MachineInventory inventory,
            TaskLifecycle tasks,
            TermRecovery recovery,
            FaultTracker faults,
            MachinesWithCommands machinesWithCommands,
            Timers timers,
            SchedulingLoop loop) {
        this.fleet = fleet;
        this.inventory = inventory;
        this.tasks = tasks;
        this.recovery = recovery;
        this.faults = faults;
        this.machinesWithCommands = machinesWithCommands;
        this.timers = timers;
        this.loop = loop;
    }

    /** Adds a machine that has sent its first heartbeat to the fleet and to the inventory. */
    public void join(Machine machine) {
        LOG.info(
                "machine {} ({} {}{}): first heartbeat received, adding it to the fleet",
                machine.id(),
                machine.typeName(),
                machine.zone(),
                machine.isSpot() ? " spot" : "");
        fleet.add(machine);
        inventory.add(machine);
    }

    /**
     * Stops placing new tasks on the machine; its tasks keep running. Does nothing unless the machine is ready.
     *
     * @param why the reason, for the log
     */
    public void drain(Machine machine, String why) {
        machine.drain(why);
    }

    /**
     * Drains a machine that the cloud is about to reclaim, and stops tasks there while they can still save their
     * progress.
     *
     * @param noticeMicros the time until the cloud reclaims the machine
     */
    void drainOnTerminationNotice(Machine machine, long noticeMicros) {
        drain(machine, "the cloud reclaims it in " + noticeMicros / Micros.PER_SECOND + " s");
        tasks.evacuate(machine, noticeMicros);
    }

    /**
     * Quarantines machines that count as faulty because tasks of several jobs failed on each of them. Tasks that were
     * not sent yet are placed elsewhere, and the others keep running; a machine that has none is terminated.
     */
    void quarantine(List<Machine> faulty) {
        for (Machine machine : faulty) {
            machine.quarantine("faulty: tasks of several jobs failed there");
            tasks.withdrawUnsent(machine, "its machine is faulty");
        }
    }

    /** Ends the quarantine of the machine if its time is over, so that a task can show whether the machine works. */
    public void endQuarantineIfDue(Machine machine) {
        if (faults.endQuarantineIfDue(machine, timers.nowMicros())) {
            machine.endQuarantine("a task may show whether it works again");
        }
    }

    /**
     * Handles the expiry of the worker's lease: all tasks on the machine have ended, so they are freed. The machine
     * stays in the fleet because it may only be partitioned. When its heartbeats resume, in a later agent epoch, the
     * worker has to acknowledge a new fencing token, which proves that it receives commands, before it gets tasks
     * again.
     */
    public void expireLease(Machine machine) {
        LOG.info(
                "machine {} ({} {}{}): worker lease expired, freeing its {} tasks",
                machine.id(),
                machine.typeName(),
                machine.zone(),
                machine.isSpot() ? " spot" : "",
                machine.placements().size());
        machine.expireLease();
        tasks.freeAll(machine, "its worker's lease expired");
        machine.markUnconfirmed(timers.nowMicros(), "its lease expired");
        inventory.requestToken(machine, "its lease expired");
        // Operators filter by this text, which is an attribute of a trace span, so the wording must not change.
        recovery.resolve(machine, "its lease is over");
        loop.requestCycle();
    }

    /**
     * Handles the proof that the machine's worker has restarted. All its tasks have ended, but it has forgotten them
     * together with its fencing token, so a late copy of a start would be carried out again. The tasks are freed once
     * the worker has acknowledged a new fencing token, under which no start was sent before.
     */
    void onWorkerRestarted(Machine machine) {
        LOG.info(
                "machine {}: its worker has restarted and lost its {} tasks",
                machine.id(),
                machine.placements().size());
        machine.contact().recordRestart();
        machine.placements().forEach(Placement::markRepeatable);
        inventory.requestToken(machine, "its worker has restarted");
    }

    /**
     * Called when the cloud has terminated the machine with this id. Removes the machine if it is in the fleet, and
     * marks the id as terminated, so that delayed heartbeats of the machine are recognized.
     */
    public void onTerminated(String id) {
        Machine machine = fleet.machine(id);
        if (machine != null) {
            removeTerminated(machine, "returned to the cloud");
        }
        fleet.markTerminated(id);
    }

    /**
     * Removes a machine on which no task of any leader can run any more: frees its tasks and removes it from the fleet
     * and the inventory. Does nothing when the machine is already gone.
     *
     * @param why the reason, for the log and for an attribute of a trace span that operators filter by, so the wording
     *     must not change
     */
    private void removeTerminated(Machine machine, String why) {
        if (machine.isGone()) {
            return;
        }
        machine.markGone(why);
        tasks.freeAll(machine, "machine gone: " + why);
        fleet.remove(machine);
        faults.forget(machine);
        machinesWithCommands.remove(machine);
        inventory.remove(machine);
        recovery.resolve(machine, why);
        loop.requestCycle();
    }
}
