package org.granitepath.coordination.gang;

import java.util.List;
import org.granitepath.coordination.config.Config;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.GangAttempt;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.MachinePreference;
import org.granitepath.coordination.placement.PlacementRules;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Replaces the tasks that a gang lost before it ran, under the same attempt, or stops the gang. */
final class GangCompletion {
    private static final Logger LOG = LoggerFactory.getLogger(GangCompletion.class);
    /** Of a waiting time that a worker measures we see the beginning and the end only in its heartbeats. */
    private static final int HEARTBEATS_PER_WAIT = 2;

    private final Config config;
    private final PlacementRules rules;
    private final TaskLifecycle tasks;
    private final MachinePreference preference;

    GangCompletion(Config config, PlacementRules rules, TaskLifecycle tasks, MachinePreference preference) {
        this.config = config;
        this.rules = rules;
        this.tasks = tasks;
        this.preference = preference;
    }

    /** Starts lost tasks anew, as far as there is capacity; stops the gang once the rest would come too late. */
    void completeOrStop(ActiveJob job, GangAttempt attempt, List<Machine> machinesWithCapacity, long nowMicros) {
        if (!attempt.mayBeCompleted() || job.unconfirmedTasks() > 0) {
            return;
        }
        replaceLostTasks(job, attempt, machinesWithCapacity, nowMicros);
        long longestWaitMicros = config.workers().gangWaitTimeoutMicros()
                - HEARTBEATS_PER_WAIT * config.workers().heartbeatIntervalMicros();
        if (job.waitingTasks() > 0
                && attempt.shouldBeAbandoned(nowMicros, config.tuning().gangHoldMicros(), longestWaitMicros)) {
            tasks.stop(job.placements().iterator().next(), 0, "its gang can't be completed in time");
        }
    }

    private void replaceLostTasks(
            ActiveJob job, GangAttempt attempt, List<Machine> machinesWithCapacity, long nowMicros) {
        while (job.waitingTasks() > 0) {
            int index = job.firstFreed();
            Machine machine = replacementMachine(job, attempt, index, machinesWithCapacity, nowMicros);
            if (machine == null) {
                return;
            }
            LOG.info(
                    "task {}/{} attempt {} starts anew on machine {}: the others of its gang wait",
                    job.spec().id(),
                    index,
                    attempt.number(),
                    machine.id());
            tasks.startInGang(job, index, machine, nowMicros);
        }
    }

    /** The best machine on which this task was not tried under the same attempt: a worker ignores a second start. */
    private @Nullable Machine replacementMachine(
            ActiveJob job, GangAttempt attempt, int index, List<Machine> machinesWithCapacity, long nowMicros) {
        if (!rules.mayStartAnother(job)) {
            return null;
        }
        return preference.best(
                machinesWithCapacity,
                machine -> rules.canPlace(job, machine, nowMicros) && !attempt.wasTriedOn(index, machine.id()),
                job.spec());
    }
}
