package org.granitepath.coordination.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.granitepath.coordination.admission.JobIndex;
import org.granitepath.coordination.jobs.TaskLifecycle;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.ActiveJobs;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.ports.Heartbeat;
import org.granitepath.coordination.ports.Heartbeat.TaskStatus;
import org.granitepath.coordination.ports.TaskId;
import org.granitepath.coordination.ports.WorkerCommand;
import org.granitepath.recovery.RecoveryPlan;
import org.granitepath.recovery.Verdict;

/**
 * Compares the tasks that a worker's message lists with the placements on its machine, and acts on the verdicts. A
 * placement is freed only when a message proves that the task is not on the machine. A listed task that this leader has
 * not placed there is adopted or stopped.
 */
public final class TaskReconciler {
    private final ActiveJobs activeJobs;
    private final TaskLifecycle tasks;
    private final MachineInventory inventory;
    private final RecoveryPlan plan;
    private final TaskEvidence evidence;
    private final TaskStatusUpdater statusUpdater;
    private final CleanupCommands cleanup;

    /** Creates a reconciler that compares the messages of workers with the jobs and placements of this term. */
    public TaskReconciler(
            JobIndex jobIndex,
            ActiveJobs activeJobs,
            TaskLifecycle tasks,
            MachineInventory inventory,
            RecoveryPlan plan,
            TaskStatusUpdater statusUpdater,
            CleanupCommands cleanup) {
        this.activeJobs = activeJobs;
        this.tasks = tasks;
        this.inventory = inventory;
        this.plan = plan;
        this.evidence = new TaskEvidence(jobIndex, activeJobs, plan);
        this.statusUpdater = statusUpdater;
        this.cleanup = cleanup;
    }

    /**
     * Updates the placements of the machine from this message, which is its latest one.
     *
     * @param underCurrentToken whether the message carries the current fencing token of the machine
     */
    void reconcile(
            Machine machine, Heartbeat heartbeat, MessageOrigin origin, boolean underCurrentToken, long nowMicros) {
        Set<TaskId> placedTasks = reconcileListed(machine, heartbeat, underCurrentToken, nowMicros);
        freeMissing(machine, heartbeat, origin, underCurrentToken, placedTasks);
        cleanup.requestTokenIfManyUncleared(machine, heartbeat);
    }

    /**
     * Acts on the tasks that the message lists, and returns those of them that are placed on the machine afterwards.
     */
    private Set<TaskId> reconcileListed(
            Machine machine, Heartbeat heartbeat, boolean underCurrentToken, long nowMicros) {
        Set<WorkerCommand> previousCommands = Set.copyOf(machine.cleanupCommands());
        machine.clearFindings();
        Set<TaskId> placedTasks = new HashSet<>();
        for (TaskStatus status : heartbeat.tasks()) {
            Verdict verdict = evidence.verdictOnListed(machine, status);
            switch (verdict) {
                case CONFIRMED -> confirm(machine, status, underCurrentToken, nowMicros);
                case ADOPTED -> adopt(machine, status, underCurrentToken, nowMicros);
                case FINISHED_MEANWHILE -> recordCompletion(status.task());
                case STALE, UNKNOWN_JOB -> cleanup.stopOrphan(machine, status, verdict, previousCommands);
                case UNCONFIRMED -> machine.addUnconfirmedTask();
                case EXITED, LOST -> {}
            }
            if (verdict == Verdict.CONFIRMED || verdict == Verdict.ADOPTED) {
                placedTasks.add(status.task());
            }
            cleanup.clearIfExited(machine, status, verdict);
        }
        return placedTasks;
    }

    private void confirm(Machine machine, TaskStatus status, boolean underCurrentToken, long nowMicros) {
        Placement placement = Objects.requireNonNull(
                machine.placement(status.task()), "a confirmed task must be placed on its machine");
        if (!placement.hasBeenListed()) {
            plan.countVerdicts(Verdict.CONFIRMED, 1);
        }
        placement.markListed(underCurrentToken);
        statusUpdater.update(machine, placement, status, nowMicros);
    }

    private void adopt(Machine machine, TaskStatus status, boolean underCurrentToken, long nowMicros) {
        Placement placement = tasks.adopt(activeJob(status.task()), machine, status, underCurrentToken, nowMicros);
        plan.countVerdicts(Verdict.ADOPTED, 1);
        statusUpdater.update(machine, placement, status, nowMicros);
    }

    private void recordCompletion(TaskId task) {
        plan.countVerdicts(Verdict.FINISHED_MEANWHILE, 1);
        statusUpdater.markCompletedElsewhere(activeJob(task), task.index());
    }

    private ActiveJob activeJob(TaskId task) {
        return Objects.requireNonNull(
                activeJobs.get(task.job()), "the job of an adopted or completed task must be active");
    }

    private void freeMissing(
            Machine machine,
            Heartbeat heartbeat,
            MessageOrigin origin,
            boolean underCurrentToken,
            Set<TaskId> placedTasks) {
        for (Placement placement : List.copyOf(machine.placements())) {
            if (!placedTasks.contains(placement.task())
                    && evidence.verdictOnMissing(placement, heartbeat, origin, underCurrentToken) == Verdict.LOST) {
                freeLost(machine, placement, heartbeat);
            }
        }
    }

    private void freeLost(Machine machine, Placement placement, Heartbeat heartbeat) {
        if (wasStartLostInResponse(placement, heartbeat)) {
            inventory.requestToken(machine, "a heartbeat response with a start command was lost");
        }
        plan.countVerdicts(Verdict.LOST, 1);
        tasks.free(
                placement,
                "not listed in heartbeat " + heartbeat.agentEpoch() + "." + heartbeat.sequence()
                        + " under fencing token " + heartbeat.fencingToken());
    }

    /**
     * Returns whether the start command went out in a heartbeat response that did not reach the worker: the worker's
     * agent epoch is the one that the command was meant for, and no message has listed the attempt.
     */
    private static boolean wasStartLostInResponse(Placement placement, Heartbeat heartbeat) {
        return !placement.hasBeenListed()
                && placement.isSentInResponse()
                && placement.agentEpoch() == heartbeat.agentEpoch();
    }
}
