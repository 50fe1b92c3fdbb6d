package org.granitepath.coordination.gang;

import java.util.List;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.GangAttempt;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.MachineScorer;
import org.granitepath.coordination.placement.PlacementRules;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Restarts the tasks that a gang lost before it started to run, under the same attempt, or stops the gang. */
final class LostTaskRestarter {
    private static final Logger LOG = LoggerFactory.getLogger(LostTaskRestarter.class);
    /**
     * Heartbeat intervals that are subtracted from the wait timeout of a worker. The worker measures its wait itself;
     * the controller learns of the start and of the end of the wait only from heartbeats, each up to one interval late.
     */
    private static final int WAIT_MARGIN_HEARTBEATS = 2;

    private final Config config;
    private final PlacementRules rules;
    private final TaskLifecycle tasks;
    private final MachineScorer machineScorer;

    LostTaskRestarter(Config config, PlacementRules rules, TaskLifecycle tasks, MachineScorer machineScorer) {
        this.config = config;
        this.rules = rules;
        this.tasks = tasks;
        this.machineScorer = machineScorer;
    }

    /**
     * Restarts lost tasks as far as there is capacity; stops the gang once the remaining tasks would start too late.
     */
    void restartOrStop(ActiveJob job, GangAttempt attempt, List<Machine> machinesWithCapacity, long nowMicros) {
        if (!attempt.canAddTasks() || job.unconfirmedTasks() > 0) {
            return;
        }
        restartLostTasks(job, attempt, machinesWithCapacity, nowMicros);
        long longestWaitMicros = config.workers().gangWaitTimeoutMicros()
                - WAIT_MARGIN_HEARTBEATS * config.workers().heartbeatIntervalMicros();
        if (job.waitingTasks() > 0
                && attempt.shouldBeAbandoned(nowMicros, config.tuning().gangHoldMicros(), longestWaitMicros)) {
            tasks.stop(job.placements().iterator().next(), 0, "its gang can't be completed in time");
        }
    }

    private void restartLostTasks(
            ActiveJob job, GangAttempt attempt, List<Machine> machinesWithCapacity, long nowMicros) {
        while (job.waitingTasks() > 0) {
            int index = job.firstFreedTask();
            Machine machine = machineForRestart(job, attempt, index, machinesWithCapacity, nowMicros);
            if (machine == null) {
                return;
            }
            LOG.info(
                    "task {}/{} attempt {}: restarting on machine {} because the other tasks of its gang are waiting",
                    job.spec().id(),
                    index,
                    attempt.number(),
                    machine.id());
            tasks.startInGang(job, index, machine, nowMicros);
        }
    }

    /**
     * Returns the best machine for a lost task, or null if there is none. Machines on which the task was tried under
     * the same attempt are excluded, because a worker ignores a second start.
     */
    private @Nullable Machine machineForRestart(
            ActiveJob job, GangAttempt attempt, int index, List<Machine> machinesWithCapacity, long nowMicros) {
        if (!rules.canStartAnotherTask(job)) {
            return null;
        }
        return machineScorer.best(
                machinesWithCapacity,
                machine -> rules.canPlace(job, machine, nowMicros) && !attempt.hasBeenTriedOn(index, machine.id()),
                job.spec());
    }
}
