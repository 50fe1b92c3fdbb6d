package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;

/**
 * Delivers late copies of direct calls that start tasks, whether the call was answered or not. The worker executes a
 * copy if its fencing token and agent epoch still match.
 */
final class SimLateCopies {
    private static final int COPIES_PER_CALL = 4;
    private static final long MIN_DELAY_MICROS = 1_000_000;
    private static final long MAX_DELAY_MICROS = 60_000_000;

    private final Simulation simulation;
    private boolean enabled;
    private int delivered;
    private int deliveredAfterRestart;
    private final List<TaskId> started = new ArrayList<>();

    SimLateCopies(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Sets whether copies are made of the calls from now on. */
    void setEnabled(boolean isEnabled) {
        enabled = isEnabled;
    }

    /** How many copies have reached a worker. */
    int delivered() {
        return delivered;
    }

    /** How many copies have reached a worker that had restarted since the call. */
    int deliveredAfterRestart() {
        return deliveredAfterRestart;
    }

    /** The tasks that a copy has started. */
    List<TaskId> started() {
        return Collections.unmodifiableList(started);
    }

    void add(String address, long fencingToken, long agentEpoch, List<WorkerCommand> commands) {
        SimWorker worker = simulation.cloud.worker(address);
        List<WorkerCommand> starts = commands.stream()
                .filter(command -> command.verb() == WorkerCommand.Verb.START)
                .toList();
        if (!enabled || starts.isEmpty() || worker == null) {
            return;
        }
        int restarts = worker.restarts();
        for (int i = 0; i < COPIES_PER_CALL; i++) {
            double delay = simulation.environment.random.nextDouble();
            long delayMicros = MIN_DELAY_MICROS + (long) (delay * (MAX_DELAY_MICROS - MIN_DELAY_MICROS));
            simulation.after(delayMicros, () -> deliver(address, restarts, fencingToken, agentEpoch, starts));
        }
    }

    /**
     * Delivers a copy. A worker that no controller has answered since it restarted gets none: the protocol lets it
     * execute any copy, and no controller can prevent that.
     */
    private void deliver(
            String address, int restartsAtCall, long fencingToken, long agentEpoch, List<WorkerCommand> starts) {
        SimWorker worker = simulation.cloud.worker(address);
        if (worker == null || worker.isHanging() || !worker.hasFencingToken()) {
            return;
        }
        List<WorkerCommand> unknown = starts.stream()
                .filter(start -> worker.attempts().get(start.task(), start.attempt()) == null)
                .toList();
        worker.handleCommands(fencingToken, agentEpoch, starts);
        for (WorkerCommand start : unknown) {
            if (worker.attempts().get(start.task(), start.attempt()) != null) {
                started.add(start.task());
            }
        }
        delivered++;
        deliveredAfterRestart += worker.restarts() > restartsAtCall ? 1 : 0;
    }
}
