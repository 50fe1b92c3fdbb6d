package org.granitepath.coordination.fleet;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.coordination.ports.WorkerPort;
import org.granitepath.storage.Timers;

/** Direct calls to workers: how many are under way, and what their responses mean. */
public final class WorkerCalls {
    private final Config config;
    private final WorkerPort workers;
    private final MachineInventory inventory;
    private final HeartbeatReconciler reconciler;
    private final Timers timers;
    private final SchedulingLoop loop;
    private final BooleanSupplier ended;
    private int callsUnderWay;

    /**
     * Calls nobody before it is asked to.
     *
     * @param ended whether the term is over, so that responses mean nothing any more
     */
    public WorkerCalls(
            Config config,
            WorkerPort workers,
            MachineInventory inventory,
            HeartbeatReconciler reconciler,
            Timers timers,
            SchedulingLoop loop,
            BooleanSupplier ended) {
        this.config = config;
        this.workers = workers;
        this.inventory = inventory;
        this.reconciler = reconciler;
        this.timers = timers;
        this.loop = loop;
        this.ended = ended;
    }

    /** Whether one more call may begin. */
    boolean mayCall() {
        return callsUnderWay < config.limits().maxConcurrentCalls();
    }

    /** Whether one more call may begin that can wait: half of the calls are left for commands. */
    boolean mayProbe() {
        return callsUnderWay < config.limits().maxConcurrentCalls() / 2;
    }

    /**
     * Shows the worker its present fencing token by a call without commands; when too many are under way, a later tick
     * does.
     */
    void showToken(Machine machine) {
        if (!machine.contact().hasCallInFlight() && machine.contact().agentEpoch() >= 0 && mayCall()) {
            callWithoutCommands(machine, () -> {});
        }
    }

    /** Calls the worker only for its response, and to show it its present fencing token. */
    void callWithoutCommands(Machine machine, Runnable answered) {
        call(machine, List.of(), List.of(), answered);
    }

    /**
     * Calls the worker with these commands.
     *
     * @param starts the placements that the commands start
     * @param answered runs once the call has ended, with a response or without
     */
    void call(Machine machine, List<WorkerCommand> commands, List<Placement> starts, Runnable answered) {
        machine.contact().beginCall(timers.nowMicros());
        callsUnderWay++;
        long fencingToken = machine.fencingToken();
        // Of a machine taken over the agent epoch is not known; a wrong guess is answered with the right one.
        long agentEpoch = Math.max(1, machine.contact().agentEpoch());
        workers.sendCommands(machine.contact().address(), fencingToken, agentEpoch, commands, reply -> {
            callsUnderWay--;
            machine.contact().endCall();
            if (!ended.getAsBoolean() && !machine.isGone()) {
                takeReply(machine, fencingToken, starts, reply);
                loop.requestSend();
            }
            answered.run();
        });
    }

    private void takeReply(Machine machine, long fencingToken, List<Placement> starts, WorkerPort.Reply reply) {
        Heartbeat heartbeat = reply.heartbeat();
        machine.contact().recordCallResult(heartbeat != null);
        if (heartbeat == null) {
            if (!starts.isEmpty()) {
                inventory.requestToken(machine, "a direct start has no answer");
            }
            return;
        }
        for (Placement placement : starts) {
            placement.acknowledgeDirectStart(fencingToken);
        }
        reconciler.reconcile(machine, heartbeat, MessageOrigin.CALL_RESPONSE);
        if (!reply.accepted() && mayTakePresentToken(machine, heartbeat)) {
            showToken(machine);
        }
    }

    /** The worker refused the call, but knows no fencing token that outranks the present one: it may take that. */
    private static boolean mayTakePresentToken(Machine machine, Heartbeat heartbeat) {
        return machine.phase() == Machine.Phase.UNCONFIRMED && heartbeat.fencingToken() <= machine.fencingToken();
    }
}
