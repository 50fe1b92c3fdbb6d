package org.granitepath.coordination.fleet;

import org.granitepath.coordination.jobs.FaultTracker;
import org.granitepath.coordination.jobs.JobLifecycle;
import org.granitepath.coordination.jobs.RuntimeEstimator;
import org.granitepath.coordination.jobs.SchedulingLoop;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.GangAttempt;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies the status of a placed task to the placement and to its gang, job and machine. */
public final class TaskStatusUpdater {
    private static final Logger LOG = LoggerFactory.getLogger(TaskStatusUpdater.class);
    private static final long REFUSED_START_RETRY_DELAY_MICROS = 1_000_000;

    private final JobLifecycle jobs;
    private final TaskLifecycle tasks;
    private final MachineLifecycle machines;
    private final FaultTracker faults;
    private final RuntimeEstimator runtimeEstimator;
    private final SchedulingLoop loop;

    /** Creates an updater for the jobs, tasks and machines of this term. */
    public TaskStatusUpdater(
            JobLifecycle jobs,
            TaskLifecycle tasks,
            MachineLifecycle machines,
            FaultTracker faults,
            RuntimeEstimator runtimeEstimator,
            SchedulingLoop loop) {
        this.jobs = jobs;
        this.tasks = tasks;
        this.machines = machines;
        this.faults = faults;
        this.runtimeEstimator = runtimeEstimator;
        this.loop = loop;
    }

    /** Applies the status that the machine's latest message lists for this placement. */
    void update(Machine machine, Placement placement, TaskStatus status, long nowMicros) {
        switch (status.state()) {
            case FETCHING -> placement.markFetching();
            case WAITING -> onWaiting(machine, placement, nowMicros);
            case RUNNING -> onRunning(machine, placement, nowMicros);
            case SAVING -> onSaving(placement);
            case EXITED -> onExited(machine, placement, status, nowMicros);
        }
    }

    private void onWaiting(Machine machine, Placement placement, long nowMicros) {
        machine.capacity().addImage(placement.job().spec().image());
        placement.markWaiting();
        GangAttempt attempt = currentGangAttempt(placement);
        if (attempt != null) {
            attempt.markWaiting(nowMicros);
        }
    }

    /**
     * Returns the gang attempt that the placement belongs to, or null when there is none or the gang already has
     * another attempt.
     */
    private static @Nullable GangAttempt currentGangAttempt(Placement placement) {
        GangAttempt attempt = placement.job().gangAttempt();
        return attempt != null && attempt.number() == placement.attempt() ? attempt : null;
    }

    private void onRunning(Machine machine, Placement placement, long nowMicros) {
        GangAttempt attempt = currentGangAttempt(placement);
        if (attempt != null) {
            attempt.markRunning();
        }
        if (!placement.hasRun()) {
            machine.capacity().addImage(placement.job().spec().image());
        }
        placement.markRunning(nowMicros);
        if (placement.runTimeMicros(nowMicros) >= FaultTracker.HEALTHY_RUN_MICROS
                && faults.isUnderObservation(placement)) {
            machines.quarantine(faults.recordSuccess(placement, nowMicros));
        }
    }

    /**
     * Applies the status of a task that saves its progress, and stops all tasks of its gang if the gang is running. A
     * gang saves its progress only when all its tasks are told to stop, and a previous leader may not have told all of
     * them.
     */
    private void onSaving(Placement placement) {
        placement.markSaving();
        GangAttempt attempt = currentGangAttempt(placement);
        if (attempt != null && attempt.phase() == GangAttempt.Phase.RUNNING) {
            tasks.stop(placement, placement.job().spec().saveDurationMicros(), "a task of its gang is saving");
        }
    }

    private void onExited(Machine machine, Placement placement, TaskStatus status, long nowMicros) {
        ActiveJob job = placement.job();
        if (hasCompleted(job, status)) {
            onCompleted(placement, nowMicros);
        } else if (status.cause() == ExitCause.FAILED) {
            LOG.info(
                    "a task of job {} failed on machine {}: task {} attempt {}",
                    job.spec().id(),
                    machine.id(),
                    status.task(),
                    status.attempt());
            machines.quarantine(faults.recordFailure(machine, job, nowMicros));
        } else if (wasStartRefused(status)) {
            job.scheduling().delayStartsUntil(nowMicros + REFUSED_START_RETRY_DELAY_MICROS);
        }
        if (endsGangAttempt(placement, status)) {
            tasks.stop(placement, 0, "a task of its gang exited: " + status.cause());
        }
        tasks.free(placement, "exited: " + status.cause());
        jobs.completeIfDone(job);
        loop.markCycleNeeded();
    }

    /** Returns whether the task has completed; a task of a service never counts as completed, however it exits. */
    private static boolean hasCompleted(ActiveJob job, TaskStatus status) {
        return status.cause() == ExitCause.DONE && !job.spec().isService();
    }

    private static boolean wasStartRefused(TaskStatus status) {
        return status.cause() == ExitCause.UNKNOWN_JOB || status.cause() == ExitCause.INSUFFICIENT_CAPACITY;
    }

    private static boolean endsGangAttempt(Placement placement, TaskStatus status) {
        boolean attemptIsOver = status.cause() == ExitCause.PEER_GONE || status.cause() == ExitCause.INCOMPLETE;
        GangAttempt attempt = currentGangAttempt(placement);
        return attemptIsOver && attempt != null && !attempt.isEnding();
    }

    private void onCompleted(Placement placement, long nowMicros) {
        ActiveJob job = placement.job();
        markDone(job, placement.task().index());
        machines.quarantine(faults.recordSuccess(placement, nowMicros));
        if (isRuntimeKnown(placement)) {
            runtimeEstimator.recordFinishedTask(job, placement.runTimeMicros(nowMicros));
        }
        jobs.recordTaskDone(job);
    }

    /**
     * Returns whether the run time of a completed task can be used for estimates: this leader started the task, has
     * seen it run, and knows that it ran on no other machine.
     */
    private static boolean isRuntimeKnown(Placement placement) {
        return placement.hasRun() && placement.isOnlyOnThisMachine() && !placement.isAdopted();
    }

    /** Marks the task as done; for a gang, whose tasks complete together, marks all tasks of the job. */
    private static void markDone(ActiveJob job, int task) {
        if (!job.spec().isGang()) {
            job.markDone(task);
            return;
        }
        job.markAllDone();
        GangAttempt attempt = job.gangAttempt();
        if (attempt != null) {
            attempt.markCompleted();
        }
    }

    /**
     * Marks a task as done because an attempt without a placement has completed it, and stops any other attempt.
     */
    void markCompletedElsewhere(ActiveJob job, int task) {
        Placement placement = job.placement(task);
        markDone(job, task);
        jobs.recordTaskDone(job);
        if (placement != null && !job.spec().isGang()) {
            tasks.stop(placement, 0, "completed by another attempt");
        } else {
            jobs.completeIfDone(job);
        }
    }
}
