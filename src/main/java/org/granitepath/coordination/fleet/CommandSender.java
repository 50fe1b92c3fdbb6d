package org.granitepath.coordination.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.CommandQueue;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.leadership.Leadership;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.coordination.ports.WorkerPort;
import org.granitepath.storage.Timers;

/**
 * Sends commands to workers, in the answers to their heartbeats and by direct calls. Stops are repeated until they are
 * seen to work; starts go out once.
 */
public final class CommandSender {
    private static final long ASK_AGAIN_MICROS = 300_000;

    private final Config config;
    private final Leadership leadership;
    private final WorkerPort workers;
    private final Fleet fleet;
    private final MachineInventory inventory;
    private final HeartbeatReconciler reconciler;
    private final CommandQueue commands;
    private final Timers timers;
    private final SchedulingLoop loop;
    private final BooleanSupplier ended;
    /** Machines taken over that are still to be called. */
    private final ArrayDeque<Machine> awaited = new ArrayDeque<>();

    private int calls;
    private int takeoverCalls;

    /** Sends nothing before it is asked to. */
    public CommandSender(
            Config config,
            Leadership leadership,
            WorkerPort workers,
            Fleet fleet,
            MachineInventory inventory,
            HeartbeatReconciler reconciler,
            CommandQueue commands,
            Timers timers,
            SchedulingLoop loop,
            BooleanSupplier ended) {
        this.config = config;
        this.leadership = leadership;
        this.workers = workers;
        this.fleet = fleet;
        this.inventory = inventory;
        this.reconciler = reconciler;
        this.commands = commands;
        this.timers = timers;
        this.loop = loop;
        this.ended = ended;
    }

    /** What is to end there, as of now. Every answer that renews a lease holds it: no task outlives its end by that. */
    public static List<WorkerCommand> stopsFor(Machine machine) {
        List<WorkerCommand> stops = new ArrayList<>(machine.cleanupCommands());
        for (Placement placement : machine.placements()) {
            if (placement.phase() == Placement.Phase.STOPPING) {
                stops.add(WorkerCommand.stop(placement.task(), placement.attempt(), placement.graceMicros()));
            }
        }
        return stops;
    }

    /** All that this machine is to do, for the answer to its heartbeat. */
    public List<WorkerCommand> commandsForAnswer(Machine machine) {
        List<WorkerCommand> list = stopsFor(machine);
        commands.remove(machine);
        for (Placement placement : startable(machine)) {
            list.add(WorkerCommand.start(placement.task(), placement.attempt()));
            placement.sentInAnswer();
        }
        return list;
    }

    private List<Placement> startable(Machine machine) {
        if (!machine.takesTasks() || !leadership.mayStart()) {
            return List.of();
        }
        return machine.placements().stream()
                .filter(placement -> placement.phase() == Placement.Phase.ASSIGNED)
                .toList();
    }

    /**
     * Calls the machines for which commands are due. Commands to machines that are unresponsive would only time out;
     * should one heartbeat after all, its answer holds them.
     */
    public void sendDue() {
        if (!leadership.answersWorkers()) {
            return; // we may long have a successor that we don't know of
        }
        long now = timers.nowMicros();
        for (Machine machine : commands.machines()) {
            if (calls >= config.limits().callsAtOnce()) {
                return;
            }
            if (!machine.contact().callInFlight()
                    && machine.contact().agentEpoch() >= 0
                    && !fleet.unresponsive(machine, now)) {
                sendDirectly(machine);
            }
        }
    }

    private void sendDirectly(Machine machine) {
        List<WorkerCommand> list = stopsFor(machine);
        commands.remove(machine);
        // An answer tells only of the starts in its own call: one sent before, without an answer, may come yet.
        List<Placement> starts = startable(machine);
        for (Placement placement : starts) {
            list.add(WorkerCommand.start(placement.task(), placement.attempt()));
            machine.contact().startedDirectly(placement.attempt(), machine.fencingToken());
            placement.sentDirectly();
        }
        if (!list.isEmpty()) {
            call(machine, list, starts, () -> {});
        }
    }

    /**
     * Shows the worker its present fencing token by a call without commands; when too many are under way, a later tick
     * does.
     */
    public void showToken(Machine machine) {
        if (!machine.contact().callInFlight()
                && machine.contact().agentEpoch() >= 0
                && calls < config.limits().callsAtOnce()) {
            call(machine, List.of(), List.of(), () -> {});
        }
    }

    /** Shows the token to a machine that has not confirmed it yet, as long as calls are left. */
    public void showTokenIfUnconfirmed(Machine machine, long now) {
        if (machine.phase() == Machine.Phase.UNCONFIRMED
                && !machine.awaitingFirstHeartbeat()
                && machine.inventory().recorded()
                && !machine.inventory().needsNewToken()
                && !fleet.unresponsive(machine, now)) {
            showToken(machine);
        }
    }

    /** A heartbeat is overdue: whether the machine can be reached at all is soon known. */
    public void probe(Machine machine, long now) {
        if (fleet.overdue(machine, now)
                && !machine.contact().fenced()
                && !machine.awaitingFirstHeartbeat()
                && !machine.contact().callInFlight()
                && now - machine.contact().lastCallMicros() > config.workers().heartbeatIntervalMicros()
                && calls < config.limits().callsAtOnce() / 2) {
            call(machine, List.of(), List.of(), () -> {});
        }
    }

    /** Speeds a takeover up: calls the machines still awaited, a few at a time, and shows them the new token. */
    public void callInherited() {
        awaited.addAll(fleet.machines());
        callAwaited();
    }

    private void callAwaited() {
        while (!ended.getAsBoolean()
                && !awaited.isEmpty()
                && takeoverCalls < config.limits().callsAtOnce() * 2 / 3) {
            Machine machine = awaited.poll();
            if (!machine.awaitingFirstHeartbeat()
                    || machine.phase() != Machine.Phase.UNCONFIRMED
                    || machine.contact().fenced()) {
                continue;
            }
            if (machine.contact().callInFlight()) {
                callAgain(machine);
                continue;
            }
            takeoverCalls++;
            call(machine, List.of(), List.of(), () -> {
                takeoverCalls--;
                if (machine.awaitingFirstHeartbeat()) {
                    callAgain(machine);
                }
                callAwaited();
            });
        }
    }

    private void callAgain(Machine machine) {
        timers.after(ASK_AGAIN_MICROS, () -> {
            awaited.add(machine);
            callAwaited();
        });
    }

    private void call(Machine machine, List<WorkerCommand> list, List<Placement> starts, Runnable answered) {
        machine.contact().callBegan(timers.nowMicros());
        calls++;
        long token = machine.fencingToken();
        // Of a machine taken over the agent epoch is not known; a wrong guess is answered with the right one.
        workers.send(
                machine.contact().address(),
                token,
                Math.max(1, machine.contact().agentEpoch()),
                list,
                reply -> {
                    calls--;
                    machine.contact().callEnded();
                    if (!ended.getAsBoolean() && !machine.isGone()) {
                        takeReply(machine, token, starts, reply);
                        loop.requestSend();
                    }
                    answered.run();
                });
    }

    private void takeReply(Machine machine, long token, List<Placement> starts, WorkerPort.Reply reply) {
        machine.contact().callAnswered(reply.heartbeat() != null);
        if (reply.heartbeat() == null) {
            if (!starts.isEmpty()) {
                inventory.requestToken(machine, "a direct start has no answer");
            }
            return;
        }
        for (Placement placement : starts) {
            placement.directStartAnswered(token);
        }
        reconciler.reconcile(machine, reply.heartbeat(), false);
        if (!reply.executed()
                && machine.phase() == Machine.Phase.UNCONFIRMED
                && reply.heartbeat().fencingToken() <= machine.fencingToken()) {
            showToken(machine);
        }
    }
}
