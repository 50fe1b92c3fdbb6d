package org.granitepath.coordination.term;

import org.granitepath.coordination.fleet.HeartbeatReconciler;
import org.granitepath.coordination.fleet.MachineCommands;
import org.granitepath.coordination.fleet.MachineLifecycle;
import org.granitepath.coordination.fleet.MessageOrigin;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.HeartbeatResponse;
import org.granitepath.storage.RecordReplica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers the heartbeats of workers. */
final class HeartbeatHandler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

    private final Leadership.Term term;
    private final RecordReplica replica;
    private final Fleet fleet;
    private final MachineLifecycle machines;
    private final HeartbeatReconciler reconciler;
    private final MachineCommands machineCommands;
    private final SchedulingLoop loop;

    /** Answers for the leader of this term. */
    HeartbeatHandler(
            Leadership.Term term,
            RecordReplica replica,
            Fleet fleet,
            MachineLifecycle machines,
            HeartbeatReconciler reconciler,
            MachineCommands machineCommands,
            SchedulingLoop loop) {
        this.term = term;
        this.replica = replica;
        this.fleet = fleet;
        this.machines = machines;
        this.reconciler = reconciler;
        this.machineCommands = machineCommands;
        this.loop = loop;
    }

    /** A worker's heartbeat, answered with what it is to do. */
    HeartbeatResponse answer(Heartbeat heartbeat) {
        Machine machine = fleet.machine(heartbeat.machineId());
        if (machine == null) {
            if (!mayJoin(heartbeat)) {
                return new HeartbeatResponse.Unavailable();
            }
            machine = join(heartbeat);
        }
        if (heartbeat.fencingToken() > machine.fencingToken()) {
            return outranked(machine, heartbeat);
        }
        if (!reconciler.reconcile(machine, heartbeat, MessageOrigin.HEARTBEAT)) {
            return overtaken(machine, heartbeat);
        }
        loop.runCycleIfDue();
        return new HeartbeatResponse.Accepted(machine.fencingToken(), machineCommands.collectForResponse(machine));
    }

    private boolean mayJoin(Heartbeat heartbeat) {
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

    /** Someone with a higher token gives commands there: we were replaced, or our own new token is under way. */
    private HeartbeatResponse outranked(Machine machine, Heartbeat heartbeat) {
        LOG.info(
                "machine {} has seen fencing token {}, ours is {}",
                machine.id(),
                heartbeat.fencingToken(),
                machine.fencingToken());
        replica.barrier(fresh -> {});
        return new HeartbeatResponse.Unavailable();
    }

    /** Overtaken by the answer to a direct call: nothing to learn, but the worker is where it should be. */
    private static HeartbeatResponse overtaken(Machine machine, Heartbeat heartbeat) {
        machine.contact().clearFence();
        boolean ofPresentAgentEpoch =
                heartbeat.agentEpoch() == machine.contact().agentEpoch();
        return !machine.isGone() && ofPresentAgentEpoch
                ? new HeartbeatResponse.Accepted(machine.fencingToken(), MachineCommands.stopAndClearCommands(machine))
                : new HeartbeatResponse.Unavailable();
    }
}
