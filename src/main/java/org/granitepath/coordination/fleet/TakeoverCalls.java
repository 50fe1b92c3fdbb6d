package org.granitepath.coordination.fleet;

import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.Timers;

/**
 * Speeds up the recovery at the beginning of a term: calls the machines taken over from the previous leader, a limited
 * number at a time, so that they acknowledge the new fencing token without waiting for their next heartbeat.
 */
public final class TakeoverCalls {
    private static final long RETRY_DELAY_MICROS = 300_000;

    private final Config config;
    private final Fleet fleet;
    private final WorkerCalls calls;
    private final Timers timers;
    private final BooleanSupplier termEnded;
    /** The machines that have still to be called. */
    private final ArrayDeque<Machine> pendingMachines = new ArrayDeque<>();

    private int callsInFlight;

    /**
     * Creates an instance that makes no calls before {@link #start()}.
     *
     * @param termEnded whether the term is over, so that no more calls are made
     */
    public TakeoverCalls(Config config, Fleet fleet, WorkerCalls calls, Timers timers, BooleanSupplier termEnded) {
        this.config = config;
        this.fleet = fleet;
        this.calls = calls;
        this.timers = timers;
        this.termEnded = termEnded;
    }

    /** Starts calling the machines of the fleet, all of which were taken over from the previous leader. */
    public void start() {
        pendingMachines.addAll(fleet.machines());
        callPending();
    }

    private void callPending() {
        while (!termEnded.getAsBoolean() && !pendingMachines.isEmpty() && canCall()) {
            Machine machine = pendingMachines.poll();
            if (!isAwaited(machine)) {
                continue;
            }
            if (machine.contact().hasCallInFlight()) {
                retryLater(machine);
            } else {
                call(machine);
            }
        }
    }

    /** Returns whether another call may be made now; a third of the concurrent calls is reserved for commands. */
    private boolean canCall() {
        return callsInFlight < config.limits().maxConcurrentCalls() * 2 / 3;
    }

    /** Returns whether the machine has not confirmed the current fencing token yet and may receive it by a call. */
    private static boolean isAwaited(Machine machine) {
        return machine.isAwaitingFirstHeartbeat()
                && machine.phase() == Machine.Phase.UNCONFIRMED
                && !machine.contact().isFenced()
                && !machine.contact().isRestarted();
    }

    private void call(Machine machine) {
        callsInFlight++;
        calls.callWithoutCommands(machine, () -> {
            callsInFlight--;
            if (machine.isAwaitingFirstHeartbeat()) {
                retryLater(machine);
            }
            callPending();
        });
    }

    private void retryLater(Machine machine) {
        timers.after(RETRY_DELAY_MICROS, () -> {
            pendingMachines.add(machine);
            callPending();
        });
    }
}
