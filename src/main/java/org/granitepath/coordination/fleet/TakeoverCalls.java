package org.granitepath.coordination.fleet;

import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.model.Fleet;
import org.granitepath.coordination.model.Machine;
import org.granitepath.storage.Timers;

/**
 * Speeds a takeover up: calls the machines that are awaited, a few at a time, and shows them the new token. They need
 * not wait for their next heartbeat then.
 */
public final class TakeoverCalls {
    private static final long CALL_AGAIN_MICROS = 300_000;

    private final Config config;
    private final Fleet fleet;
    private final WorkerCalls calls;
    private final Timers timers;
    private final BooleanSupplier ended;
    /** Machines taken over that are still to be called. */
    private final ArrayDeque<Machine> toBeCalled = new ArrayDeque<>();

    private int callsUnderWay;

    /**
     * Calls nobody before it begins.
     *
     * @param ended whether the term is over, so that nobody is called any more
     */
    public TakeoverCalls(Config config, Fleet fleet, WorkerCalls calls, Timers timers, BooleanSupplier ended) {
        this.config = config;
        this.fleet = fleet;
        this.calls = calls;
        this.timers = timers;
        this.ended = ended;
    }

    /** Begins to call the machines of the fleet, which were all taken over. */
    public void start() {
        toBeCalled.addAll(fleet.machines());
        callNext();
    }

    private void callNext() {
        while (!ended.getAsBoolean() && !toBeCalled.isEmpty() && mayCall()) {
            Machine machine = toBeCalled.poll();
            if (!needsCall(machine)) {
                continue;
            }
            if (machine.contact().hasCallInFlight()) {
                callAgainLater(machine);
            } else {
                call(machine);
            }
        }
    }

    /** A third of the calls is left for commands. */
    private boolean mayCall() {
        return callsUnderWay < config.limits().maxConcurrentCalls() * 2 / 3;
    }

    private static boolean needsCall(Machine machine) {
        return machine.isAwaitingFirstHeartbeat()
                && machine.phase() == Machine.Phase.UNCONFIRMED
                && !machine.contact().isFenced();
    }

    private void call(Machine machine) {
        callsUnderWay++;
        calls.callWithoutCommands(machine, () -> {
            callsUnderWay--;
            if (machine.isAwaitingFirstHeartbeat()) {
                callAgainLater(machine);
            }
            callNext();
        });
    }

    private void callAgainLater(Machine machine) {
        timers.after(CALL_AGAIN_MICROS, () -> {
            toBeCalled.add(machine);
            callNext();
        });
    }
}
