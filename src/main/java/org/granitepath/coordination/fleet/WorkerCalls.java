package org.granitepath.coordination.fleet;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.model.WorkerContact;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.coordination.ports.WorkerPort;
import org.granitepath.storage.Timers;

/** Makes direct calls to workers, limits how many are in flight, and processes their responses. */
public final class WorkerCalls {
    /** Lower than any token that a worker has received, so a call under it changes nothing. */
    private static final long NO_TOKEN = 0;

    private final Config config;
    private final WorkerPort workers;
    private final MachineInventory inventory;
    private final HeartbeatReconciler reconciler;
    private final Timers timers;
    private final SchedulingLoop loop;
    private final BooleanSupplier termEnded;
    private int callsInFlight;

    /**
     * Creates an instance that makes no calls until one of its methods is called.
     *
     * @param termEnded whether the term is over, so that responses are ignored
     */
    public WorkerCalls(
            Config config,
            WorkerPort workers,
            MachineInventory inventory,
            HeartbeatReconciler reconciler,
            Timers timers,
            SchedulingLoop loop,
            BooleanSupplier termEnded) {
        this.config = config;
        this.workers = workers;
        this.inventory = inventory;
        this.reconciler = reconciler;
        this.timers = timers;
        this.loop = loop;
        this.termEnded = termEnded;
    }

    /** Returns whether the limit on concurrent calls allows another call now. */
    boolean canCall() {
        return callsInFlight < config.limits().maxConcurrentCalls();
    }

    /**
     * Returns whether another call without commands may be made now; half of the concurrent calls is reserved for
     * commands.
     */
    boolean canProbe() {
        return callsInFlight < config.limits().maxConcurrentCalls() / 2;
    }

    /**
     * Sends the worker its current fencing token by a call without commands. Does nothing when too many calls are in
     * flight, a call to this worker is in flight, the agent epoch of the worker is unknown, or the worker has restarted
     * and must not learn the present token; a later periodic check tries again.
     */
    void sendToken(Machine machine) {
        WorkerContact contact = machine.contact();
        boolean mayLearnToken = contact.agentEpoch() >= 0 && !contact.isRestarted();
        if (!contact.hasCallInFlight() && mayLearnToken && canCall()) {
            callWithoutCommands(machine, () -> {});
        }
    }

    /**
     * Calls the worker without commands, to get its status and to send it its current fencing token.
     *
     * @param onEnd runs once the call has ended, with or without a response
     */
    void callWithoutCommands(Machine machine, Runnable onEnd) {
        call(machine, List.of(), List.of(), onEnd);
    }

    /**
     * Asks the worker for its status without sending it a fencing token, to find out whether it has restarted. Does
     * nothing when too many calls are in flight or a call to this worker is.
     */
    public void requestStatus(Machine machine) {
        if (!machine.contact().hasCallInFlight() && canProbe()) {
            send(machine, NO_TOKEN, List.of(), List.of(), () -> {});
        }
    }

    /**
     * Calls the worker with these commands under the current fencing token of its machine.
     *
     * @param starts the placements that the commands start
     * @param onEnd runs once the call has ended, with or without a response
     */
    void call(Machine machine, List<WorkerCommand> commands, List<Placement> starts, Runnable onEnd) {
        send(machine, machine.fencingToken(), commands, starts, onEnd);
    }

    private void send(
            Machine machine, long fencingToken, List<WorkerCommand> commands, List<Placement> starts, Runnable onEnd) {
        machine.contact().beginCall(timers.nowMicros());
        callsInFlight++;
        // The agent epoch of a machine taken over is unknown; the response to a wrong guess contains the actual one.
        long agentEpoch = Math.max(1, machine.contact().agentEpoch());
        workers.sendCommands(machine.contact().address(), fencingToken, agentEpoch, commands, reply -> {
            callsInFlight--;
            machine.contact().endCall();
            if (!termEnded.getAsBoolean() && !machine.isGone()) {
                processReply(machine, fencingToken, starts, reply);
                loop.requestSend();
            }
            onEnd.run();
        });
    }

    private void processReply(Machine machine, long fencingToken, List<Placement> starts, WorkerPort.Reply reply) {
        Heartbeat heartbeat = reply.heartbeat();
        machine.contact().recordCallResult(heartbeat != null);
        if (heartbeat == null) {
            if (!starts.isEmpty()) {
                inventory.requestToken(machine, "a direct start command got no response");
            }
            return;
        }
        for (Placement placement : starts) {
            placement.acknowledgeDirectStart(fencingToken);
        }
        reconciler.reconcile(machine, heartbeat, MessageOrigin.CALL_RESPONSE);
        if (!reply.accepted() && canAcceptCurrentToken(machine, heartbeat)) {
            sendToken(machine);
        }
    }

    /**
     * Returns whether a worker that refused a call may accept the current fencing token in another call: its machine is
     * unconfirmed, and the worker has seen no higher token.
     */
    private static boolean canAcceptCurrentToken(Machine machine, Heartbeat heartbeat) {
        return machine.phase() == Machine.Phase.UNCONFIRMED && heartbeat.fencingToken() <= machine.fencingToken();
    }
}
