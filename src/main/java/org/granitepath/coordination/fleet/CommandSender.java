package org.granitepath.coordination.fleet;

import java.util.List;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.CommandQueue;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.storage.Timers;

/**
 * Decides which machines are called directly: with commands that are due, to show them their fencing token, or to learn
 * whether they can be reached.
 */
public final class CommandSender {
    private final Config config;
    private final Leadership leadership;
    private final Fleet fleet;
    private final MachineCommands machineCommands;
    private final CommandQueue commands;
    private final WorkerCalls calls;
    private final Timers timers;

    /** Sends nothing before it is asked to. */
    public CommandSender(
            Config config,
            Leadership leadership,
            Fleet fleet,
            MachineCommands machineCommands,
            CommandQueue commands,
            WorkerCalls calls,
            Timers timers) {
        this.config = config;
        this.leadership = leadership;
        this.fleet = fleet;
        this.machineCommands = machineCommands;
        this.commands = commands;
        this.calls = calls;
        this.timers = timers;
    }

    /**
     * Calls the machines for which commands are due. Commands to machines that are unresponsive would only time out;
     * should one send a heartbeat after all, its answer holds them.
     */
    public void sendDueCommands() {
        if (!leadership.canAnswerWorkers()) {
            return; // we may long have a successor that we don't know of
        }
        long nowMicros = timers.nowMicros();
        for (Machine machine : commands.machines()) {
            if (!calls.mayCall()) {
                return;
            }
            if (canReceiveCommands(machine, nowMicros)) {
                sendDirectly(machine);
            }
        }
    }

    private boolean canReceiveCommands(Machine machine, long nowMicros) {
        return !machine.contact().hasCallInFlight()
                && machine.contact().agentEpoch() >= 0
                && !fleet.isUnresponsive(machine, nowMicros);
    }

    private void sendDirectly(Machine machine) {
        List<WorkerCommand> toSend = MachineCommands.stopAndClearCommands(machine);
        commands.remove(machine);
        // An answer tells only of the starts in its own call: one sent before, without an answer, may come yet.
        List<Placement> starts = machineCommands.startable(machine);
        for (Placement placement : starts) {
            toSend.add(WorkerCommand.start(placement.task(), placement.attempt()));
            machine.contact().recordDirectStart(placement.attempt(), machine.fencingToken());
            placement.markSentDirectly();
        }
        if (!toSend.isEmpty()) {
            calls.call(machine, toSend, starts, () -> {});
        }
    }

    /** Shows the machine its new fencing token at once, unless a call to it would only time out. */
    public void sendRaisedToken(Machine machine) {
        if (!fleet.isUnresponsive(machine, timers.nowMicros())) {
            calls.showToken(machine);
        }
    }

    /** Shows the token to a machine whose heartbeats come, but under a former token, as long as calls are left. */
    public void sendTokenIfUnacknowledged(Machine machine, long nowMicros) {
        if (hasNotAdoptedToken(machine, nowMicros)) {
            calls.showToken(machine);
        }
    }

    /** Its heartbeats come and its token is on record, but they have not shown it yet. */
    private boolean hasNotAdoptedToken(Machine machine, long nowMicros) {
        return machine.phase() == Machine.Phase.UNCONFIRMED
                && !machine.isAwaitingFirstHeartbeat()
                && machine.inventory().isRecorded()
                && !machine.inventory().needsNewToken()
                && !fleet.isUnresponsive(machine, nowMicros);
    }

    /** Calls a machine whose heartbeat is overdue: whether it can be reached at all is soon known. */
    public void probeIfOverdue(Machine machine, long nowMicros) {
        if (isProbeDue(machine, nowMicros) && calls.mayProbe()) {
            calls.callWithoutCommands(machine, () -> {});
        }
    }

    private boolean isProbeDue(Machine machine, long nowMicros) {
        return fleet.isHeartbeatOverdue(machine, nowMicros)
                && !machine.contact().isFenced()
                && !machine.isAwaitingFirstHeartbeat()
                && !machine.contact().hasCallInFlight()
                && nowMicros - machine.contact().lastCallMicros()
                        > config.workers().heartbeatIntervalMicros();
    }
}
