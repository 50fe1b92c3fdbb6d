package org.granitepath.coordination.fleet;

import java.util.List;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.MachinesWithCommands;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.storage.Timers;

/**
 * Decides which machines are called directly: to send commands that are due, to send them their current fencing token,
 * or to find out whether they are reachable.
 */
public final class CommandSender {
    private final Config config;
    private final Leadership leadership;
    private final Fleet fleet;
    private final MachineCommands machineCommands;
    private final MachinesWithCommands machinesWithCommands;
    private final WorkerCalls calls;
    private final Timers timers;

    /** Creates a sender; it makes no calls until one of its methods is called. */
    public CommandSender(
            Config config,
            Leadership leadership,
            Fleet fleet,
            MachineCommands machineCommands,
            MachinesWithCommands machinesWithCommands,
            WorkerCalls calls,
            Timers timers) {
        this.config = config;
        this.leadership = leadership;
        this.fleet = fleet;
        this.machineCommands = machineCommands;
        this.machinesWithCommands = machinesWithCommands;
        this.calls = calls;
        this.timers = timers;
    }

    /**
     * Calls the machines for which commands are due, until the limit on concurrent calls is reached. Unresponsive
     * machines are skipped because calls to them would only time out; if such a machine sends a heartbeat after all,
     * the response carries its commands.
     */
    public void sendDueCommands() {
        if (!leadership.canAnswerWorkers()) {
            return; // another controller may have become the leader without this one knowing
        }
        long nowMicros = timers.nowMicros();
        for (Machine machine : machinesWithCommands.machines()) {
            if (!calls.canCall()) {
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
                && !machine.contact().isRestarted()
                && !fleet.isUnresponsive(machine, nowMicros);
    }

    private void sendDirectly(Machine machine) {
        List<WorkerCommand> toSend = MachineCommands.stopAndClearCommands(machine);
        machinesWithCommands.remove(machine);
        // A response confirms only the starts of its own call: an earlier call without a response may still arrive.
        List<Placement> starts = machineCommands.startablePlacements(machine);
        for (Placement placement : starts) {
            toSend.add(WorkerCommand.start(placement.task(), placement.attempt()));
            machine.contact().recordDirectStart(placement.attempt(), machine.fencingToken());
            placement.markSentDirectly();
        }
        if (!toSend.isEmpty()) {
            calls.call(machine, toSend, starts, () -> {});
        }
    }

    /**
     * Sends the machine its new fencing token immediately, unless the machine is unresponsive and the call would only
     * time out.
     */
    public void sendRaisedToken(Machine machine) {
        if (!fleet.isUnresponsive(machine, timers.nowMicros())) {
            calls.sendToken(machine);
        }
    }

    /**
     * Sends the current fencing token to a machine whose heartbeats arrive but still carry an earlier token, unless too
     * many calls are in flight.
     */
    public void sendTokenIfUnacknowledged(Machine machine, long nowMicros) {
        if (hasUnacknowledgedToken(machine, nowMicros)) {
            calls.sendToken(machine);
        }
    }

    /**
     * Returns whether heartbeats arrive and the store holds the machine's token, but no heartbeat has carried it yet.
     */
    private boolean hasUnacknowledgedToken(Machine machine, long nowMicros) {
        return machine.phase() == Machine.Phase.UNCONFIRMED
                && !machine.isAwaitingFirstHeartbeat()
                && machine.inventory().isRecorded()
                && !machine.inventory().needsNewToken()
                && !fleet.isUnresponsive(machine, nowMicros);
    }

    /**
     * Calls a machine whose heartbeat is overdue, to find out quickly whether the machine is reachable. A machine is
     * called at most once per heartbeat interval, and half of the concurrent calls is left for commands.
     */
    public void probeIfOverdue(Machine machine, long nowMicros) {
        if (isProbeDue(machine, nowMicros) && calls.canProbe()) {
            calls.callWithoutCommands(machine, () -> {});
        }
    }

    private boolean isProbeDue(Machine machine, long nowMicros) {
        return fleet.isHeartbeatOverdue(machine, nowMicros)
                && !machine.contact().isFenced()
                && !machine.contact().isRestarted()
                && !machine.isAwaitingFirstHeartbeat()
                && !machine.contact().hasCallInFlight()
                && nowMicros - machine.contact().lastCallMicros()
                        > config.workers().heartbeatIntervalMicros();
    }
}
