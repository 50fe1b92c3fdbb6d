package org.granitepath.coordination.term;

import org.granitepath.coordination.fleet.HeartbeatReconciler;
import org.granitepath.coordination.fleet.MachineCommands;
import org.granitepath.coordination.fleet.MachineLifecycle;
import org.granitepath.coordination.fleet.MessageOrigin;
import org.granitepath.coordination.fleet.WorkerCalls;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.storage.RecordReplica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers workers' heartbeats on behalf of the leader of one term. */
final class HeartbeatHandler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

    private final Leadership.Term term;
    private final RecordReplica replica;
    private final Fleet fleet;
    private final MachineLifecycle machines;
    private final HeartbeatReconciler reconciler;
    private final MachineCommands machineCommands;
    private final WorkerCalls calls;
    private final SchedulingLoop loop;

    /** Creates the handler for one term. */
    HeartbeatHandler(
            Leadership.Term term,
            RecordReplica replica,
            Fleet fleet,
            MachineLifecycle machines,
            HeartbeatReconciler reconciler,
            MachineCommands machineCommands,
            WorkerCalls calls,
            SchedulingLoop loop) {
        this.term = term;
        this.replica = replica;
        this.fleet = fleet;
        this.machines = machines;
        this.reconciler = reconciler;
        this.machineCommands = machineCommands;
        this.calls = calls;
        this.loop = loop;
    }

    /** Processes a worker's heartbeat and returns the response, which contains the commands for the worker. */
    HeartbeatResponse handle(Heartbeat heartbeat) {
        Machine machine = fleet.machine(heartbeat.machineId());
        if (machine == null) {
            if (!canJoin(heartbeat)) {
                return new HeartbeatResponse.Unavailable();
            }
            machine = join(heartbeat);
        }
        if (heartbeat.fencingToken() > machine.fencingToken()) {
            return rejectHigherToken(machine, heartbeat);
        }
        if (!reconciler.reconcile(machine, heartbeat, MessageOrigin.HEARTBEAT)) {
            return answerOutdated(machine, heartbeat);
        }
        if (machine.contact().isRestarted()) {
            return new HeartbeatResponse.Unavailable(); // it must not learn the present fencing token
        }
        loop.runCycleIfDue();
        return new HeartbeatResponse.Accepted(machine.fencingToken(), machineCommands.collectForResponse(machine));
    }

    private boolean canJoin(Heartbeat heartbeat) {
        if (fleet.isFromDepartedMachine(heartbeat)) {
            LOG.debug("machine {} is gone: a late copy of its heartbeat is ignored", heartbeat.machineId());
            return false;
        }
        return heartbeat.fencingToken() <= term.fencingToken();
    }

    private Machine join(Heartbeat heartbeat) {
        Machine machine = fleet.newMachine(heartbeat, term.fencingToken());
        machines.join(machine);
        return machine;
    }

    /**
     * Rejects a heartbeat that reports a higher fencing token than the one known here. Either a new leader has replaced
     * this one, or a higher token that this leader has requested for the machine is not confirmed here yet. Reading the
     * records tells which.
     */
    private HeartbeatResponse rejectHigherToken(Machine machine, Heartbeat heartbeat) {
        LOG.info(
                "machine {} reports fencing token {}, higher than {}: reading the records",
                machine.id(),
                heartbeat.fencingToken(),
                machine.fencingToken());
        replica.requestBarrier(fresh -> {});
        return new HeartbeatResponse.Unavailable();
    }

    /**
     * Answers a heartbeat that is older than the worker's answer to a direct call, which has arrived already. The
     * heartbeat contains nothing new, so it is not evaluated. A worker of the current agent epoch is still accepted,
     * since it reports to the right controller, and is told which attempts to stop or clear. A heartbeat under an
     * earlier fencing token may also come from a worker that has restarted and counts anew. The worker is asked, and
     * learns no token meanwhile.
     */
    private HeartbeatResponse answerOutdated(Machine machine, Heartbeat heartbeat) {
        machine.contact().clearFence();
        if (!machine.isGone() && machine.contact().isBelowReportedToken(heartbeat)) {
            calls.requestStatus(machine);
            return new HeartbeatResponse.Unavailable();
        }
        boolean isCurrentAgentEpoch =
                heartbeat.agentEpoch() == machine.contact().agentEpoch();
        return !machine.isGone() && isCurrentAgentEpoch
                ? new HeartbeatResponse.Accepted(machine.fencingToken(), MachineCommands.stopAndClearCommands(machine))
                : new HeartbeatResponse.Unavailable();
    }
}
