package org.granitepath.coordination.autoscaling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.granitepath.coordination.ports.CloudPort;
import org.granitepath.storage.Timers;

/** Terminates machines, one request at a time, and remembers for a while which ones it terminated. */
final class Terminator {
    /** The most machines that one request may name. */
    static final int MAX_MACHINES_PER_REQUEST = 100;

    /** For longer than the cloud's list may be out of date. */
    private static final long REMEMBERED_MICROS = 120_000_000;

    private final CloudPort cloud;
    private final CloudRequestBudget requestBudget;
    private final Timers timers;
    private final BootingMachines booting;
    private final Consumer<String> terminationListener;
    private final BooleanSupplier ended;
    /** When each machine was terminated, by its name. */
    private final Map<String, Long> terminatedMicros = new HashMap<>();

    private boolean underWay;

    /**
     * Terminates nothing before it is told to.
     *
     * @param terminationListener told of each machine that is gone, by its name
     * @param ended whether the term of leadership is over: then answers change nothing
     */
    Terminator(
            CloudPort cloud,
            CloudRequestBudget requestBudget,
            Timers timers,
            BootingMachines booting,
            Consumer<String> terminationListener,
            BooleanSupplier ended) {
        this.cloud = cloud;
        this.requestBudget = requestBudget;
        this.timers = timers;
        this.booting = booting;
        this.terminationListener = terminationListener;
        this.ended = ended;
    }

    /** Whether this machine was terminated a short while ago. */
    boolean terminatedLately(String id) {
        return terminatedMicros.containsKey(id);
    }

    /** Forgets machines that no list can show any more. */
    void forgetOld(long nowMicros) {
        terminatedMicros.values().removeIf(atMicros -> atMicros < nowMicros - REMEMBERED_MICROS);
    }

    /** Terminates these machines unless a request is under way or the budget is used up: then they come again. */
    void terminate(List<String> ids, long nowMicros) {
        if (ids.isEmpty() || underWay || !requestBudget.tryTake(nowMicros)) {
            return;
        }
        underWay = true;
        cloud.terminate(ids, done -> {
            underWay = false;
            if (ended.getAsBoolean() || !done) {
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
