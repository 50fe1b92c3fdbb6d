package org.granitepath.coordination.autoscaling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.storage.Timers;

/** Terminates machines, one request at a time, and remembers for a while which machines it terminated. */
final class Terminator {
    /** Maximum number of machines in one request. */
    static final int MAX_MACHINES_PER_REQUEST = 100;

    /** How long a terminated machine is remembered: longer than the cloud's list may be out of date. */
    private static final long TERMINATION_RETENTION_MICROS = 120_000_000;

    private final CloudPort cloud;
    private final CloudRequestBudget requestBudget;
    private final Timers timers;
    private final BootingMachines booting;
    private final Consumer<String> terminationListener;
    private final BooleanSupplier termEnded;
    /** The time of termination of each machine, by the name of the machine. */
    private final Map<String, Long> terminatedMicros = new HashMap<>();

    private boolean requestInFlight;

    /**
     * Creates a terminator that terminates nothing until {@link #terminate} is called.
     *
     * @param booting the booting machines, from which terminated machines are removed
     * @param terminationListener called with the name of each machine that the cloud has terminated
     * @param termEnded whether the term of leadership is over; the terminator then ignores answers
     */
    Terminator(
            CloudPort cloud,
            CloudRequestBudget requestBudget,
            Timers timers,
            BootingMachines booting,
            Consumer<String> terminationListener,
            BooleanSupplier termEnded) {
        this.cloud = cloud;
        this.requestBudget = requestBudget;
        this.timers = timers;
        this.booting = booting;
        this.terminationListener = terminationListener;
        this.termEnded = termEnded;
    }

    /** Returns whether this machine was terminated recently. */
    boolean wasRecentlyTerminated(String id) {
        return terminatedMicros.containsKey(id);
    }

    /** Forgets the terminated machines that the cloud's list cannot show any more. */
    void forgetOldTerminations(long nowMicros) {
        terminatedMicros
                .values()
                .removeIf(terminationMicros -> terminationMicros < nowMicros - TERMINATION_RETENTION_MICROS);
    }

    /**
     * Terminates these machines. Does nothing if a request is in flight or the request budget is used up; the caller
     * then names the machines again later.
     */
    void terminate(List<String> ids, long nowMicros) {
        if (ids.isEmpty() || requestInFlight || !requestBudget.tryAcquire(nowMicros)) {
            return;
        }
        requestInFlight = true;
        cloud.terminate(ids, done -> {
            requestInFlight = false;
            if (termEnded.getAsBoolean() || !done) {
                return;
            }
            for (String id : ids) {
                terminatedMicros.put(id, timers.nowMicros());
                booting.remove(id);
                terminationListener.accept(id);
            }
        });
    }
}
