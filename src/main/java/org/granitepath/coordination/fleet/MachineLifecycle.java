package org.granitepath.coordination.fleet;

import java.util.List;
import org.granitepath.coordination.jobs.CommandQueue;
import org.granitepath.coordination.jobs.FaultTracker;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.Timers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The life of machines during one term of leadership: confirmed, drained, out of their lease, or proved gone. */
public final class MachineLifecycle {
    private static final Logger LOG = LoggerFactory.getLogger(MachineLifecycle.class);

    private final Fleet fleet;
    private final MachineInventory inventory;
    private final TaskLifecycle tasks;
    private final TermRecovery recovery;
    private final FaultTracker faults;
    private final CommandQueue commands;
    private final Timers timers;
    private final SchedulingLoop loop;

    /** Changes the machines of this fleet, and frees the tasks on them. */
    public MachineLifecycle(
            Fleet fleet,
            MachineInventory inventory,
            TaskLifecycle tasks,
            TermRecovery recovery,
            FaultTracker faults,
            CommandQueue commands,
            Timers timers,
            SchedulingLoop loop) {
        this.fleet = fleet;
        this.inventory = inventory;
        this.tasks = tasks;
        this.recovery = recovery;
        this.faults = faults;
        this.commands = commands;
        this.timers = timers;
        this.loop = loop;
    }

    /** A machine that is not in the fleet sends a heartbeat: it joins and is put on record. */
    public void join(Machine machine) {
        LOG.info(
                "machine {} ({} {}{}) sends its first heartbeat",
                machine.id(),
                machine.typeName(),
                machine.zone(),
                machine.isSpot() ? " spot" : "");
        fleet.add(machine);
        inventory.add(machine);
    }

    /** Takes no new tasks from now on. */
    public void drain(Machine machine, String why) {
        machine.drain(why);
    }

    /** The cloud has announced that it takes the machine back: its tasks are stopped while they can still be saved. */
    void drainBeforePreemption(Machine machine, long noticeMicros) {
        drain(machine, "the cloud takes it in " + noticeMicros / 1_000_000 + " s");
        tasks.evacuate(machine, noticeMicros);
    }

    /** Tasks of several jobs failed on each of these machines: they take no new ones. */
    void drainFaulty(List<Machine> faulty) {
        for (Machine machine : faulty) {
            drain(machine, "faulty: tasks of several jobs failed there");
        }
    }

    /**
     * Its lease is over: nothing can be on it any more. It stays ours, since it may only be cut off: when its
     * heartbeats come again, in a later agent epoch, it must show that it receives our commands before it is given
     * work.
     */
    public void expireLease(Machine machine) {
        LOG.info(
                "machine {} ({} {}{}): its lease is over, {} tasks are proved gone",
                machine.id(),
                machine.typeName(),
                machine.zone(),
                machine.isSpot() ? " spot" : "",
                machine.placements().size());
        machine.expireLease();
        tasks.freeAll(machine, "its worker's lease is over");
        machine.markUnconfirmed(timers.nowMicros(), "its lease is over");
        inventory.requestToken(machine, "its lease is over");
        recovery.resolve(machine, "its lease is over");
        loop.requestCycle();
    }

    /** The cloud took this machine back for good. */
    public void onTerminated(String id) {
        Machine machine = fleet.machine(id);
        if (machine != null) {
            proveGone(machine, "returned to the cloud");
        }
        fleet.markTerminated(id);
    }

    /** Nothing that we or anyone started can be on this machine any more. */
    private void proveGone(Machine machine, String why) {
        if (machine.isGone()) {
            return;
        }
        machine.markGone(why);
        tasks.freeAll(machine, "machine gone: " + why);
        fleet.remove(machine);
        faults.forget(machine);
        commands.remove(machine);
        inventory.remove(machine);
        recovery.resolve(machine, why);
        loop.requestCycle();
    }
}
