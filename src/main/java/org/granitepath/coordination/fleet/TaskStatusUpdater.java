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

/** What the status of a placed task means for the task, its gang, its job and its machine. */
public final class TaskStatusUpdater {
    private static final Logger LOG = LoggerFactory.getLogger(TaskStatusUpdater.class);
    private static final long REFUSED_START_DELAY_MICROS = 1_000_000;

    private final JobLifecycle jobs;
    private final TaskLifecycle tasks;
    private final MachineLifecycle machines;
    private final FaultTracker faults;
    private final RuntimeEstimator runtimeEstimator;
    private final SchedulingLoop loop;

    /** Applies statuses to the jobs, tasks and machines of this term. */
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

    /** The machine's latest message lists the attempt that is placed there with this status. */
    void update(Machine machine, Placement placement, TaskStatus status, long nowMicros) {
        switch (status.state()) {
            case FETCHING -> placement.markFetching();
            case WAITING -> waiting(machine, placement, nowMicros);
            case RUNNING -> running(machine, placement, nowMicros);
            case SAVING -> saving(placement);
            case EXITED -> exited(machine, placement, status, nowMicros);
        }
    }

    private void waiting(Machine machine, Placement placement, long nowMicros) {
        machine.capacity().addImage(placement.job().spec().image());
        placement.markWaiting();
        GangAttempt attempt = presentGangAttempt(placement);
        if (attempt != null) {
            attempt.markWaiting(nowMicros);
        }
    }

    /** The gang attempt that the placement belongs to; null when there is none, or its gang has another one by now. */
    private static @Nullable GangAttempt presentGangAttempt(Placement placement) {
        GangAttempt attempt = placement.job().gangAttempt();
        return attempt != null && attempt.number() == placement.attempt() ? attempt : null;
    }

    private void running(Machine machine, Placement placement, long nowMicros) {
        GangAttempt attempt = presentGangAttempt(placement);
        if (attempt != null) {
            attempt.markRunning();
        }
        if (!placement.hasRun()) {
            machine.capacity().addImage(placement.job().spec().image());
        }
        placement.markRunning(nowMicros);
        if (placement.runTimeMicros(nowMicros) >= FaultTracker.HEALTHY_RUN_MICROS
                && faults.isUnderObservation(placement)) {
            machines.drainFaulty(faults.recordSuccess(placement, nowMicros));
        }
    }

    /** A gang saves its progress only when all its tasks are told to: a former leader may not have come to that. */
    private void saving(Placement placement) {
        placement.markSaving();
        GangAttempt attempt = presentGangAttempt(placement);
        if (attempt != null && attempt.phase() == GangAttempt.Phase.RUNNING) {
            tasks.stop(placement, placement.job().spec().saveMicros(), "a task of its gang saves");
        }
    }

    private void exited(Machine machine, Placement placement, TaskStatus status, long nowMicros) {
        ActiveJob job = placement.job();
        if (hasCompleted(job, status)) {
            completed(placement, nowMicros);
        } else if (status.cause() == ExitCause.FAILED) {
            LOG.info(
                    "a task of job {} failed on machine {}: task {} attempt {}",
                    job.spec().id(),
                    machine.id(),
                    status.task(),
                    status.attempt());
            machines.drainFaulty(faults.recordFailure(machine, job, nowMicros));
        } else if (startWasRefused(status)) {
            job.scheduling().delayStartsUntil(nowMicros + REFUSED_START_DELAY_MICROS);
        }
        if (endsGangAttempt(placement, status)) {
            tasks.stop(placement, 0, "a task of its gang exited: " + status.cause());
        }
        tasks.free(placement, "exited: " + status.cause());
        jobs.completeIfDone(job);
        loop.markCycleNeeded();
    }

    /** A service's task never completes its job, however it exits. */
    private static boolean hasCompleted(ActiveJob job, TaskStatus status) {
        return status.cause() == ExitCause.DONE && !job.spec().service();
    }

    private static boolean startWasRefused(TaskStatus status) {
        return status.cause() == ExitCause.UNKNOWN_JOB || status.cause() == ExitCause.INSUFFICIENT_CAPACITY;
    }

    private static boolean endsGangAttempt(Placement placement, TaskStatus status) {
        boolean attemptIsOver = status.cause() == ExitCause.PEER_GONE || status.cause() == ExitCause.INCOMPLETE;
        GangAttempt attempt = presentGangAttempt(placement);
        return attemptIsOver && attempt != null && !attempt.isEnding();
    }

    private void completed(Placement placement, long nowMicros) {
        ActiveJob job = placement.job();
        markDone(job, placement.task().index());
        machines.drainFaulty(faults.recordSuccess(placement, nowMicros));
        if (showsWholeRuntime(placement)) {
            runtimeEstimator.recordFinishedTask(job, placement.runTimeMicros(nowMicros));
        }
        jobs.recordTaskDone(job);
    }

    private static boolean showsWholeRuntime(Placement placement) {
        return placement.hasRun() && placement.isOnlyOnThisMachine() && !placement.isAdopted();
    }

    /** The tasks of a gang complete together: one tells of all. */
    private static void markDone(ActiveJob job, int task) {
        if (!job.spec().gang()) {
            job.markDone(task);
            return;
        }
        job.markAllDone();
        GangAttempt attempt = job.gangAttempt();
        if (attempt != null) {
            attempt.markCompleted();
        }
    }

    /** An attempt that we did not start has completed the task: any other attempt is of no use. */
    void completedElsewhere(ActiveJob job, int task) {
        Placement placement = job.placement(task);
        markDone(job, task);
        jobs.recordTaskDone(job);
        if (placement != null && !job.spec().gang()) {
            tasks.stop(placement, 0, "done elsewhere");
        } else {
            jobs.completeIfDone(job);
        }
    }
}
