package org.granitepath.coordination.fleet;

import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.WorkerContact;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.storage.Timers;

/**
 * Updates the state of a machine from the messages of its worker. This class updates contact, lease and fencing token;
 * the {@link TaskReconciler} updates the tasks.
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

    /** Creates a reconciler that compares the messages of workers with the state of this term. */
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

    /**
     * Processes a message of a worker.
     *
     * @param origin whether the worker sent the message by itself or in response to a direct call
     * @return false when the message was ignored because the machine is gone, the message is not newer than the last
     *     one, or it carries a higher fencing token than the machine's current one
     */
    public boolean reconcile(Machine machine, Heartbeat heartbeat, MessageOrigin origin) {
        if (showsRestart(machine, heartbeat, origin)) {
            machines.onWorkerRestarted(machine);
        }
        if (!isRelevant(machine, heartbeat)) {
            return false;
        }
        long nowMicros = timers.nowMicros();
        boolean underCurrentToken = heartbeat.fencingToken() == machine.fencingToken();
        if (origin == MessageOrigin.HEARTBEAT && hasLaterAgentEpoch(machine, heartbeat)) {
            // Heartbeats arrive, but the responses may not reach the worker. It has to acknowledge a new fencing token,
            // which proves that they do, before it gets tasks again.
            inventory.requestToken(machine, "its agent epoch advanced to " + heartbeat.agentEpoch());
        }
        updateContact(machine, heartbeat, origin, underCurrentToken, nowMicros);
        taskReconciler.reconcile(machine, heartbeat, origin, underCurrentToken, nowMicros);
        if (underCurrentToken) {
            confirm(machine);
        }
        if (heartbeat.terminationNoticeMicros() >= 0 && machine.phase() == Machine.Phase.READY) {
            machines.drainOnTerminationNotice(machine, heartbeat.terminationNoticeMicros());
        }
        return true;
    }

    /**
     * Returns whether the message proves that the worker has restarted. A heartbeat that is numbered before the latest
     * message proves nothing, since it may be a late copy; see {@link WorkerCalls#requestStatus}.
     */
    private static boolean showsRestart(Machine machine, Heartbeat heartbeat, MessageOrigin origin) {
        WorkerContact contact = machine.contact();
        boolean isNewer = heartbeat.isNewerThan(contact.agentEpoch(), contact.sequence());
        return !machine.isGone()
                && ((isNewer && contact.isBelowReportedToken(heartbeat))
                        || (origin == MessageOrigin.CALL_RESPONSE && contact.isNumberedBeforeCall(heartbeat)));
    }

    /**
     * Returns whether the machine is not gone, and the message is newer than the last one and carries no higher token
     * than the machine's current one.
     */
    private static boolean isRelevant(Machine machine, Heartbeat heartbeat) {
        return !machine.isGone()
                && heartbeat.isNewerThan(
                        machine.contact().agentEpoch(), machine.contact().sequence())
                && heartbeat.fencingToken() <= machine.fencingToken();
    }

    private static boolean hasLaterAgentEpoch(Machine machine, Heartbeat heartbeat) {
        long knownAgentEpoch = machine.contact().agentEpoch();
        return knownAgentEpoch >= 0 && heartbeat.agentEpoch() > knownAgentEpoch;
    }

    private void updateContact(
            Machine machine, Heartbeat heartbeat, MessageOrigin origin, boolean underCurrentToken, long nowMicros) {
        machine.contact().recordMessage(heartbeat);
        if (origin == MessageOrigin.HEARTBEAT) {
            machine.recordHeartbeat(fleet.isUnresponsive(machine, nowMicros), nowMicros);
        }
        long leaseExpiryMicros = nowMicros + config.workers().maxLeaseMicros();
        machine.contact().setLeaseExpiry(leaseExpiryMicros, underCurrentToken);
    }

    /** Confirms the machine: its worker has sent the current fencing token, so the tasks on the machine are known. */
    private void confirm(Machine machine) {
        if (machine.phase() == Machine.Phase.UNCONFIRMED) {
            machine.confirmTasks();
            loop.markCycleNeeded();
        }
        // Operators filter by this text, which is an attribute of a trace span, so the wording must not change.
        recovery.resolve(machine, "heard under fencing token " + machine.fencingToken());
    }
}
