package org.granitepath.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.granitepath.bookkeeping.Timers;

/**
 * Sends commands to workers, in the answers to their reports and by direct calls. Stops are repeated until they are
 * seen to work; starts go out once.
 */
final class CommandSender {
    private static final long ASK_AGAIN_MICROS = 300_000;

    private final Config config;
    private final Leadership leadership;
    private final WorkerPort workers;
    private final Fleet fleet;
    private final MachineInventory inventory;
    private final ReportReconciler reconciler;
    private final CommandQueue commands;
    private final Timers timers;
    private final DispatchLoop loop;
    private final BooleanSupplier ended;
    /** Machines taken over that are still to be called. */
    private final ArrayDeque<Machine> unheard = new ArrayDeque<>();

    private int calls;
    private int takeoverCalls;

    CommandSender(
            Config config,
            Leadership leadership,
            WorkerPort workers,
            Fleet fleet,
            MachineInventory inventory,
            ReportReconciler reconciler,
            CommandQueue commands,
            Timers timers,
            DispatchLoop loop,
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
    static List<WorkerCommand> stopsFor(Machine machine) {
        List<WorkerCommand> stops = new ArrayList<>(machine.cleanupCommands());
        for (Placement placement : machine.placements()) {
            if (placement.phase() == Placement.Phase.STOPPING) {
                stops.add(WorkerCommand.stop(placement.task(), placement.attempt(), placement.graceMicros()));
            }
        }
        return stops;
    }

    /** All that this machine is to do, for the answer to its report. */
    List<WorkerCommand> commandsForAnswer(Machine machine) {
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
     * should one report after all, its answer holds them.
     */
    void sendDue() {
        if (!leadership.answersWorkers()) {
            return; // we may long have a successor that we don't know of
        }
        long now = timers.nowMicros();
        for (Machine machine : commands.machines()) {
            if (calls >= config.callsAtOnce()) {
                return;
            }
            if (!machine.callUnderWay() && machine.session() >= 0 && !fleet.unresponsive(machine, now)) {
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
            machine.startedDirectly(placement.attempt());
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
    void showToken(Machine machine) {
        if (!machine.callUnderWay() && machine.session() >= 0 && calls < config.callsAtOnce()) {
            call(machine, List.of(), List.of(), () -> {});
        }
    }

    /** Shows the token to a machine that has not confirmed it yet, as long as calls are left. */
    void showTokenIfUnconfirmed(Machine machine, long now) {
        if (machine.phase() == Machine.Phase.UNCONFIRMED
                && !machine.inherited()
                && machine.recorded()
                && !machine.needsNewToken()
                && !fleet.unresponsive(machine, now)) {
            showToken(machine);
        }
    }

    /** A report is overdue: whether the machine can be reached at all is soon known. */
    void probe(Machine machine, long now) {
        if (fleet.overdue(machine, now)
                && !machine.fenced()
                && !machine.inherited()
                && !machine.callUnderWay()
                && now - machine.probedMicros() > config.reportMicros()
                && calls < config.callsAtOnce() / 2) {
            call(machine, List.of(), List.of(), () -> {});
        }
    }

    /** Speeds a takeover up: calls the machines not yet heard, a few at a time, and shows them the new token. */
    void callInherited() {
        unheard.addAll(fleet.machines());
        callUnheard();
    }

    private void callUnheard() {
        while (!ended.getAsBoolean() && !unheard.isEmpty() && takeoverCalls < config.callsAtOnce() * 2 / 3) {
            Machine machine = unheard.poll();
            if (!machine.inherited() || machine.phase() != Machine.Phase.UNCONFIRMED || machine.fenced()) {
                continue;
            }
            if (machine.callUnderWay()) {
                callAgain(machine);
                continue;
            }
            takeoverCalls++;
            call(machine, List.of(), List.of(), () -> {
                takeoverCalls--;
                if (machine.inherited()) {
                    callAgain(machine);
                }
                callUnheard();
            });
        }
    }

    private void callAgain(Machine machine) {
        timers.after(ASK_AGAIN_MICROS, () -> {
            unheard.add(machine);
            callUnheard();
        });
    }

    private void call(Machine machine, List<WorkerCommand> list, List<Placement> starts, Runnable answered) {
        machine.callBegins(timers.nowMicros());
        calls++;
        long token = machine.fencingToken();
        // Of a machine taken over the session is not known; a wrong guess is answered with the right one.
        workers.send(machine.address(), token, Math.max(1, machine.session()), list, reply -> {
            calls--;
            machine.callEnded();
            if (!ended.getAsBoolean() && !machine.isGone()) {
                takeReply(machine, token, starts, reply);
                loop.requestSend();
            }
            answered.run();
        });
    }

    private void takeReply(Machine machine, long token, List<Placement> starts, WorkerPort.Reply reply) {
        machine.callAnswered(reply.report() != null);
        if (reply.report() == null) {
            if (!starts.isEmpty()) {
                inventory.requestToken(machine, "a direct start has no answer");
            }
            return;
        }
        for (Placement placement : starts) {
            placement.directStartAnswered(token);
        }
        reconciler.reconcile(machine, reply.report(), false);
        if (!reply.executed()
                && machine.phase() == Machine.Phase.UNCONFIRMED
                && reply.report().fencingToken() <= machine.fencingToken()) {
            showToken(machine);
        }
    }
}
