package org.granitepath.coordination.fleet;

import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.storage.Timers;

/**
 * Brings what is known of a machine in line with its worker's messages: contact, lease and fencing token here, tasks
 * by the {@link TaskReconciler}.
 */
public final class HeartbeatReconciler {
    private final Config config;
    private final Fleet fleet;
    private final MachineInventory inventory;
    private final MachineLifecycle machines;
    private final TaskReconciler taskReconciler;
    private final TermRecovery recovery;
    private final Timers timers;
    private final SchedulingLoop loop;

    /** Compares the messages of workers with the state of this term. */
    public HeartbeatReconciler(
            Config config,
            Fleet fleet,
            MachineInventory inventory,
            MachineLifecycle machines,
            TaskReconciler taskReconciler,
            TermRecovery recovery,
            Timers timers,
            SchedulingLoop loop) {
        this.config = config;
        this.fleet = fleet;
        this.inventory = inventory;
        this.machines = machines;
        this.taskReconciler = taskReconciler;
        this.recovery = recovery;
        this.timers = timers;
        this.loop = loop;
    }

    /** Takes a worker's message in; false when it tells nothing new, or was made under a token that is not ours. */
    public boolean reconcile(Machine machine, Heartbeat heartbeat, MessageOrigin origin) {
        if (!tellsNews(machine, heartbeat)) {
            return false;
        }
        long nowMicros = timers.nowMicros();
        boolean underPresentToken = heartbeat.fencingToken() == machine.fencingToken();
        if (origin == MessageOrigin.HEARTBEAT && isOfLaterAgentEpoch(machine, heartbeat)) {
            // Its heartbeats come, but do our answers get there? It must show that before it is given work again.
            inventory.requestToken(machine, "its agent epoch moved on to " + heartbeat.agentEpoch());
        }
        noteContact(machine, heartbeat, origin, underPresentToken, nowMicros);
        taskReconciler.reconcile(machine, heartbeat, origin, underPresentToken, nowMicros);
        if (underPresentToken) {
            confirm(machine);
        }
        if (heartbeat.terminationNoticeMicros() >= 0 && machine.phase() == Machine.Phase.READY) {
            machines.drainBeforePreemption(machine, heartbeat.terminationNoticeMicros());
        }
        return true;
    }

    private static boolean tellsNews(Machine machine, Heartbeat heartbeat) {
        return !machine.isGone()
                && heartbeat.isNewerThan(
                        machine.contact().agentEpoch(), machine.contact().sequence())
                && heartbeat.fencingToken() <= machine.fencingToken();
    }

    private static boolean isOfLaterAgentEpoch(Machine machine, Heartbeat heartbeat) {
        long knownAgentEpoch = machine.contact().agentEpoch();
        return knownAgentEpoch >= 0 && heartbeat.agentEpoch() > knownAgentEpoch;
    }

    private void noteContact(
            Machine machine, Heartbeat heartbeat, MessageOrigin origin, boolean underPresentToken, long nowMicros) {
        machine.contact().recordMessage(heartbeat);
        if (origin == MessageOrigin.HEARTBEAT) {
            machine.recordHeartbeat(fleet.isUnresponsive(machine, nowMicros), nowMicros);
        }
        long leaseExpiryMicros = nowMicros + config.workers().maxLeaseMicros();
        machine.contact().setLeaseExpiry(leaseExpiryMicros, underPresentToken);
    }

    /** The worker has shown the present fencing token: what is on the machine is known. */
    private void confirm(Machine machine) {
        if (machine.phase() == Machine.Phase.UNCONFIRMED) {
            machine.confirmTasks();
            loop.markCycleNeeded();
        }
        // An attribute of a span that operators filter by: its words stay.
        recovery.resolve(machine, "heard under fencing token " + machine.fencingToken());
    }
}
